package postbeam.migration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import postbeam.errors.OperatorErrorException;
import postbeam.model.Readiness;
import postbeam.slices.Coordinator;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.HandoffCommand;
import postbeam.slices.JournalRecord;
import postbeam.slices.Layout;
import postbeam.slices.LayoutChange;
import postbeam.slices.Move;
import postbeam.slices.MoveAdmission;
import postbeam.slices.MoveState;
import postbeam.slices.Slice;
import postbeam.slices.TargetLayout;

/**
 * Decides how migrations go on. What must outlive it is in the {@link MigrationJournalState}; which
 * move is a hop's is told by the move's change, so one that died goes on from its log. To be called
 * by one thread at a time, and ticked before the {@link Coordinator}, whose gate it is.
 */
public class MigrationManager implements MoveAdmission {
    /**
     * Why a copy that differs, or that its target no longer holds, is thrown away when a migration
     * goes on.
     */
    private static final String RECOPY_REASON = "its copy was no good: copied anew";

    /** Members whose utility is kept. */
    private static final int MAX_MEMBERS = 1000;

    private final Coordinator coordinator;
    private final MigrationJournalState journalState;
    private final MigrationLimits limits;
    private final RouterAcknowledgements routerAcknowledgements;
    private final Duration createdAt;
    private final MigrationThrottle throttle;
    private final Map<Long, ReplicaComparison> comparisons = new TreeMap<>();
    private final Map<String, Duration> nodeStartedAt = new HashMap<>();
    private final Map<String, Double> memberUtilities = new LinkedHashMap<>();
    private final Map<Integer, Long> sliceBytes = new HashMap<>();

    /** Since when a move's target has not said that it keeps up. */
    private final Map<Long, Duration> laggingSince = new HashMap<>();

    /** The layout that all routers must have, by migration. */
    private final Map<Long, Long> versionToAcknowledge = new HashMap<>();

    /** Questions for what a slice weighs, and the first time that each was asked for. */
    private final Map<Long, Integer> sizeRequests = new HashMap<>();

    private final Map<Integer, Duration> sizeFirstRequestedAt = new HashMap<>();
    private final Map<Integer, Duration> sizeLastRequestedAt = new HashMap<>();
    private long lastRequestId;

    public MigrationManager(
            Coordinator coordinator,
            MigrationJournalState book,
            MigrationLimits limits,
            Duration startedAt) {
        this.coordinator = coordinator;
        this.journalState = book;
        this.limits = limits;
        this.createdAt = startedAt;
        this.routerAcknowledgements =
                new RouterAcknowledgements(limits.routerLease(), limits.clockDrift(), startedAt);
        this.throttle = new MigrationThrottle(limits.movesPerSecond(), limits.bytesPerSecond());
        coordinator.admission(this);
    }

    public MigrationJournalState journalState() {
        return journalState;
    }

    public RouterAcknowledgements routerAcknowledgements() {
        return routerAcknowledgements;
    }

    // ---- what operators order

    /** Plans a member's migration; its number is the last that the book has. */
    public List<MigrationAction> createMigration(
            String member, List<SliceTransfer> hops, Duration now) throws OperatorErrorException {
        Optional<String> problem = planProblem(hops);
        if (problem.isPresent()) {
            throw new OperatorErrorException(new MigrationError.InvalidPlan(member, problem.get()));
        }
        List<MigrationAction> doings = new ArrayList<>();
        appendRecord(
                doings,
                new MigrationRecord.Created(
                        journalState.nextId(),
                        member,
                        hops,
                        currentLayout().version,
                        memberUtilities.getOrDefault(member, 0.0),
                        now));
        return doings;
    }

