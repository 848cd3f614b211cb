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
 * Detects reasons for which a migration must pause. Keeps the start times of nodes, the utilities
 * of members and the times since which targets of moves lag; all of these are lost on a restart.
 */
final class PauseDetector {
    /** Maximum number of members whose utility is kept; updates of further members are ignored. */
    private static final int MAX_MEMBERS = 1000;

    private final TransferProgress progress;
    private final MoveVerifier verifier;
    private final SwitchConditions conditions;
    private final MigrationLimits limits;
    private final Duration createdAt;
    private final Map<String, Duration> nodeStartedAt = new HashMap<>();
    private final Map<String, Double> utilityByMember = new LinkedHashMap<>();

    /** By move id, the time since which the target has not confirmed that it is up to date. */
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

    /** The member's utility, from 0 to 1; 0 if it is unknown. */
    double utilityOf(String member) {
        return utilityByMember.getOrDefault(member, 0.0);
    }

    /** Clears the lag of the move's target; returns whether it was lagging. */
    boolean clearLag(Move move) {
        return laggingSince.remove(move.id) != null;
    }

    /** Removes the lag of moves that have ended. */
    void retainActive() {
        laggingSince.keySet().removeIf(moveId -> !progress.isMoveActive(moveId));
    }

    // ---- reasons that a resume does not clear

    /**
     * A reason that keeps the migration paused for as long as its condition holds; empty if there
     * is no such reason.
     */
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
        // A node that was never listed counts as ready: after a restart no node is known until the
        // first node list arrives.
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
                "slice "
                        + transfer.slice()
                        + " has "
                        + ready
                        + " ready holders, at least 2 are needed",
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
                "target "
                        + transfer.target()
                        + " is warming up, for "
                        + limits.warmUpPeriod().toMillis()
                        + " ms after its start",
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
                        + " fell from "
                        + migration.initialUtility
                        + " to "
                        + utility
                        + ", below the minimum ratio of "
                        + limits.minUtilityRatio(),
                now);
    }

    // ---- reasons that a resume clears

    /** A reason that an operator clears by resuming the migration; empty if there is none. */
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
                                        "the replicas of slice "
                                                + transfer.slice()
                                                + " differ, keys "
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
                "copying, updating or comparing slice "
                        + transfer.slice()
                        + " at "
                        + move.destinations.get(0).node()
                        + " made no progress for "
                        + idle.toMillis()
                        + " ms, the limit is "
                        + limits.stallTimeout().toMillis()
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

    /** The time of the move's last progress; {@code now} if no progress is expected of it. */
    private Duration lastProgressAt(Migration migration, Move move, Duration now) {
        if (move.state() == MoveState.COPYING) {
            // The stall timeout of a copy starts again after a restart, because copies make no
            // progress without a coordinator.
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
