package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.errors.ExplainedException;
import postbeam.errors.SampleLines;
import postbeam.slices.Order;
import postbeam.state.Readiness;

/**
 * Decisions, records and texts of whole runs are those that an earlier build made, line by line.
 */
class MigrationRunSamplesTest {
    private static final Hop FIRST = new Hop(0, "a", "e");
    private static final Hop SECOND = new Hop(1, "b", "e");

    private final MigrationRunFixture run = new MigrationRunFixture();

    private void open(String member, Hop... hops) throws ExplainedException {
        run.carryOut("migrate " + member, run.migrations.open(member, List.of(hops), run.now));
    }

    private void pass(long id) throws ExplainedException {
        run.carryOut("pass " + id, run.migrations.pass(id, run.migration(id).open(), run.now));
    }

    private void resume(long id) throws ExplainedException {
        run.carryOut("resume " + id, run.migrations.resume(id, run.now));
    }

    private void rollBack(long id) throws ExplainedException {
        run.carryOut("roll back " + id, run.migrations.rollBack(id, "by an operator", run.now));
    }

    private void sameAs(String sample) throws IOException {
        run.migrations.book().all().forEach(one -> run.note("standing: " + one));
        assertEquals(
                String.join("\n", SampleLines.of("migration/" + sample)),
                String.join("\n", run.lines));
    }

    @Test
    void throughAllStages() throws Exception {
        open("acme", FIRST, SECOND);
        open("other", new Hop(2, "c", "b"));
        run.run(Duration.ofSeconds(10));
        run.migrations.routers().asked("r1", 1, run.now);
        run.migrations.routers().answered("r1", 1, run.now);
        pass(1);
        pass(2);
        run.run(Duration.ofSeconds(2));
        run.note("behind: " + run.migrations.routers().behind(2, run.now));
        run.run(Duration.ofSeconds(18));
        pass(1);
        pass(2);
        run.run(Duration.ofSeconds(3));
        assertEquals(Stage.RETIRED, run.migration(1).stage());
        assertEquals(Stage.RETIRED, run.migration(2).stage());
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
        assertEquals(Stage.ROLLED_BACK, run.migration(1).stage());
        sameAs("run-back-over-a-restart.txt");
    }

    @Test
    void aDifferenceIsNarrowedAndCopiedAnew() throws Exception {
        run.differing.add("e");
        open("acme", FIRST);
        run.run(Duration.ofSeconds(20));
        assertEquals(Cause.DIFFERS, run.migration(1).cause());
        run.differing.clear();
        resume(1);
        run.run(Duration.ofSeconds(10));
        assertEquals(Stage.CHECKPOINT, run.migration(1).stage());
        rollBack(1);
        run.run(Duration.ofSeconds(3));
        sameAs("run-with-a-difference.txt");
    }

    @Test
    void eachCauseToPause() throws Exception {
        run.migrations.utility("acme", 0.9);
        open("acme", FIRST, SECOND);
        run.run(Duration.ofMillis(500));
        run.carryOut("pause 1", run.migrations.pause(1, "by an operator", run.now));
        run.run(Duration.ofMillis(300));
        resume(1);
        run.migrations.utility("acme", 0.8);
        run.run(Duration.ofMillis(300));
        run.migrations.utility("acme", 0.9);
        resume(1);
        run.run(Duration.ofSeconds(1));
        run.carryOut("e started", run.migrations.started(List.of("e"), run.now));
        run.run(Duration.ofMillis(300));
        run.now = run.now.plusSeconds(4);
        resume(1);
        run.unanswered.add(Order.COPY);
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
        run.setReadiness("e", Readiness.GONE);
        run.run(Duration.ofSeconds(15));
        run.setReadiness("e", Readiness.READY);
        resume(1);
        run.run(Duration.ofSeconds(10));
        sameAs("run-with-each-pause.txt");
    }
}