    /** Why these can't be planned, in one line; empty where they can. */
    public Optional<String> planProblem(List<SliceTransfer> hops) {
        Set<Integer> slices = new HashSet<>();
        if (hops.isEmpty()) {
            return Optional.of("it has no hop");
        }
        for (SliceTransfer hop : hops) {
            if (!slices.add(hop.slice())) {
                return Optional.of(
                        "slice "
                                + hop.slice()
                                + " stands there twice: one holder is moved at a time");
            }
            Optional<String> problem = coordinator.rejectionReason(hop.forwardMove());
            if (problem.isPresent()) {
                return problem;
            }
        }
        return Optional.empty();
    }

    public List<MigrationAction> pause(long id, String why, Duration now)
            throws OperatorErrorException {
        Migration one = requireActive(id);
        if (one.isPaused()) {
            throw new OperatorErrorException(
                    new MigrationError.MigrationPaused(id, one.pauseDetail()));
        }
        List<MigrationAction> doings = new ArrayList<>();
        appendRecord(doings, new MigrationRecord.Paused(id, PauseReason.OPERATOR, why, now));
        return doings;
    }

    public List<MigrationAction> resume(long id, Duration now) throws OperatorErrorException {
        Migration one = requireActive(id);
        if (!one.isPaused()) {
            throw new OperatorErrorException(new MigrationError.NotPaused(id));
        }
        Optional<MigrationRecord.Paused> still = persistentPauseReason(one, now);
        if (still.isPresent()) {
            throw new OperatorErrorException(
                    new MigrationError.PauseReasonPersists(id, still.get().detail()));
        }
        List<MigrationAction> doings = new ArrayList<>();
        for (SliceTransfer hop : one.transfers) {
            Move move = activeMove(hop);
            if (move != null) {
                boolean behind =
                        laggingSince.remove(move.id) != null
                                && one.pauseReason() == PauseReason.STALLED;
                ReplicaComparison comparison = comparisons.remove(move.id);
                if ((behind || comparison != null && !comparison.differences().isEmpty())
                        && isAbandonable(move)) {
                    abandon(doings, move, RECOPY_REASON, now);
                }
            }
        }
        appendRecord(doings, new MigrationRecord.Resumed(id, now));
        return doings;
    }

    /** Passes the open checkpoint, which must be the one that the order names. */
    public List<MigrationAction> passCheckpoint(long id, Checkpoint named, Duration now)
            throws OperatorErrorException {
        Migration one = requireActive(id);
        if (one.openCheckpoint() == null || !one.openCheckpoint().equals(named)) {
            if (named.equals(one.passedCheckpoint())) {
                throw new OperatorErrorException(
                        new MigrationError.CheckpointAlreadyPassed(id, named));
            }
            throw new OperatorErrorException(
                    one.openCheckpoint() == null
                            ? new MigrationError.NoOpenCheckpoint(id, one.state())
                            : new MigrationError.StaleCheckpoint(id, named, one.openCheckpoint()));
        }
        if (one.isPaused()) {
            throw new OperatorErrorException(
                    new MigrationError.MigrationPaused(id, one.pauseDetail()));
        }
        List<MigrationAction> doings = new ArrayList<>();
        appendRecord(doings, new MigrationRecord.CheckpointPassed(id, now));
        return doings;
    }

    /** Takes a migration back, paused or not; the pause is over then. */
    public List<MigrationAction> rollBack(long id, String why, Duration now)
            throws OperatorErrorException {
        Migration one = requireActive(id);
        if (!one.state().allowsRollback()) {
            throw new OperatorErrorException(new MigrationError.RollbackTooLate(id, one.state()));
        }
        List<MigrationAction> doings = new ArrayList<>();
        appendRecord(doings, new MigrationRecord.RollbackStarted(id, why, now));
        return doings;
    }

    private Migration requireActive(long id) throws OperatorErrorException {
        Migration one = journalState.find(id);
        if (one == null || one.state().isFinal()) {
            throw new OperatorErrorException(new MigrationError.NotFound(id));
        }
        return one;
    }

    // ---- what happens

