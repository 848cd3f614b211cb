package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static postbeam.migration.MigrationScenario.SLICE_0_A_TO_E;
import static postbeam.migration.MigrationScenario.SLICE_1_B_TO_E;
import static postbeam.migration.MigrationScenario.errorOf;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import postbeam.model.Readiness;
import postbeam.slices.LayoutChange;

/** Each reason for which a command is rejected has its own type of error. */
class MigrationCommandsTest {
    private static final Checkpoint UNKNOWN_CHECKPOINT = new Checkpoint(1, "x");

    private final MigrationScenario scenario = new MigrationScenario();

    @Test
    void pauseOfUnknownMigrationFailsWithNotFound() {
        assertEquals(new MigrationError.NotFound(9), errorOf(() -> scenario.pause(9, "x")));
    }

    @Test
    void planWithDuplicateOrReservedSliceIsRejected() throws Exception {
        assertInstanceOf(
                MigrationError.InvalidPlan.class,
                errorOf(() -> scenario.createMigration("acme", SLICE_0_A_TO_E, SLICE_0_A_TO_E)));
        scenario.createMigration("acme", SLICE_0_A_TO_E);
        assertInstanceOf(
                MigrationError.InvalidPlan.class,
                errorOf(() -> scenario.createMigration("other", new SliceTransfer(0, "b", "e"))));
        assertEquals(
                "slice 0 belongs to migration 1 of acme",
                scenario.coordinator
                        .rejectionReason(new LayoutChange.Transfer(0, "b", "e"))
                        .orElse(""));
    }

    @Test
    void passCheckpointSucceedsOnceAndOnlyForTheOpenCheckpoint() throws Exception {
        scenario.createMigration("acme", SLICE_0_A_TO_E);
        assertEquals(
                new MigrationError.NoOpenCheckpoint(1, MigrationState.PLANNED),
                errorOf(
                        () ->
                                scenario.manager.passCheckpoint(
                                        1, UNKNOWN_CHECKPOINT, scenario.now)));
        scenario.runFor(Duration.ofSeconds(8));
        Checkpoint open = scenario.migration(1).openCheckpoint();
        assertEquals(
                new MigrationError.StaleCheckpoint(1, UNKNOWN_CHECKPOINT, open),
                errorOf(
                        () ->
                                scenario.manager.passCheckpoint(
                                        1, UNKNOWN_CHECKPOINT, scenario.now)));
        scenario.pause(1, "maintenance");
        assertEquals(
                new MigrationError.MigrationPaused(1, "maintenance"),
                errorOf(() -> scenario.passCheckpoint(1)));
        scenario.resume(1);
        scenario.passCheckpoint(1);
        assertEquals(
                new MigrationError.CheckpointAlreadyPassed(1, open),
                errorOf(() -> scenario.manager.passCheckpoint(1, open, scenario.now)));
    }

    @Test
    void pauseOfPausedAndResumeOfRunningMigrationFail() throws Exception {
        scenario.createMigration("acme", SLICE_0_A_TO_E);
        assertEquals(new MigrationError.NotPaused(1), errorOf(() -> scenario.resume(1)));
        scenario.pause(1, "maintenance");
        assertEquals(
                new MigrationError.MigrationPaused(1, "maintenance"),
                errorOf(() -> scenario.pause(1, "again")));
    }

    @Test
    void resumeFailsWhilePauseReasonPersists() throws Exception {
        scenario.createMigration("acme", SLICE_0_A_TO_E);
        scenario.runFor(Duration.ofSeconds(8));
        scenario.pause(1, "maintenance");
        scenario.setReadiness("b", Readiness.DRAINING);
        scenario.setReadiness("c", Readiness.REMOVED);
        assertInstanceOf(
                MigrationError.PauseReasonPersists.class, errorOf(() -> scenario.resume(1)));
        scenario.setReadiness("b", Readiness.READY);
        scenario.setReadiness("c", Readiness.READY);
        scenario.resume(1);
    }

    @Test
    void rollbackOfRetiringMigrationFails() throws Exception {
        scenario.createMigration("acme", SLICE_0_A_TO_E);
        scenario.runFor(Duration.ofSeconds(8));
        scenario.passCheckpoint(1);
        scenario.runFor(Duration.ofSeconds(20));
        scenario.passCheckpoint(1);
        assertEquals(
                new MigrationError.RollbackTooLate(1, MigrationState.RETIRING),
                errorOf(() -> scenario.rollBack(1, "x")));
    }

    /** Repeats the rejected commands of the other tests in the course of one migration. */
    @Test
    void rejectedCommandsDoNotChangeTheMigration() throws Exception {
        scenario.createMigration("acme", SLICE_0_A_TO_E);
        errorOf(() -> scenario.createMigration("other", new SliceTransfer(0, "b", "e")));
        errorOf(() -> scenario.manager.passCheckpoint(1, UNKNOWN_CHECKPOINT, scenario.now));
        errorOf(() -> scenario.resume(1));
        scenario.runFor(Duration.ofSeconds(8));
        Checkpoint open = scenario.migration(1).openCheckpoint();
        errorOf(() -> scenario.manager.passCheckpoint(1, UNKNOWN_CHECKPOINT, scenario.now));
        scenario.pause(1, "maintenance");
        errorOf(() -> scenario.pause(1, "again"));
        errorOf(() -> scenario.passCheckpoint(1));
        scenario.setReadiness("b", Readiness.DRAINING);
        scenario.setReadiness("c", Readiness.REMOVED);
        errorOf(() -> scenario.resume(1));
        scenario.setReadiness("b", Readiness.READY);
        scenario.setReadiness("c", Readiness.READY);
        scenario.resume(1);
        scenario.passCheckpoint(1);
        errorOf(() -> scenario.manager.passCheckpoint(1, open, scenario.now));
        scenario.runFor(Duration.ofSeconds(20));
        scenario.passCheckpoint(1);
        errorOf(() -> scenario.rollBack(1, "x"));
        scenario.createMigration("other", SLICE_1_B_TO_E);
        assertEquals(MigrationState.RETIRING, scenario.migration(1).state());
    }
}
