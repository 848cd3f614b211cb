package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static postbeam.migration.MigrationScenario.FIRST;
import static postbeam.migration.MigrationScenario.SECOND;
import static postbeam.migration.MigrationScenario.errorOf;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import postbeam.model.Readiness;
import postbeam.slices.LayoutChange;

/** Each command that can't be carried out has an error of its own. */
class MigrationCommandsTest {
    private static final Checkpoint UNKNOWN = new Checkpoint(1, "x");

    private final MigrationScenario run = new MigrationScenario();

    @Test
    void migrationThatDoesNotExistIsNotFound() {
        assertEquals(new MigrationError.NotFound(9), errorOf(() -> run.pause(9, "x")));
    }

    @Test
    void transfersThatExcludeEachOtherAreRejected() throws Exception {
        assertInstanceOf(
                MigrationError.InvalidPlan.class, errorOf(() -> run.create("acme", FIRST, FIRST)));
        run.create("acme", FIRST);
        assertInstanceOf(
                MigrationError.InvalidPlan.class,
                errorOf(() -> run.create("other", new SliceTransfer(0, "b", "e"))));
        assertEquals(
                "slice 0 belongs to migration 1 of acme",
                run.coordinator.rejectionReason(new LayoutChange.Transfer(0, "b", "e")).orElse(""));
    }

    @Test
    void checkpointIsPassedOnceAndOnlyAsItWasOpened() throws Exception {
        run.create("acme", FIRST);
        assertEquals(
                new MigrationError.NoOpenCheckpoint(1, MigrationState.PLANNED),
                errorOf(() -> run.manager.passCheckpoint(1, UNKNOWN, run.now)));
        run.run(Duration.ofSeconds(8));
        Checkpoint open = run.migration(1).openCheckpoint();
        assertEquals(
                new MigrationError.StaleCheckpoint(1, UNKNOWN, open),
                errorOf(() -> run.manager.passCheckpoint(1, UNKNOWN, run.now)));
        run.pause(1, "lunch");
        assertEquals(new MigrationError.MigrationPaused(1, "lunch"), errorOf(() -> run.pass(1)));
        run.resume(1);
        run.pass(1);
        assertEquals(
                new MigrationError.CheckpointAlreadyPassed(1, open),
                errorOf(() -> run.manager.passCheckpoint(1, open, run.now)));
    }

    @Test
    void pauseAndResumeNeedTheOtherState() throws Exception {
        run.create("acme", FIRST);
        assertEquals(new MigrationError.NotPaused(1), errorOf(() -> run.resume(1)));
        run.pause(1, "lunch");
        assertEquals(
                new MigrationError.MigrationPaused(1, "lunch"),
                errorOf(() -> run.pause(1, "again")));
    }

    @Test
    void resumeFailsAsLongAsTheReasonLasts() throws Exception {
        run.create("acme", FIRST);
        run.run(Duration.ofSeconds(8));
        run.pause(1, "lunch");
        run.setReadiness("b", Readiness.DRAINING);
        run.setReadiness("c", Readiness.REMOVED);
        assertInstanceOf(MigrationError.PauseReasonPersists.class, errorOf(() -> run.resume(1)));
        run.setReadiness("b", Readiness.READY);
        run.setReadiness("c", Readiness.READY);
        run.resume(1);
    }

    @Test
    void rollbackIsTooLateOnceTheOldSideIsDropped() throws Exception {
        run.create("acme", FIRST);
        run.run(Duration.ofSeconds(8));
        run.pass(1);
        run.run(Duration.ofSeconds(20));
        run.pass(1);
        assertEquals(
                new MigrationError.RollbackTooLate(1, MigrationState.RETIRING),
                errorOf(() -> run.rollBack(1, "x")));
    }

    /** As above, with one migration through all of it. */
    @Test
    void rejectedCommandsLeaveTheMigrationAsItWas() throws Exception {
        run.create("acme", FIRST);
        errorOf(() -> run.create("other", new SliceTransfer(0, "b", "e")));
        errorOf(() -> run.manager.passCheckpoint(1, UNKNOWN, run.now));
        errorOf(() -> run.resume(1));
        run.run(Duration.ofSeconds(8));
        Checkpoint open = run.migration(1).openCheckpoint();
        errorOf(() -> run.manager.passCheckpoint(1, UNKNOWN, run.now));
        run.pause(1, "lunch");
        errorOf(() -> run.pause(1, "again"));
        errorOf(() -> run.pass(1));
        run.setReadiness("b", Readiness.DRAINING);
        run.setReadiness("c", Readiness.REMOVED);
        errorOf(() -> run.resume(1));
        run.setReadiness("b", Readiness.READY);
        run.setReadiness("c", Readiness.READY);
        run.resume(1);
        run.pass(1);
        errorOf(() -> run.manager.passCheckpoint(1, open, run.now));
        run.run(Duration.ofSeconds(20));
        run.pass(1);
        errorOf(() -> run.rollBack(1, "x"));
        run.create("other", SECOND);
        assertEquals(MigrationState.RETIRING, run.migration(1).state());
    }
}