    /**
     * These nodes have started: cold, and what they had not yet served they may have missed writes
     * of.
     */
    public List<MigrationAction> onNodesStarted(Collection<String> nodes, Duration now) {
        List<MigrationAction> doings = new ArrayList<>();
        nodes.forEach(node -> nodeStartedAt.put(node, now));
        nodeStartedAt.values().removeIf(at -> now.minus(at).compareTo(limits.warmUpPeriod()) > 0);
        for (Migration one : journalState.activeMigrations()) {
            for (SliceTransfer hop : one.transfers) {
                Move move = activeMove(hop);
                if (move != null
                        && move.destinations.stream().anyMatch(gain -> nodes.contains(gain.node()))
                        && isAbandonable(move)
                        && move.state != MoveState.PLANNED) {
                    abandon(doings, move, "its target started anew", now);
                }
            }
        }
        return doings;
    }

    /** How well a member is served, from 0 to 1. */
    public void updateUtility(String member, double utility) {
        if (memberUtilities.size() < MAX_MEMBERS || memberUtilities.containsKey(member)) {
            memberUtilities.put(member, utility);
        }
    }

    /** A node's answer to the question of that number. */
    public void onRangeDigests(long number, String node, List<RangeDigest> said, Duration now) {
        Integer slice = sizeRequests.remove(number);
        if (slice != null) {
            sliceBytes.put(slice, said.stream().mapToLong(RangeDigest::bytes).sum());
        } else {
            comparisons.values().forEach(one -> one.onDigests(number, node, said, now));
        }
    }

    /** What is to be done now. */
    public List<MigrationAction> tick(Duration now) {
        List<MigrationAction> doings = new ArrayList<>();
        if (!coordinator.listed()) {
            return doings;
        }
        // Who has had the least goes first, so that a large member does not hold up the others.
        List<Migration> open = new ArrayList<>(journalState.activeMigrations());
        open.sort(
                Comparator.comparingLong((Migration one) -> throttle.copiedBytes(one.member))
                        .thenComparingLong(one -> one.id));
        for (Migration one : open) {
            MigrationState before;
            do {
                before = one.state();
                advance(doings, one, now);
            } while (one.state() != before && !one.state().isFinal());
        }
        comparisons.keySet().removeIf(id -> coordinator.book().move(id) == null);
        laggingSince.keySet().removeIf(id -> coordinator.book().move(id) == null);
        versionToAcknowledge
                .keySet()
                .removeIf(
                        id ->
                                journalState.find(id) == null
                                        || journalState.find(id).state().isFinal());
        throttle.retainMembers(
                journalState.activeMigrations().stream()
                        .map(one -> one.member)
                        .collect(Collectors.toSet()));
        return doings;
    }

    private void advance(List<MigrationAction> doings, Migration one, Duration now) {
        if (one.isPaused()) {
            return;
        }
        Optional<MigrationRecord.Paused> cause =
                persistentPauseReason(one, now).or(() -> transientPauseReason(one, now));
        if (cause.isPresent()) {
            appendRecord(doings, cause.get());
            return;
        }
        switch (one.state()) {
            case PLANNED -> {
                if (journalState.activeMigrations().stream()
                                .filter(other -> other.state() != MigrationState.PLANNED)
                                .count()
                        < limits.maxActiveMigrations()) {
                    enterState(doings, one, MigrationState.COPYING, now);
                }
            }
            case COPYING -> {
                planMoves(doings, one, true, now);
                if (one.transfers.stream().allMatch(hop -> isCutOver(hop) || isHolding(hop))) {
                    enterState(doings, one, MigrationState.CAUGHT_UP, now);
                }
            }
            case CAUGHT_UP ->
                    enterState(
                            doings,
                            one,
                            one.transfers.stream().allMatch(hop -> isCutOver(hop) || isHolding(hop))
                                    ? MigrationState.VERIFYING
                                    : MigrationState.COPYING,
                            now);
            case VERIFYING -> verifyTransfers(doings, one, now);
            case SWITCH_CHECKPOINT -> {
                if (hasLostMove(one)) {
                    enterState(doings, one, MigrationState.COPYING, now);
                }
            }
            case SWITCHING -> switchOver(doings, one, now);
            case OBSERVING -> {
                if (now.minus(one.since()).compareTo(limits.observationPeriod()) >= 0) {
                    appendRecord(
                            doings,
                            new MigrationRecord.CheckpointOpened(
                                    one.id, currentLayout().version, checkpointDigest(one), now));
                }
            }
            case RETIRING -> {
                if (one.transfers.stream().allMatch(hop -> activeMove(hop) == null)) {
                    enterState(doings, one, MigrationState.RETIRED, now);
                }
            }
            case ROLLING_BACK -> rollingBack(doings, one, now);
            default -> {}
        }
    }

