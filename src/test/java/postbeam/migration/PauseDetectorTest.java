package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static postbeam.migration.MigrationScenario.SLICE_0_A_TO_E;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.Readiness;
import postbeam.slices.HandoffCommand;

class PauseDetectorTest {
    private final MigrationScenario scenario = new MigrationScenario();

    private void assertPausedFor(PauseReason reason) {
        assertEquals(reason, scenario.migration(1).pauseReason());
    }

    @Test
    void migrationPausesAutomaticallyAndPauseReasonSurvivesRestart() throws Exception {
        scenario.manager.updateUtility("acme", 0.9);
        scenario.createMigration("acme", SLICE_0_A_TO_E);
        scenario.runFor(Duration.ofSeconds(1));
        scenario.manager.updateUtility("acme", 0.8);
        scenario.runFor(Duration.ofMillis(200));
        assertPausedFor(PauseReason.UTILITY_DROPPED);
        scenario.restart();
        assertPausedFor(PauseReason.UTILITY_DROPPED);
        scenario.manager.updateUtility("acme", 0.9);
        scenario.resume(1);
        scenario.carryOut("e started", scenario.manager.onNodesStarted(List.of("e"), scenario.now));
        scenario.runFor(Duration.ofMillis(200));
        assertPausedFor(PauseReason.TARGET_WARMING_UP);
        scenario.now = scenario.now.plusSeconds(4);
        scenario.resume(1);
        scenario.unansweredCommands.add(HandoffCommand.COPY);
        scenario.runFor(Duration.ofSeconds(21));
        assertPausedFor(PauseReason.STALLED);
        scenario.unansweredCommands.clear();
        scenario.resume(1);
        scenario.setReadiness("b", Readiness.DRAINING);
        scenario.setReadiness("c", Readiness.DRAINING);
        scenario.runFor(Duration.ofMillis(300));
        assertPausedFor(PauseReason.TOO_FEW_READY_REPLICAS);
        long version = scenario.layout().version;
        scenario.runFor(Duration.ofSeconds(30));
        assertEquals(version, scenario.layout().version);
    }
}
