package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.migration.MigrationScenario.FIRST;
import static postbeam.migration.MigrationScenario.SECOND;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.slices.HandoffCommand;

class MigrationStateMachineTest {
    private final MigrationScenario run = new MigrationScenario();

    private void assertState(MigrationState expected) {
        assertEquals(expected, run.migration(1).state());
    }

    @Test
    void goesThroughAllStatesAndWaitsAtBothCheckpoints() throws Exception {
        run.create("acme", FIRST, SECOND);
        run.run(Duration.ofSeconds(8));
        assertState(MigrationState.SWITCH_CHECKPOINT);
        assertEquals(1, run.layout().version, "the old side serves");
        run.pass(1);
        run.run(Duration.ofSeconds(1));
        assertEquals(3, run.layout().version);
        run.run(Duration.ofSeconds(20));
        assertState(MigrationState.RETIREMENT_CHECKPOINT);
        assertEquals(
                0,
                run.commands.stream()
                        .filter(sent -> sent.command() == HandoffCommand.DROP)
                        .count());
        run.pass(1);
        run.run(Duration.ofSeconds(2));
        assertState(MigrationState.RETIRED);
        assertEquals(List.of("e", "b", "c"), run.layout().slice(0).nodes());
        assertTrue(run.coordinator.state().activeMoves().isEmpty());
    }

    @Test
    void switchEndsOnceEachRouterHasAcknowledgedOrItsLeaseHasExpired() throws Exception {
        run.create("acme", FIRST);
        run.run(Duration.ofSeconds(8));
        RouterAcknowledgements routers = run.manager.routerAcknowledgements();
        routers.onRequest("r1", 1, run.now);
        routers.onResponse("r1", 1, run.now);
        routers.onRequest("r2", 1, run.now);
        routers.onResponse("r2", 1, run.now);
        run.pass(1);
        run.run(Duration.ofSeconds(1));
        assertState(MigrationState.SWITCHING);
        routers.onRequest("r1", 2, run.now);
        assertEquals(List.of("r2"), routers.routersBehind(2, run.now));
        run.run(Duration.ofSeconds(3));
        assertEquals(
                MigrationState.SWITCHING,
                run.migration(1).state(),
                "r2 may still use the old layout");
        run.run(Duration.ofSeconds(2));
        assertState(MigrationState.OBSERVING);
    }

    @Test
    void successorWaitsForRoutersThatItDoesNotKnow() throws Exception {
        run.create("acme", FIRST);
        run.run(Duration.ofSeconds(8));
        run.pass(1);
        run.restart();
        run.run(Duration.ofMillis(4900));
        assertState(MigrationState.SWITCHING);
        run.run(Duration.ofMillis(500));
        assertState(MigrationState.OBSERVING);
    }

    @Test
    void oneMigrationAtATimeIsUnderWay() throws Exception {
        run.create("acme", FIRST);
        run.create("other", SECOND);
        run.run(Duration.ofSeconds(8));
        assertEquals(MigrationState.PLANNED, run.migration(2).state());
        run.rollBack(1, "x");
        run.run(Duration.ofSeconds(2));
        assertState(MigrationState.ROLLED_BACK);
        assertEquals("a", run.layout().slice(0).nodes().get(0));
        run.run(Duration.ofSeconds(8));
        assertEquals(MigrationState.SWITCH_CHECKPOINT, run.migration(2).state());
    }
}
