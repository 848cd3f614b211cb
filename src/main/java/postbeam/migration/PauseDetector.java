package postbeam.migration;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import postbeam.slices.Move;
import postbeam.slices.MoveState;
import postbeam.slices.Slice;

/**
 * Finds out why a migration must pause. Keeps what it is told of node starts and members'
 * utilities, and since when a move's target lags; none of it outlives the process.
 */
final class PauseDetector {
    /** Members whose utility is kept. */
    private static final int MAX_MEMBERS = 1000;

    private final TransferProgress progress;
    private final MoveVerifier verifier;
    private final SwitchConditions conditions;
    private final MigrationLimits limits;
    private final Duration createdAt;
    private final Map<String, Duration> nodeStartedAt = new HashMap<>();
    private final Map<String, Double> utilityByMember = new LinkedHashMap<>();

    /** Since when a move's target has not confirmed that it is kept up to date. */
    private final Map<Long, Duration> laggingSince = new HashMap<>();

    PauseDetector(
            TransferProgress progress,
            MoveVerifier verifier,
            SwitchConditions conditions,
            MigrationLimits limits,
            Duration createdAt) {
        this.progress = progress;
        this.verifier = verifier;
        this.conditions = conditions;
        this.limits = limits;
        this.createdAt = createdAt;
    }

    void onNodesStarted(Collection<String> nodes, Duration now) {
        nodes.forEach(node -> nodeStartedAt.put(node, now));
        nodeStartedAt
                .values()
                .removeIf(startedAt -> now.minus(startedAt).compareTo(limits.warmUpPeriod()) > 0);
    }

    void updateUtility(String member, double utility) {
        if (utilityByMember.size() < MAX_MEMBERS || utilityByMember.containsKey(member)) {
            utilityByMember.put(member, utility);
        }
    }

    /** The member's utility, from 0 to 1; 0 where none is known. */
    double utilityOf(String member) {
        return utilityByMember.getOrDefault(member, 0.0);
    }

    /** Ends the move's lag; true where it was lagging. */
    boolean clearLag(Move move) {
        return laggingSince.remove(move.id) != null;
    }

    /** Forgets the lag of moves that are over. */
    void retainActive() {
        laggingSince.keySet().removeIf(moveId -> !progress.isMoveActive(moveId));
    }

    // ---- reasons that last, whatever an operator orders

    /** A reason that keeps a migration paused as long as it lasts. */
    Optional<MigrationRecord.Paused> persistentReason(Migration migration, Duration now) {
        if (migration.state() == MigrationState.PLANNED || !migration.state().allowsRollback()) {
            return Optional.empty();
        }
        for (SliceTransfer transfer : migration.transfers) {
            Optional<MigrationRecord.Paused> reason =
                    tooFewReplicas(migration, transfer, now)
                            .or(() -> targetWarmingUp(migration, transfer, now));
            if (reason.isPresent()) {
                return reason;
            }
        }
        return utilityDropped(migration, now);
    }

    private Optional<MigrationRecord.Paused> tooFewReplicas(
            Migration migration, SliceTransfer transfer, Duration now) {
        Slice slice = progress.currentLayout().slice(transfer.slice());
        // A node that was never listed counts as ready: a successor knows none before its first
        // list.
        long ready =
                slice.nodes().stream()
                        .filter(node -> !progress.isKnown(node) || progress.isReady(node))
                        .count();
        if (ready > 1 || slice.nodes().size() <= 1) {
            return Optional.empty();
        }
        return paused(
                migration,
                PauseReason.TOO_FEW_READY_REPLICAS,
                "slice " + transfer.slice() + " has " + ready + " ready holders",
                now);
    }

    private Optional<MigrationRecord.Paused> targetWarmingUp(
            Migration migration, SliceTransfer transfer, Duration now) {
        Duration startedAt = nodeStartedAt.get(transfer.target());
        if (startedAt == null || now.minus(startedAt).compareTo(limits.warmUpPeriod()) >= 0) {
            return Optional.empty();
        }
        return paused(
                migration,
                PauseReason.TARGET_WARMING_UP,
                "target " + transfer.target() + " is cold",
                now);
    }