    /** Plans moves that are not there, as the batch and the pace allow. */
    private void planMoves(
            List<MigrationAction> doings, Migration one, boolean forward, Duration now) {
        long copying =
                one.transfers.stream()
                        .map(this::activeMove)
                        .filter(
                                move ->
                                        move != null
                                                && (move.state == MoveState.PLANNED
                                                        || move.state == MoveState.COPYING))
                        .count();
        for (SliceTransfer hop : one.transfers) {
            if (activeMove(hop) != null
                    || isCutOver(hop) == forward
                    || copying >= limits.maxConcurrentCopies()
                    || !throttle.canStart(now)) {
                continue;
            }
            LayoutChange change = forward ? hop.forwardMove() : hop.reverseMove();
            Optional<String> problem = coordinator.rejectionReason(change);
            if (problem.isPresent()) {
                appendRecord(
                        doings,
                        new MigrationRecord.Paused(
                                one.id, PauseReason.MOVE_FAILED, problem.get(), now));
                return;
            }
            if (sliceBytes.containsKey(hop.slice())) {
                throttle.onCopyStarted(one.member, sliceBytes.remove(hop.slice()), now);
                sizeFirstRequestedAt.remove(hop.slice());
                copying++;
                delegate(doings, coordinator.plan(change, now));
            } else if (requestSliceSize(doings, hop, now)) {
                appendRecord(
                        doings,
                        new MigrationRecord.Paused(
                                one.id,
                                PauseReason.STALLED,
                                "no holder says what slice " + hop.slice() + " weighs",
                                now));
                return;
            }
        }
    }

    /** Asks a holder what the slice's copy takes; true where that has long been in vain. */
    private boolean requestSliceSize(
            List<MigrationAction> doings, SliceTransfer hop, Duration now) {
        Duration last = sizeLastRequestedAt.get(hop.slice());
        if (last == null || now.minus(last).compareTo(limits.requestInterval()) >= 0) {
            sizeLastRequestedAt.put(hop.slice(), now);
            Slice slice = currentLayout().slice(hop.slice());
            String node =
                    slice.nodes().stream()
                            .filter(this::isReady)
                            .findFirst()
                            .orElse(slice.nodes().get(0));
            sizeRequests.values().removeIf(other -> other == hop.slice());
            sizeRequests.put(++lastRequestId, hop.slice());
            doings.add(
                    new MigrationAction.RequestDigests(
                            lastRequestId, node, hop.slice(), List.of(slice.keys())));
        }
        Duration first = sizeFirstRequestedAt.putIfAbsent(hop.slice(), now);
        if (first != null && now.minus(first).compareTo(limits.stallTimeout()) > 0) {
            sizeFirstRequestedAt.remove(hop.slice());
            return true;
        }
        return false;
    }

    private void verifyTransfers(List<MigrationAction> doings, Migration one, Duration now) {
        if (hasLostMove(one)) {
            enterState(doings, one, MigrationState.COPYING, now);
            return;
        }
        boolean all = true;
        for (SliceTransfer hop : one.transfers) {
            if (!isCutOver(hop)) {
                all &= verifyMove(doings, one, activeMove(hop), now);
            }
        }
        if (all) {
            appendRecord(
                    doings,
                    new MigrationRecord.CheckpointOpened(
                            one.id, currentLayout().version, checkpointDigest(one), now));
        }
    }

