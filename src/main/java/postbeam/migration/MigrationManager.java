package postbeam.migration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import postbeam.errors.OperatorErrorException;
import postbeam.slices.Coordinator;
import postbeam.slices.Move;
import postbeam.slices.MoveState;

/**
 * Decides how migrations proceed: takes operators' commands, events of the cluster and the time,
 * and returns the actions to carry out, in order. The state that must survive a restart is in the
 * {@link MigrationJournalState}; everything else is rebuilt by the process that takes over.
 *
 * <p>Not thread-safe. {@link #tick} must be called before the tick of the {@link Coordinator},
 * whose move admission this class provides. All times are durations since the Unix epoch.
 */
public class MigrationManager implements SwitchConditions {
    private final Coordinator coordinator;
    private final MigrationJournalState journalState;
    private final RouterAcknowledgements routerAcknowledgements;
    private final TransferProgress progress;
    private final SliceSizes sliceSizes;
    private final MovePlanner planner;
    private final MoveVerifier verifier;
    private final PauseDetector pauseDetector;
    private final MigrationStateMachine stateMachine;

    /**
     * Creates a manager and installs it as the coordinator's move admission.
     *
     * @param journalState the migrations, updated by the records of the coordinator's journal
     * @param createdAt the current time, as a duration since the Unix epoch
     */
    public MigrationManager(
            Coordinator coordinator,
            MigrationJournalState journalState,
            MigrationLimits limits,
            Duration createdAt) {
        RequestIds requestIds = new RequestIds();
        this.coordinator = coordinator;
        this.journalState = journalState;
        this.routerAcknowledgements =
                new RouterAcknowledgements(limits.routerLease(), limits.clockDrift(), createdAt);
        this.progress = new TransferProgress(coordinator, journalState);
        this.sliceSizes = new SliceSizes(progress, limits, requestIds);
        this.planner = new MovePlanner(coordinator, progress, sliceSizes, limits);
        this.verifier = new MoveVerifier(limits, requestIds, this);
        this.pauseDetector = new PauseDetector(progress, verifier, this, limits, createdAt);
        this.stateMachine =
                new MigrationStateMachine(
                        progress, journalState, planner, verifier, pauseDetector, this, limits);
        coordinator.setAdmission(new MigrationMoveAdmission(progress, journalState, this));
    }

    /** All migrations, as recorded in the journal. */
    public MigrationJournalState journalState() {
        return journalState;
    }

    /**
     * The layout version that each router has acknowledged. The caller reports each router's
     * requests and responses to it.
     */
    public RouterAcknowledgements routerAcknowledgements() {
        return routerAcknowledgements;
    }

    // ---- operators' commands; a command that throws has changed nothing

    /** Creates a member's migration, with the next id of the journal state. */
    public List<MigrationAction> createMigration(
            String member, List<SliceTransfer> transfers, Duration now)
            throws OperatorErrorException {
        Optional<String> problem = planProblem(transfers);
        if (problem.isPresent()) {
            throw new MigrationError.InvalidPlan(member, problem.get()).toException();
        }
        return append(
                new MigrationRecord.Created(
                        journalState.nextId(),
                        member,
                        transfers,
                        progress.currentLayout().version,
                        pauseDetector.utilityOf(member),
                        now));
    }

    /** The reason for which the transfers can't be planned, in one line; empty if they can. */
    Optional<String> planProblem(List<SliceTransfer> transfers) {
        if (transfers.isEmpty()) {
            return Optional.of("the list of hops is empty");
        }
        Set<Integer> slices = new HashSet<>();
        for (SliceTransfer transfer : transfers) {
            if (!slices.add(transfer.slice())) {
                return Optional.of(
                        "slice "
                                + transfer.slice()
                                + " is in more than one hop: a migration moves one replica of a"
                                + " slice");
            }
            Optional<String> problem = coordinator.rejectionReason(transfer.forwardChange());
            if (problem.isPresent()) {
                return problem;
            }
        }
        return Optional.empty();
    }

    /** Pauses a migration until an operator resumes it. */
    public List<MigrationAction> pause(long id, String detail, Duration now)
            throws OperatorErrorException {
        requireNotPaused(requireActive(id));
        return append(new MigrationRecord.Paused(id, PauseReason.OPERATOR, detail, now));
    }

    /**
     * Resumes a paused migration. Copies that differ from their source, and stalled copies that
     * their target no longer keeps up to date, are abandoned and made again. Fails while the reason
     * of the pause persists.
     */
    public List<MigrationAction> resume(long id, Duration now) throws OperatorErrorException {
        Migration migration = requireActive(id);
        if (!migration.isPaused()) {
            throw new MigrationError.NotPaused(id).toException();
        }
        Optional<MigrationRecord.Paused> reason = pauseDetector.persistentReason(migration, now);
        if (reason.isPresent()) {
            throw new MigrationError.PauseReasonPersists(id, reason.get().detail()).toException();
        }
        ActionBatch batch = new ActionBatch(coordinator);
        for (SliceTransfer transfer : migration.transfers) {
            progress.activeMove(transfer)
                    .ifPresent(move -> resumeMove(batch, migration, move, now));
        }
        batch.append(new MigrationRecord.Resumed(id, now));
        return batch.actions();
    }

