package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.migration.MigrationScenario.SLICE_0_A_TO_E;
import static postbeam.migration.MigrationScenario.SLICE_1_B_TO_E;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.slices.HandoffCommand;

class MigrationStateMachineTest {
    private final MigrationScenario scenario = new MigrationScenario();

    private void assertState(MigrationState expected) {
        assertEquals(expected, scenario.migration(1).state());
    }

    @Test
    void migrationPassesAllStatesAndWaitsAtBothCheckpoints() throws Exception {
        scenario.createMigration("acme", SLICE_0_A_TO_E, SLICE_1_B_TO_E);
        scenario.runFor(Duration.ofSeconds(8));
        assertState(MigrationState.SWITCH_CHECKPOINT);
        assertEquals(
                1,
                scenario.layout().version,
                "the old layout is in force until the checkpoint is passed");
        scenario.passCheckpoint(1);
        scenario.runFor(Duration.ofSeconds(1));
        assertEquals(3, scenario.layout().version);
        scenario.runFor(Duration.ofSeconds(20));
        assertState(MigrationState.RETIREMENT_CHECKPOINT);
        assertEquals(
                0,
                scenario.sentCommands.stream()
                        .filter(sent -> sent.command() == HandoffCommand.DROP)
                        .count());
        scenario.passCheckpoint(1);
        scenario.runFor(Duration.ofSeconds(2));
        assertState(MigrationState.RETIRED);
        assertEquals(List.of("e", "b", "c"), scenario.layout().slice(0).nodes());
        assertTrue(scenario.coordinator.state().activeMoves().isEmpty());
    }

    @Test
    void switchingEndsOnceEachRouterAcknowledgesOrItsLeaseExpires() throws Exception {
        scenario.createMigration("acme", SLICE_0_A_TO_E);
        scenario.runFor(Duration.ofSeconds(8));
        RouterAcknowledgements routers = scenario.manager.routerAcknowledgements();
        routers.onRequest("r1", 1, scenario.now);
        routers.onResponse("r1", 1, scenario.now);
        routers.onRequest("r2", 1, scenario.now);
        routers.onResponse("r2", 1, scenario.now);
        scenario.passCheckpoint(1);
        scenario.runFor(Duration.ofSeconds(1));
        assertState(MigrationState.SWITCHING);
        routers.onRequest("r1", 2, scenario.now);
        assertEquals(List.of("r2"), routers.routersBehind(2, scenario.now));
        scenario.runFor(Duration.ofSeconds(3));
        assertEquals(
                MigrationState.SWITCHING,
                scenario.migration(1).state(),
                "r2 may still use the old layout until its lease expires");
        scenario.runFor(Duration.ofSeconds(2));
        assertState(MigrationState.OBSERVING);
    }

    @Test
    void restartedManagerWaitsForLeasesOfUnknownRouters() throws Exception {
        scenario.createMigration("acme", SLICE_0_A_TO_E);
        scenario.runFor(Duration.ofSeconds(8));
        scenario.passCheckpoint(1);
        scenario.restart();
        scenario.runFor(Duration.ofMillis(4900));
        assertState(MigrationState.SWITCHING);
        scenario.runFor(Duration.ofMillis(500));
        assertState(MigrationState.OBSERVING);
    }

    @Test
    void secondMigrationStaysPlannedWhileFirstIsActive() throws Exception {
        scenario.createMigration("acme", SLICE_0_A_TO_E);
        scenario.createMigration("other", SLICE_1_B_TO_E);
        scenario.runFor(Duration.ofSeconds(8));
        assertEquals(MigrationState.PLANNED, scenario.migration(2).state());
        scenario.rollBack(1, "x");
        scenario.runFor(Duration.ofSeconds(2));
        assertState(MigrationState.ROLLED_BACK);
        assertEquals("a", scenario.layout().slice(0).nodes().get(0));
        scenario.runFor(Duration.ofSeconds(8));
        assertEquals(MigrationState.SWITCH_CHECKPOINT, scenario.migration(2).state());
    }
}
