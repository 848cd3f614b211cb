package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static postbeam.migration.MigrationScenario.FIRST;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.Readiness;
import postbeam.slices.HandoffCommand;

class PauseDetectorTest {
    private final MigrationScenario run = new MigrationScenario();

    private void assertPausedFor(PauseReason reason) {
        assertEquals(reason, run.migration(1).pauseReason());
    }

    @Test
    void pausesByItselfAndTheReasonSurvivesARestart() throws Exception {
        run.manager.updateUtility("acme", 0.9);
        run.create("acme", FIRST);
        run.run(Duration.ofSeconds(1));
        run.manager.updateUtility("acme", 0.8);
        run.run(Duration.ofMillis(200));
        assertPausedFor(PauseReason.UTILITY_DROPPED);
        run.restart();
        assertPausedFor(PauseReason.UTILITY_DROPPED);
        run.manager.updateUtility("acme", 0.9);
        run.resume(1);
        run.carryOut("e started", run.manager.onNodesStarted(List.of("e"), run.now));
        run.run(Duration.ofMillis(200));
        assertPausedFor(PauseReason.TARGET_WARMING_UP);
        run.now = run.now.plusSeconds(4);
        run.resume(1);
        run.unanswered.add(HandoffCommand.COPY);
        run.run(Duration.ofSeconds(21));
        assertPausedFor(PauseReason.STALLED);
        run.unanswered.clear();
        run.resume(1);
        run.setReadiness("b", Readiness.DRAINING);
        run.setReadiness("c", Readiness.DRAINING);
        run.run(Duration.ofMillis(300));
        assertPausedFor(PauseReason.TOO_FEW_READY_REPLICAS);
        long version = run.layout().version;
        run.run(Duration.ofSeconds(30));
        assertEquals(version, run.layout().version);
    }
}
