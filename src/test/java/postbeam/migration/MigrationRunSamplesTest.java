package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.errors.OperatorErrorException;
import postbeam.errors.SampleLines;
import postbeam.model.Readiness;
import postbeam.slices.HandoffCommand;

/**
 * Decisions, records and texts of whole runs are those that an earlier build made, line by line.
 */
class MigrationRunSamplesTest {
    private static final SliceTransfer FIRST = new SliceTransfer(0, "a", "e");
    private static final SliceTransfer SECOND = new SliceTransfer(1, "b", "e");

    private final MigrationScenario run = new MigrationScenario();

    private void open(String member, SliceTransfer... hops) throws OperatorErrorException {
        run.carryOut(
                "migrate " + member,
                run.migrations.createMigration(member, List.of(hops), run.now));
    }

    private void pass(long id) throws OperatorErrorException {
        run.carryOut(
                "pass " + id,
                run.migrations.passCheckpoint(id, run.migration(id).openCheckpoint(), run.now));
    }

    private void resume(long id) throws OperatorErrorException {
        run.carryOut("resume " + id, run.migrations.resume(id, run.now));
    }

    private void rollBack(long id) throws OperatorErrorException {
        run.carryOut("roll back " + id, run.migrations.rollBack(id, "by an operator", run.now));
    }

    private void sameAs(String sample) throws IOException {
        run.migrations.journalState().migrations().forEach(one -> run.note("standing: " + one));
        assertEquals(
                String.join("\n", SampleLines.of("migration/" + sample)),
                String.join("\n", run.lines));
    }

    @Test
    void throughAllStages() throws Exception {
        open("acme", FIRST, SECOND);
        open("other", new SliceTransfer(2, "c", "b"));
        run.run(Duration.ofSeconds(10));
        run.migrations.routerAcknowledgements().onRequest("r1", 1, run.now);
        run.migrations.routerAcknowledgements().onResponse("r1", 1, run.now);
        pass(1);
        pass(2);
        run.run(Duration.ofSeconds(2));
        run.note("behind: " + run.migrations.routerAcknowledgements().routersBehind(2, run.now));
        run.run(Duration.ofSeconds(18));
        pass(1);
        pass(2);
        run.run(Duration.ofSeconds(3));
        assertEquals(MigrationState.RETIRED, run.migration(1).state());
        assertEquals(MigrationState.RETIRED, run.migration(2).state());
        sameAs("run-through-all-stages.txt");
    }

    @Test
    void backFromTheNewSideOverARestart() throws Exception {
        open("acme", FIRST, SECOND);
        run.run(Duration.ofSeconds(8));
        pass(1);
        run.run(Duration.ofMillis(300));
        run.restart();
        run.run(Duration.ofSeconds(12));
        rollBack(1);
        run.run(Duration.ofMillis(700));
        run.restart();
        run.run(Duration.ofSeconds(12));
        assertEquals(MigrationState.ROLLED_BACK, run.migration(1).state());
        sameAs("run-back-over-a-restart.txt");
    }

    @Test
    void aDifferenceIsNarrowedAndCopiedAnew() throws Exception {
        run.differing.add("e");
        open("acme", FIRST);
        run.run(Duration.ofSeconds(20));
        assertEquals(PauseReason.DIGEST_MISMATCH, run.migration(1).pauseReason());
        run.differing.clear();
        resume(1);
        run.run(Duration.ofSeconds(10));
        assertEquals(MigrationState.SWITCH_CHECKPOINT, run.migration(1).state());
        rollBack(1);
        run.run(Duration.ofSeconds(3));
        sameAs("run-with-a-difference.txt");
    }

    @Test
    void eachCauseToPause() throws Exception {
        run.migrations.updateUtility("acme", 0.9);
        open("acme", FIRST, SECOND);
        run.run(Duration.ofMillis(500));
        run.carryOut("pause 1", run.migrations.pause(1, "by an operator", run.now));
        run.run(Duration.ofMillis(300));
        resume(1);
        run.migrations.updateUtility("acme", 0.8);
        run.run(Duration.ofMillis(300));
        run.migrations.updateUtility("acme", 0.9);
        resume(1);
        run.run(Duration.ofSeconds(1));
        run.carryOut("e started", run.migrations.onNodesStarted(List.of("e"), run.now));
        run.run(Duration.ofMillis(300));
        run.now = run.now.plusSeconds(4);
        resume(1);
        run.unanswered.add(HandoffCommand.COPY);
        run.run(Duration.ofSeconds(22));
        run.unanswered.clear();
        resume(1);
        run.setReadiness("b", Readiness.DRAINING);
        run.setReadiness("c", Readiness.DRAINING);
        run.run(Duration.ofMillis(300));
        run.setReadiness("b", Readiness.READY);
        run.setReadiness("c", Readiness.READY);
        resume(1);
        run.run(Duration.ofSeconds(2));
        run.setReadiness("e", Readiness.REMOVED);
        run.run(Duration.ofSeconds(15));
        run.setReadiness("e", Readiness.READY);
        resume(1);
        run.run(Duration.ofSeconds(10));
        sameAs("run-with-each-pause.txt");
    }
}