    /** True once both sides of the move agree. */
    private boolean verifyMove(
            List<MigrationAction> doings, Migration one, Move move, Duration now) {
        if (isVerified(one, move)) {
            return true;
        }
        ReplicaComparison comparison =
                comparisons.computeIfAbsent(
                        move.id,
                        id -> {
                            Move.Destination gain = move.destinations.get(0);
                            return new ReplicaComparison(
                                    gain.source(),
                                    gain.node(),
                                    gain.slice(),
                                    gain.keys(),
                                    limits,
                                    now);
                        });
        if (comparison.isMatch()) {
            appendRecord(
                    doings, new MigrationRecord.MoveVerified(one.id, move.id, comparison.digest()));
            return true;
        }
        List<MigrationAction> asks = comparison.nextRequests(++lastRequestId, now);
        doings.addAll(asks);
        return false;
    }

    /** Whether the move's two sides have been found the same. */
    protected boolean isVerified(Migration one, Move move) {
        return one.verifiedDigests.containsKey(move.id);
    }

    private void switchOver(List<MigrationAction> doings, Migration one, Duration now) {
        if (hasLostMove(one)) {
            enterState(doings, one, MigrationState.COPYING, now);
            return;
        }
        boolean cut = one.transfers.stream().allMatch(this::isCutOver);
        if (cut) {
            long version =
                    versionToAcknowledge.computeIfAbsent(one.id, id -> currentLayout().version);
            if (allRoutersAcknowledged(version, now)) {
                enterState(doings, one, MigrationState.OBSERVING, now);
            }
        }
    }

    /** Whether no router can go by an older layout any more. */
    protected boolean allRoutersAcknowledged(long version, Duration now) {
        return routerAcknowledgements.allAcknowledged(version, now);
    }

    private void rollingBack(List<MigrationAction> doings, Migration one, Duration now) {
        boolean over = true;
        for (SliceTransfer hop : one.transfers) {
            Move move = activeMove(hop);
            if (move == null) {
                over &= !isCutOver(hop);
                continue;
            }
            over = false;
            boolean forward = move.change.equals(hop.forwardMove());
            if (forward && move.state != MoveState.ABANDONING && !move.reverseWhenDone) {
                abandon(doings, move, one.rollbackReason(), now);
            } else if (!forward
                    && move.state == MoveState.REPLICATING
                    && coordinator.destinationsAcknowledged(move, HandoffCommand.HOLD)) {
                verifyMove(doings, one, move, now);
            }
        }
        planMoves(doings, one, false, now);
        if (over) {
            enterState(doings, one, MigrationState.ROLLED_BACK, now);
        }
    }

    // ---- causes to pause

    /** A cause that stands whatever has happened, and that resume waits for. */
    private Optional<MigrationRecord.Paused> persistentPauseReason(Migration one, Duration now) {
        if (one.state() == MigrationState.PLANNED
                || one.state().ordinal() > MigrationState.RETIREMENT_CHECKPOINT.ordinal()) {
            return Optional.empty();
        }
        for (SliceTransfer hop : one.transfers) {
            Slice slice = currentLayout().slice(hop.slice());
            // One that was never told of is waited for: a successor knows no node before the first
            // list.
            long sound =
                    slice.nodes().stream()
                            .filter(node -> coordinator.nodeInfo(node) == null || isReady(node))
                            .count();
            if (sound <= 1 && slice.nodes().size() > 1) {
                return pauseRecord(
                        one,
                        PauseReason.TOO_FEW_READY_REPLICAS,
                        "slice " + hop.slice() + " has " + sound + " ready holders",
                        now);
            }
            Duration started = nodeStartedAt.get(hop.target());
            if (started != null && now.minus(started).compareTo(limits.warmUpPeriod()) < 0) {
                return pauseRecord(
                        one,
                        PauseReason.TARGET_WARMING_UP,
                        "target " + hop.target() + " is cold",
                        now);
            }
        }
        Double utility = memberUtilities.get(one.member);
        if (utility != null && utility < limits.minUtilityRatio() * one.initialUtility) {
            return pauseRecord(
                    one,
                    PauseReason.UTILITY_DROPPED,
                    "utility of "
                            + one.member
                            + " fell to "
                            + utility
                            + " from "
                            + one.initialUtility,
                    now);
        }
        return Optional.empty();
    }

