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
 * Decides how migrations go on: takes operators' commands, events of the cluster and the time, and
 * returns the actions to carry out, in their order. What must survive a restart is in the {@link
 * MigrationJournalState}; everything else here is rebuilt by a successor.
 *
 * <p>It is called by one thread at a time, and {@link #tick} before the {@link Coordinator}'s,
 * whose move admission it provides. All times are spans since 1970.
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
     * Provides the coordinator's move admission from now on.
     *
     * @param journalState which the coordinator's journal feeds
     * @param createdAt now, as a span since 1970
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

    /** All migrations, as the journal has them. */
    public MigrationJournalState journalState() {
        return journalState;
    }

    /** Which layout each router has; told of each router's request and response by the caller. */
    public RouterAcknowledgements routerAcknowledgements() {
        return routerAcknowledgements;
    }

    // ---- operators' commands; one that fails has changed nothing

    /** Creates a member's migration; its id is the one that the journal state named as the next. */
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

    /** Why these transfers can't be planned, in one line; empty where they can. */
    Optional<String> planProblem(List<SliceTransfer> transfers) {
        if (transfers.isEmpty()) {
            return Optional.of("it has no hop");
        }
        Set<Integer> slices = new HashSet<>();
        for (SliceTransfer transfer : transfers) {
            if (!slices.add(transfer.slice())) {
                return Optional.of(
                        "slice "
                                + transfer.slice()
                                + " stands there twice: one holder is moved at a time");
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
     * Resumes a paused migration; copies that differ or lag are made anew. Fails as long as the
     * reason lasts.
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

    /** Passes the open checkpoint, which must be the requested one. */
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

    /** Rolls a migration back, which also ends its pause. */
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

    // ---- events

    /**
     * These nodes have started: they are warming up, and may have missed writes of slices that they
     * do not serve yet.
     */
    public List<MigrationAction> onNodesStarted(Collection<String> nodes, Duration now) {
        pauseDetector.onNodesStarted(nodes, now);
        ActionBatch batch = new ActionBatch(coordinator);
        for (Migration migration : journalState.activeMigrations()) {
            for (SliceTransfer transfer : migration.transfers) {
                progress.activeMove(transfer)
                        .filter(move -> hasUnservedTarget(move, nodes))
                        .ifPresent(move -> batch.abandonMove(move, "its target started anew", now));
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

    /** How well a member is served, from 0 to 1. */
    public void updateUtility(String member, double utility) {
        pauseDetector.updateUtility(member, utility);
    }

    /** A node's answer to the request of this id. */
    public void onRangeDigests(
            long requestId, String node, List<RangeDigest> digests, Duration now) {
        if (!sliceSizes.onRangeDigests(requestId, digests)) {
            verifier.onRangeDigests(requestId, node, digests, now);
        }
    }

    // ---- time

    /** What is to be done now; nothing before the coordinator has received a node list. */
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
     * The member that has copied least goes first, so that a large one does not hold up the others.
     */
    private List<Migration> byCopiedBytes(List<Migration> migrations) {
        List<Migration> sorted = new ArrayList<>(migrations);
        sorted.sort(
                Comparator.comparingLong(
                                (Migration migration) -> planner.copiedBytes(migration.member))
                        .thenComparingLong(migration -> migration.id));
        return sorted;
    }

    // ---- conditions of the switch

    @Override
    public boolean isVerified(Migration migration, Move move) {
        return migration.isVerified(move.id);
    }

    @Override
    public boolean allRoutersAcknowledged(long layoutVersion, Duration now) {
        return routerAcknowledgements.allAcknowledged(layoutVersion, now);
    }
}
