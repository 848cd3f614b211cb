package postbeam.testbed.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import postbeam.errors.OperatorErrorException;
import postbeam.migration.Checkpoint;
import postbeam.migration.Migration;
import postbeam.migration.MigrationError;
import postbeam.migration.MigrationState;
import postbeam.migration.PauseReason;
import postbeam.slices.Slice;

/**
 * The simulated operator: approves checkpoints, resumes paused migrations, rolls each back at a
 * randomly drawn state, and issues commands that must be refused.
 */
final class MigrationOperator {
    private static final List<MigrationState> STATES = List.of(MigrationState.values());

    private final MigrationSimulation run;
    private final Map<Long, MigrationState> goBackAt = new HashMap<>();
    private final Map<Long, Duration> pausedSince = new HashMap<>();

    MigrationOperator(MigrationSimulation run) {
        this.run = run;
    }

    void operate() {
        run.after(Duration.ofMillis(30), this::operate);
        if (!run.chief.works()) {
            if (run.chief.dead() && run.with(0.05)) {
                run.succeed();
            }
            return;
        }
        for (Slice slice : run.chief.coordinator.state().layout().slices()) {
            long away =
                    slice.nodes().stream()
                            .map(run::node)
                            .filter(
                                    node ->
                                            node.alive
                                                    && (node.copies.get(slice.number()) == null
                                                            || node.copies.get(slice.number())
                                                                            .standing
                                                                    != SimulatedMigrationNode
                                                                            .Standing.SERVING))
                            .count();
            if (away > 1) {
                run.breaks(
                        away
                                + " replicas of slice "
                                + slice.number()
                                + " do not serve it at the same time");
            }
        }
        for (Migration one : List.copyOf(run.chief.migrations.journalState().activeMigrations())) {
            operate(one);
        }
    }

    private void operate(Migration one) {
        MigrationState back =
                goBackAt.computeIfAbsent(
                        one.id,
                        id ->
                                !run.faults
                                        ? MigrationState.RETIRED
                                        : STATES.get(run.chance.nextInt(STATES.size())));
        if (one.state() == back && one.state().allowsRollback() && run.with(0.3)) {
            run.chief.ordered(
                    migrations -> () -> migrations.rollBack(one.id, "an operator's wish", run.now));
            return;
        }
        if (one.isPaused()) {
            Duration since = pausedSince.computeIfAbsent(one.id, id -> run.now);
            if (run.now.minus(since).compareTo(Duration.ofMillis(200)) > 0) {
                pausedSince.remove(one.id);
                if (one.pauseReason() == PauseReason.DIGEST_MISMATCH
                        && one.state().allowsRollback()
                        && run.with(0.5)) {
                    run.chief.ordered(
                            migrations ->
                                    () -> migrations.rollBack(one.id, one.pauseDetail(), run.now));
                } else {
                    run.chief.migrations.updateUtility(one.member, 1);
                    run.chief.ordered(migrations -> () -> migrations.resume(one.id, run.now));
                }
            }
            return;
        }
        if (one.openCheckpoint() != null && (run.with(0.15) || run.calm)) {
            Checkpoint right = one.openCheckpoint();
            refused(
                    one.id,
                    new Checkpoint(right.layoutVersion() + 1, right.digest()),
                    MigrationError.StaleCheckpoint.class);
            OperatorErrorException failed =
                    run.chief.ordered(
                            migrations -> () -> migrations.passCheckpoint(one.id, right, run.now));
            if (failed != null) {
                run.breaks(
                        "the command that names the open checkpoint was refused: "
                                + failed.getMessage());
            }
            if (run.chief.works()) {
                refused(one.id, right, MigrationError.CheckpointAlreadyPassed.class);
            }
        } else if (!run.calm && run.with(0.01)) {
            run.chief.ordered(
                    migrations -> () -> migrations.pause(one.id, "an operator's wish", run.now));
        } else if (!run.calm && run.with(0.004)) {
            run.chief.migrations.updateUtility(one.member, 0.5);
        }
    }

    private void refused(long id, Checkpoint named, Class<? extends MigrationError> as) {
        if (!run.chief.works()) {
            return;
        }
        OperatorErrorException refused =
                run.chief.ordered(
                        migrations -> () -> migrations.passCheckpoint(id, named, run.now));
        if (refused == null || refused.error().getClass() != as) {
            run.breaks(
                    "expected the error "
                            + as.getSimpleName()
                            + " for a checkpoint command, got "
                            + refused);
        }
    }
}