    /** A cause that an operator's resume makes good. */
    private Optional<MigrationRecord.Paused> transientPauseReason(Migration one, Duration now) {
        for (SliceTransfer hop : one.transfers) {
            Move move = activeMove(hop);
            if (move == null) {
                continue;
            }
            if (one.state() != MigrationState.ROLLING_BACK
                    && !RECOPY_REASON.equals(move.abandonReason)
                    && (move.state == MoveState.ABANDONING || move.reverseWhenDone)) {
                return pauseRecord(
                        one,
                        PauseReason.MOVE_FAILED,
                        "move "
                                + move.id
                                + " of slice "
                                + hop.slice()
                                + " was abandoned: "
                                + move.abandonReason,
                        now);
            }
            ReplicaComparison comparison = comparisons.get(move.id);
            if (comparison != null && comparison.isFinished() && !comparison.isMatch()) {
                return pauseRecord(
                        one,
                        PauseReason.DIGEST_MISMATCH,
                        "slice "
                                + hop.slice()
                                + " differs, keys "
                                + String.join("; ", comparison.differences()),
                        now);
            }
            boolean keepsUp =
                    move.state != MoveState.REPLICATING
                            || coordinator.destinationsAcknowledged(move, HandoffCommand.HOLD);
            if (keepsUp) {
                laggingSince.remove(move.id);
            } else {
                laggingSince.putIfAbsent(move.id, now);
            }
            // What stood still while no coordinator was there is given its time by the successor.
            Duration from =
                    move.state == MoveState.COPYING
                            ? later(createdAt, later(move.stateSince, one.since()))
                            : laggingSince.getOrDefault(
                                    move.id,
                                    comparison == null || isVerified(one, move)
                                            ? now
                                            : comparison.lastProgressAt());
            if (now.minus(from).compareTo(limits.stallTimeout()) > 0) {
                return pauseRecord(
                        one,
                        PauseReason.STALLED,
                        "slice "
                                + hop.slice()
                                + " is not copied, kept up to date or compared "
                                + "at "
                                + move.destinations.get(0).node()
                                + " since "
                                + now.minus(from).toMillis()
                                + " ms",
                        now);
            }
        }
        return Optional.empty();
    }