    private Optional<MigrationRecord.Paused> utilityDropped(Migration migration, Duration now) {
        Double utility = utilityByMember.get(migration.member);
        if (utility == null || utility >= limits.minUtilityRatio() * migration.initialUtility) {
            return Optional.empty();
        }
        return paused(
                migration,
                PauseReason.UTILITY_DROPPED,
                "utility of "
                        + migration.member
                        + " fell to "
                        + utility
                        + " from "
                        + migration.initialUtility,
                now);
    }

    // ---- reasons that a resume clears

    /** A reason that no longer counts once an operator has resumed the migration. */
    Optional<MigrationRecord.Paused> transientReason(Migration migration, Duration now) {
        for (SliceTransfer transfer : migration.transfers) {
            Optional<MigrationRecord.Paused> reason =
                    progress.activeMove(transfer)
                            .flatMap(move -> transientReason(migration, transfer, move, now));
            if (reason.isPresent()) {
                return reason;
            }
        }
        return Optional.empty();
    }

    private Optional<MigrationRecord.Paused> transientReason(
            Migration migration, SliceTransfer transfer, Move move, Duration now) {
        return moveFailed(migration, transfer, move, now)
                .or(() -> digestMismatch(migration, transfer, move, now))
                .or(() -> stalled(migration, transfer, move, now));
    }

    private static Optional<MigrationRecord.Paused> moveFailed(
            Migration migration, SliceTransfer transfer, Move move, Duration now) {
        boolean abandoned = move.state() == MoveState.ABANDONING || move.reverseWhenDone();
        if (!abandoned || migration.isRollingBack() || ActionBatch.isRecopied(move)) {
            return Optional.empty();
        }
        return paused(
                migration,
                PauseReason.MOVE_FAILED,
                "move "
                        + move.id
                        + " of slice "
                        + transfer.slice()
                        + " was abandoned: "
                        + move.abandonReason(),
                now);
    }

    private Optional<MigrationRecord.Paused> digestMismatch(
            Migration migration, SliceTransfer transfer, Move move, Duration now) {
        return verifier.comparisonOf(move)
                .filter(comparison -> comparison.isFinished() && !comparison.isMatch())
                .flatMap(
                        comparison ->
                                paused(
                                        migration,
                                        PauseReason.DIGEST_MISMATCH,
                                        "slice "
                                                + transfer.slice()
                                                + " differs, keys "
                                                + String.join("; ", comparison.differences()),
                                        now));
    }

    private Optional<MigrationRecord.Paused> stalled(
            Migration migration, SliceTransfer transfer, Move move, Duration now) {
        updateLag(move, now);
        Duration idle = now.minus(lastProgressAt(migration, move, now));
        if (idle.compareTo(limits.stallTimeout()) <= 0) {
            return Optional.empty();
        }
        return paused(
                migration,
                PauseReason.STALLED,
                "slice "
                        + transfer.slice()
                        + " is not copied, kept up to date or "
                        + "compared at "
                        + move.destinations.get(0).node()
                        + " since "
                        + idle.toMillis()
                        + " ms",
                now);
    }

    private void updateLag(Move move, Duration now) {
        if (move.state() != MoveState.REPLICATING || progress.isCaughtUp(move)) {
            laggingSince.remove(move.id);
        } else {
            laggingSince.putIfAbsent(move.id, now);
        }
    }

    /** Since when the move has made no progress; {@code now} where nothing is expected of it. */
    private Duration lastProgressAt(Migration migration, Move move, Duration now) {
        if (move.state() == MoveState.COPYING) {
            // A successor gives copies that stood still without a coordinator their time again.
            return later(createdAt, later(move.stateSince(), migration.since()));
        }
        Duration lagging = laggingSince.get(move.id);
        if (lagging != null) {
            return lagging;
        }
        Optional<ReplicaComparison> comparison = verifier.comparisonOf(move);
        if (comparison.isEmpty() || conditions.isVerified(migration, move)) {
            return now;
        }
        return comparison.get().lastProgressAt();
    }

    private static Duration later(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    private static Optional<MigrationRecord.Paused> paused(
            Migration migration, PauseReason reason, String detail, Duration now) {
        return Optional.of(new MigrationRecord.Paused(migration.id, reason, detail, now));
    }
}