    private void resumeMove(ActionBatch batch, Migration migration, Move move, Duration now) {
        boolean wasLagging = pauseDetector.clearLag(move);
        Optional<ReplicaComparison> comparison = verifier.discard(move);
        boolean stalled = wasLagging && migration.pauseReason() == PauseReason.STALLED;
        boolean differs = comparison.isPresent() && !comparison.get().differences().isEmpty();
        if ((stalled || differs) && TransferProgress.isAbandonable(move)) {
            batch.abandonForRecopy(move, now);
        }
    }

    /** Passes the open checkpoint, which must equal the requested one. */
    public List<MigrationAction> passCheckpoint(long id, Checkpoint requested, Duration now)
            throws OperatorErrorException {
        Migration migration = requireActive(id);
        Checkpoint open = migration.openCheckpoint();
        if (!requested.equals(open)) {
            throw checkpointError(migration, requested).toException();
        }
        requireNotPaused(migration);
        return append(new MigrationRecord.CheckpointPassed(id, now));
    }

    private static MigrationError checkpointError(Migration migration, Checkpoint requested) {
        if (requested.equals(migration.passedCheckpoint())) {
            return new MigrationError.CheckpointAlreadyPassed(migration.id, requested);
        }
        Checkpoint open = migration.openCheckpoint();
        return open == null
                ? new MigrationError.NoOpenCheckpoint(migration.id, migration.state())
                : new MigrationError.StaleCheckpoint(migration.id, requested, open);
    }

    /** Starts the rollback of a migration, which also ends its pause. */
    public List<MigrationAction> rollBack(long id, String reason, Duration now)
            throws OperatorErrorException {
        Migration migration = requireActive(id);
        if (!migration.state().allowsRollback()) {
            throw new MigrationError.RollbackTooLate(id, migration.state()).toException();
        }
        return append(new MigrationRecord.RollbackStarted(id, reason, now));
    }

    private List<MigrationAction> append(MigrationRecord migrationRecord) {
        ActionBatch batch = new ActionBatch(coordinator);
        batch.append(migrationRecord);
        return batch.actions();
    }

    private Migration requireActive(long id) throws OperatorErrorException {
        return journalState
                .findActive(id)
                .orElseThrow(() -> new MigrationError.NotFound(id).toException());
    }

    private static void requireNotPaused(Migration migration) throws OperatorErrorException {
        if (migration.isPaused()) {
            throw new MigrationError.MigrationPaused(migration.id, migration.pauseDetail())
                    .toException();
        }
    }

    // ---- cluster events

    /**
     * Handles the start of nodes: they are warming up, and may have missed writes to slices that
     * they hold but do not serve yet. Moves that copy such slices to them are abandoned.
     */
    public List<MigrationAction> onNodesStarted(Collection<String> nodes, Duration now) {
        pauseDetector.onNodesStarted(nodes, now);
        ActionBatch batch = new ActionBatch(coordinator);
        for (Migration migration : journalState.activeMigrations()) {
            for (SliceTransfer transfer : migration.transfers) {
                progress.activeMove(transfer)
                        .filter(move -> hasUnservedTarget(move, nodes))
                        .ifPresent(
                                move -> batch.abandonMove(move, "its target node restarted", now));
            }
        }
        return batch.actions();
    }

    private static boolean hasUnservedTarget(Move move, Collection<String> nodes) {
        return move.destinations.stream()
                        .anyMatch(destination -> nodes.contains(destination.node()))
                && TransferProgress.isAbandonable(move)
                && move.state() != MoveState.PLANNED;
    }

    /** Updates a member's utility, a measure from 0 to 1 of how well the member is served. */
    public void updateUtility(String member, double utility) {
        pauseDetector.updateUtility(member, utility);
    }

    /** Handles a node's response to the digest request with this id. */
    public void onRangeDigests(
            long requestId, String node, List<RangeDigest> digests, Duration now) {
        if (!sliceSizes.onRangeDigests(requestId, digests)) {
            verifier.onRangeDigests(requestId, node, digests, now);
        }
    }

    // ---- periodic work

    /**
     * Advances the active migrations and returns the actions to carry out; returns none before the
     * coordinator has received a node list.
     */
    public List<MigrationAction> tick(Duration now) {
        ActionBatch batch = new ActionBatch(coordinator);
        if (!coordinator.hasNodeList()) {
            return batch.actions();
        }
        for (Migration migration : byCopiedBytes(journalState.activeMigrations())) {
            stateMachine.advance(batch, migration, now);
        }
        verifier.retainActive(progress);
        pauseDetector.retainActive();
        stateMachine.retainActive();
        planner.retainMembers(
                journalState.activeMigrations().stream()
                        .map(migration -> migration.member)
                        .collect(Collectors.toSet()));
        return batch.actions();
    }

    /**
     * Sorts migrations by the bytes that their member has copied, fewest first, so that a large
     * member does not delay the others.
     */
    private List<Migration> byCopiedBytes(List<Migration> migrations) {
        List<Migration> sorted = new ArrayList<>(migrations);
        sorted.sort(
                Comparator.comparingLong(
                                (Migration migration) -> planner.copiedBytes(migration.member))
                        .thenComparingLong(migration -> migration.id));
        return sorted;
    }

    // ---- switch conditions

    @Override
    public boolean isVerified(Migration migration, Move move) {
        return migration.isVerified(move.id);
    }

    @Override
    public boolean allRoutersAcknowledged(long layoutVersion, Duration now) {
        return routerAcknowledgements.allAcknowledged(layoutVersion, now);
    }
}
