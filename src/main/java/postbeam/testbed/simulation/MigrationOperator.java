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

    private final MigrationSimulation simulation;
    private final Map<Long, MigrationState> rollbackStates = new HashMap<>();
    private final Map<Long, Duration> pausedSince = new HashMap<>();

    MigrationOperator(MigrationSimulation simulation) {
        this.simulation = simulation;
    }

    void operate() {
        simulation.after(Duration.ofMillis(30), this::operate);
        if (!simulation.activeCoordinator.isRunning()) {
            if (simulation.activeCoordinator.dead() && simulation.withProbability(0.05)) {
                simulation.startSuccessor();
            }
            return;
        }
        for (Slice slice : simulation.activeCoordinator.coordinator.state().layout().slices()) {
            long unavailable =
                    slice.nodes().stream()
                            .map(simulation::node)
                            .filter(
                                    node ->
                                            node.alive
                                                    && (node.copies.get(slice.number()) == null
                                                            || node.copies.get(slice.number()).state
                                                                    != SimulatedMigrationNode
                                                                            .CopyState.SERVING))
                            .count();
            if (unavailable > 1) {
                simulation.addViolation(
                        unavailable
                                + " replicas of slice "
                                + slice.number()
                                + " do not serve it at the same time");
            }
        }
        for (Migration migration :
                List.copyOf(
                        simulation
                                .activeCoordinator
                                .migrations
                                .journalState()
                                .activeMigrations())) {
            operate(migration);
        }
    }

    private void operate(Migration migration) {
        MigrationState rollbackState =
                rollbackStates.computeIfAbsent(
                        migration.id,
                        id ->
                                !simulation.faults
                                        ? MigrationState.RETIRED
                                        : STATES.get(simulation.random.nextInt(STATES.size())));
        if (migration.state() == rollbackState
                && migration.state().allowsRollback()
                && simulation.withProbability(0.3)) {
            simulation.activeCoordinator.execute(
                    migrations ->
                            () ->
                                    migrations.rollBack(
                                            migration.id,
                                            "requested by the operator",
                                            simulation.now));
            return;
        }
        if (migration.isPaused()) {
            Duration since = pausedSince.computeIfAbsent(migration.id, id -> simulation.now);
            if (simulation.now.minus(since).compareTo(Duration.ofMillis(200)) > 0) {
                pausedSince.remove(migration.id);
                if (migration.pauseReason() == PauseReason.DIGEST_MISMATCH
                        && migration.state().allowsRollback()
                        && simulation.withProbability(0.5)) {
                    simulation.activeCoordinator.execute(
                            migrations ->
                                    () ->
                                            migrations.rollBack(
                                                    migration.id,
                                                    migration.pauseDetail(),
                                                    simulation.now));
                } else {
                    simulation.activeCoordinator.migrations.updateUtility(migration.member, 1);
                    simulation.activeCoordinator.execute(
                            migrations -> () -> migrations.resume(migration.id, simulation.now));
                }
            }
            return;
        }
        if (migration.openCheckpoint() != null
                && (simulation.withProbability(0.15) || simulation.faultsEnded)) {
            Checkpoint open = migration.openCheckpoint();
            expectRefusal(
                    migration.id,
                    new Checkpoint(open.layoutVersion() + 1, open.digest()),
                    MigrationError.StaleCheckpoint.class);
            OperatorErrorException error =
                    simulation.activeCoordinator.execute(
                            migrations ->
                                    () ->
                                            migrations.passCheckpoint(
                                                    migration.id, open, simulation.now));
            if (error != null) {
                simulation.addViolation(
                        "the command that names the open checkpoint was refused: "
                                + error.getMessage());
            }
            if (simulation.activeCoordinator.isRunning()) {
                expectRefusal(migration.id, open, MigrationError.CheckpointAlreadyPassed.class);
            }
        } else if (!simulation.faultsEnded && simulation.withProbability(0.01)) {
            simulation.activeCoordinator.execute(
                    migrations ->
                            () ->
                                    migrations.pause(
                                            migration.id,
                                            "requested by the operator",
                                            simulation.now));
        } else if (!simulation.faultsEnded && simulation.withProbability(0.004)) {
            simulation.activeCoordinator.migrations.updateUtility(migration.member, 0.5);
        }
    }

    private void expectRefusal(
            long id, Checkpoint checkpoint, Class<? extends MigrationError> expectedError) {
        if (!simulation.activeCoordinator.isRunning()) {
            return;
        }
        OperatorErrorException error =
                simulation.activeCoordinator.execute(
                        migrations ->
                                () -> migrations.passCheckpoint(id, checkpoint, simulation.now));
        if (error == null || error.error().getClass() != expectedError) {
            simulation.addViolation(
                    "expected the error "
                            + expectedError.getSimpleName()
                            + " for a checkpoint command, got "
                            + error);
        }
    }
}
