package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static postbeam.migration.MigrationScenario.FIRST;
import static postbeam.migration.MigrationScenario.SECOND;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.Readiness;
import postbeam.samples.SampleFile;
import postbeam.slices.HandoffCommand;

/**
 * Decisions, records and texts of whole runs are those that an earlier build made, line by line.
 */
class MigrationRunSamplesTest {
    private static final long BYTES_SLOWER_THAN_A_MOVE = 600;

    private final MigrationScenario run =
            new MigrationScenario(MigrationScenario.limits(2, 2), BYTES_SLOWER_THAN_A_MOVE);

    private void assertSameAs(String sample) throws IOException {
        run.manager
                .journalState()
                .migrations()
                .forEach(migration -> run.note("standing: " + migration.summary()));
        assertEquals(
                String.join("\n", SampleFile.lines("migration/" + sample)),
                String.join("\n", run.lines));
    }

    @Test
    void goesThroughAllStates() throws Exception {
        run.create("acme", FIRST, SECOND);
        run.create("other", new SliceTransfer(2, "c", "b"));
        run.run(Duration.ofSeconds(10));
        run.manager.routerAcknowledgements().onRequest("r1", 1, run.now);
        run.manager.routerAcknowledgements().onResponse("r1", 1, run.now);
        run.pass(1);
        run.pass(2);
        run.run(Duration.ofSeconds(2));
        List<String> behind = run.manager.routerAcknowledgements().routersBehind(2, run.now);
        run.note("behind: " + behind);
        run.run(Duration.ofSeconds(18));
        run.pass(1);
        run.pass(2);
        run.run(Duration.ofSeconds(3));
        assertEquals(MigrationState.RETIRED, run.migration(1).state());
        assertEquals(MigrationState.RETIRED, run.migration(2).state());
        assertSameAs("run-through-all-stages.txt");
    }

    @Test
    void rollsBackFromTheNewSideOverARestart() throws Exception {
        run.create("acme", FIRST, SECOND);
        run.run(Duration.ofSeconds(8));
        run.pass(1);
        run.run(Duration.ofMillis(300));
        run.restart();
        run.run(Duration.ofSeconds(12));
        run.rollBack(1, "by an operator");
        run.run(Duration.ofMillis(700));
        run.restart();
        run.run(Duration.ofSeconds(12));
        assertEquals(MigrationState.ROLLED_BACK, run.migration(1).state());
        assertSameAs("run-back-over-a-restart.txt");
    }

    @Test
    void narrowsADifferenceAndCopiesAgain() throws Exception {
        run.differing.add("e");
        run.create("acme", FIRST);
        run.run(Duration.ofSeconds(20));
        assertEquals(PauseReason.DIGEST_MISMATCH, run.migration(1).pauseReason());
        run.differing.clear();
        run.resume(1);
        run.run(Duration.ofSeconds(10));
        assertEquals(MigrationState.SWITCH_CHECKPOINT, run.migration(1).state());
        run.rollBack(1, "by an operator");
        run.run(Duration.ofSeconds(3));
        assertSameAs("run-with-a-difference.txt");
    }

    @Test
    void pausesForEachReason() throws Exception {
        run.manager.updateUtility("acme", 0.9);
        run.create("acme", FIRST, SECOND);
        run.run(Duration.ofMillis(500));
        run.pause(1, "by an operator");
        run.run(Duration.ofMillis(300));
        run.resume(1);
        run.manager.updateUtility("acme", 0.8);
        run.run(Duration.ofMillis(300));
        run.manager.updateUtility("acme", 0.9);
        run.resume(1);
        run.run(Duration.ofSeconds(1));
        run.carryOut("e started", run.manager.onNodesStarted(List.of("e"), run.now));
        run.run(Duration.ofMillis(300));
        run.now = run.now.plusSeconds(4);
        run.resume(1);
        run.unanswered.add(HandoffCommand.COPY);
        run.run(Duration.ofSeconds(22));
        run.unanswered.clear();
        run.resume(1);
        run.setReadiness("b", Readiness.DRAINING);
        run.setReadiness("c", Readiness.DRAINING);
        run.run(Duration.ofMillis(300));
        run.setReadiness("b", Readiness.READY);
        run.setReadiness("c", Readiness.READY);
        run.resume(1);
        run.run(Duration.ofSeconds(2));
        run.setReadiness("e", Readiness.REMOVED);
        run.run(Duration.ofSeconds(15));
        run.setReadiness("e", Readiness.READY);
        run.resume(1);
        run.run(Duration.ofSeconds(10));
        assertSameAs("run-with-each-pause.txt");
    }
}