    private static Duration later(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    private static Optional<MigrationRecord.Paused> pauseRecord(
            Migration one, PauseReason cause, String why, Duration now) {
        return Optional.of(new MigrationRecord.Paused(one.id, cause, why, now));
    }

    private boolean isReady(String node) {
        TargetLayout.NodeInfo known = coordinator.nodeInfo(node);
        return known != null && known.readiness() == Readiness.READY;
    }

    // ---- the gate

    @Override
    public final boolean permits(Move move, MoveState next) {
        Migration one = owningMigration(move);
        if (one == null) {
            return true;
        }
        boolean forward =
                move.change.equals(one.transferOf(move.change.slices().get(0)).forwardMove());
        boolean goes = !one.isPaused();
        return switch (next) {
            case COPYING, REPLICATING ->
                    goes
                            && (forward
                                    ? one.state() == MigrationState.COPYING
                                    : one.state() == MigrationState.ROLLING_BACK);
            case FENCED ->
                    goes
                            && isVerified(one, move)
                            && (forward
                                    ? one.state() == MigrationState.SWITCHING
                                    : one.state() == MigrationState.ROLLING_BACK);
            case COMPLETED ->
                    goes
                            && (forward
                                    ? one.state() == MigrationState.RETIRING
                                    : one.state() == MigrationState.ROLLING_BACK);
            default -> true;
        };
    }

    /** A migration's copy is never abandoned for its time: the migration pauses. */
    @Override
    public final boolean copyTimeoutApplies(Move move) {
        return owningMigration(move) == null;
    }

    @Override
    public final Optional<String> reservationConflict(LayoutChange change) {
        for (int slice : change.slices()) {
            Migration one = journalState.activeMigrationOf(slice);
            if (one != null) {
                SliceTransfer hop = one.transferOf(slice);
                boolean own =
                        one.state() == MigrationState.COPYING && change.equals(hop.forwardMove())
                                || one.state() == MigrationState.ROLLING_BACK
                                        && change.equals(hop.reverseMove());
                if (!own) {
                    return Optional.of(
                            "slice "
                                    + slice
                                    + " belongs to migration "
                                    + one.id
                                    + " of "
                                    + one.member);
                }
            }
        }
        return Optional.empty();
    }

    private Migration owningMigration(Move move) {
        Migration one = journalState.activeMigrationOf(move.change.slices().get(0));
        SliceTransfer hop = one == null ? null : one.transferOf(move.change.slices().get(0));
        return hop != null
                        && (move.change.equals(hop.forwardMove())
                                || move.change.equals(hop.reverseMove()))
                ? one
                : null;
    }

    // ---- what a hop stands at

    private Layout currentLayout() {
        return coordinator.book().layout();
    }

    /** The move that is under way on the hop's slice; null where none is. */
    private Move activeMove(SliceTransfer hop) {
        return coordinator.book().activeMoves().stream()
                .filter(move -> move.change.slices().contains(hop.slice()))
                .findFirst()
                .orElse(null);
    }

    /** The layout in force has the new holder. */
    private boolean isCutOver(SliceTransfer hop) {
        return currentLayout().slice(hop.slice()).heldBy(hop.target());
    }

    private boolean isHolding(SliceTransfer hop) {
        Move move = activeMove(hop);
        return move != null
                && move.state == MoveState.REPLICATING
                && coordinator.destinationsAcknowledged(move, HandoffCommand.HOLD);
    }

    /** A hop that is not cut over has no move, or one that goes back. */
    private boolean hasLostMove(Migration one) {
        return one.transfers.stream()
                .anyMatch(
                        hop ->
                                !isCutOver(hop)
                                        && (activeMove(hop) == null
                                                || activeMove(hop).state == MoveState.ABANDONING));
    }

    private static boolean isAbandonable(Move move) {
        return !move.isCutOver() && move.state != MoveState.ABANDONING;
    }

    private static String checkpointDigest(Migration one) {
        MessageDigest sum = ReplicaComparison.sha256();
        // The form stays: digests are on disk, and operators name them.
        String verified =
                one.verifiedDigests.entrySet().stream()
                        .map(entry -> entry.getKey() + "=" + entry.getValue())
                        .collect(Collectors.joining(", ", "{", "}"));
        // With the count of openings, so that an order for one that was open before is stale.
        sum.update(
                (one.id + " " + one.checkpointsOpened() + " " + verified)
                        .getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(sum.digest());
    }

    // ---- doings

    private void enterState(
            List<MigrationAction> doings, Migration one, MigrationState stage, Duration now) {
        appendRecord(doings, new MigrationRecord.StateEntered(one.id, stage, now));
    }

    private void abandon(List<MigrationAction> doings, Move move, String why, Duration now) {
        delegate(doings, coordinator.abandon(move.id, why, now));
    }

    private void appendRecord(List<MigrationAction> doings, JournalRecord.WorkflowRecord record) {
        coordinator.book().apply(record);
        doings.add(new MigrationAction.Delegated(new CoordinatorAction.AppendRecord(record)));
    }

    private static void delegate(List<MigrationAction> doings, List<CoordinatorAction> acts) {
        acts.forEach(act -> doings.add(new MigrationAction.Delegated(act)));
    }
}
