package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static postbeam.migration.MigrationScenario.SLICE_0_A_TO_E;
import static postbeam.migration.MigrationScenario.SLICE_1_B_TO_E;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.Readiness;
import postbeam.samples.SampleFile;
import postbeam.slices.HandoffCommand;

/**
 * Guards against unintended changes of decisions, records and texts: the traces of whole migration
 * runs must equal, line by line, those recorded with an earlier build.
 */
class MigrationRunSamplesTest {
    /** Size of a range for which the byte rate, not the move rate, limits the start of copies. */
    private static final long RANGE_BYTES = 600;

    private final MigrationScenario scenario =
            new MigrationScenario(MigrationScenario.limits(2, 2), RANGE_BYTES);

    private void assertTraceEqualsRecordedTrace(String sample) throws IOException {
        scenario.manager
                .journalState()
                .migrations()
                .forEach(migration -> scenario.trace("final: " + migration.summary()));
        assertEquals(
                String.join("\n", SampleFile.lines("migration/" + sample)),
                String.join("\n", scenario.traceLines));
    }

    @Test
    void traceOfRunThroughAllStatesEqualsRecordedTrace() throws Exception {
        scenario.createMigration("acme", SLICE_0_A_TO_E, SLICE_1_B_TO_E);
        scenario.createMigration("other", new SliceTransfer(2, "c", "b"));
        scenario.runFor(Duration.ofSeconds(10));
        scenario.manager.routerAcknowledgements().onRequest("r1", 1, scenario.now);
        scenario.manager.routerAcknowledgements().onResponse("r1", 1, scenario.now);
        scenario.passCheckpoint(1);
        scenario.passCheckpoint(2);
        scenario.runFor(Duration.ofSeconds(2));
        List<String> behind =
                scenario.manager.routerAcknowledgements().routersBehind(2, scenario.now);
        scenario.trace("behind: " + behind);
        scenario.runFor(Duration.ofSeconds(18));
        scenario.passCheckpoint(1);
        scenario.passCheckpoint(2);
        scenario.runFor(Duration.ofSeconds(3));
        assertEquals(MigrationState.RETIRED, scenario.migration(1).state());
        assertEquals(MigrationState.RETIRED, scenario.migration(2).state());
        assertTraceEqualsRecordedTrace("run-through-all-states.txt");
    }

    @Test
    void traceOfRollbackAcrossRestartsEqualsRecordedTrace() throws Exception {
        scenario.createMigration("acme", SLICE_0_A_TO_E, SLICE_1_B_TO_E);
        scenario.runFor(Duration.ofSeconds(8));
        scenario.passCheckpoint(1);
        scenario.runFor(Duration.ofMillis(300));
        scenario.restart();
        scenario.runFor(Duration.ofSeconds(12));
        scenario.rollBack(1, "by an operator");
        scenario.runFor(Duration.ofMillis(700));
        scenario.restart();
        scenario.runFor(Duration.ofSeconds(12));
        assertEquals(MigrationState.ROLLED_BACK, scenario.migration(1).state());
        assertTraceEqualsRecordedTrace("run-rolled-back-across-restarts.txt");
    }

    @Test
    void traceOfMigrationResumedAfterDigestMismatchEqualsRecordedTrace() throws Exception {
        scenario.differingNodes.add("e");
        scenario.createMigration("acme", SLICE_0_A_TO_E);
        scenario.runFor(Duration.ofSeconds(20));
        assertEquals(PauseReason.DIGEST_MISMATCH, scenario.migration(1).pauseReason());
        scenario.differingNodes.clear();
        scenario.resume(1);
        scenario.runFor(Duration.ofSeconds(10));
        assertEquals(MigrationState.SWITCH_CHECKPOINT, scenario.migration(1).state());
        scenario.rollBack(1, "by an operator");
        scenario.runFor(Duration.ofSeconds(3));
        assertTraceEqualsRecordedTrace("run-with-digest-mismatch.txt");
    }

    @Test
    void traceOfPauseForEachReasonEqualsRecordedTrace() throws Exception {
        scenario.manager.updateUtility("acme", 0.9);
        scenario.createMigration("acme", SLICE_0_A_TO_E, SLICE_1_B_TO_E);
        scenario.runFor(Duration.ofMillis(500));
        scenario.pause(1, "by an operator");
        scenario.runFor(Duration.ofMillis(300));
        scenario.resume(1);
        scenario.manager.updateUtility("acme", 0.8);
        scenario.runFor(Duration.ofMillis(300));
        scenario.manager.updateUtility("acme", 0.9);
        scenario.resume(1);
        scenario.runFor(Duration.ofSeconds(1));
        scenario.carryOut("e started", scenario.manager.onNodesStarted(List.of("e"), scenario.now));
        scenario.runFor(Duration.ofMillis(300));
        scenario.now = scenario.now.plusSeconds(4);
        scenario.resume(1);
        scenario.unansweredCommands.add(HandoffCommand.COPY);
        scenario.runFor(Duration.ofSeconds(22));
        scenario.unansweredCommands.clear();
        scenario.resume(1);
        scenario.setReadiness("b", Readiness.DRAINING);
        scenario.setReadiness("c", Readiness.DRAINING);
        scenario.runFor(Duration.ofMillis(300));
        scenario.setReadiness("b", Readiness.READY);
        scenario.setReadiness("c", Readiness.READY);
        scenario.resume(1);
        scenario.runFor(Duration.ofSeconds(2));
        scenario.setReadiness("e", Readiness.REMOVED);
        scenario.runFor(Duration.ofSeconds(15));
        scenario.setReadiness("e", Readiness.READY);
        scenario.resume(1);
        scenario.runFor(Duration.ofSeconds(10));
        assertTraceEqualsRecordedTrace("run-with-each-pause-reason.txt");
    }
}
