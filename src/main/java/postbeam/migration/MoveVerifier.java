package postbeam.migration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import postbeam.slices.Move;

/**
 * Compares the replicas of moves at source and target. The comparisons are kept in memory only and
 * start from the beginning after a restart.
 */
final class MoveVerifier {
    private final MigrationLimits limits;
    private final RequestIds requestIds;
    private final SwitchConditions conditions;
    private final Map<Long, ReplicaComparison> comparisons = new TreeMap<>();

    MoveVerifier(MigrationLimits limits, RequestIds requestIds, SwitchConditions conditions) {
        this.limits = limits;
        this.requestIds = requestIds;
        this.conditions = conditions;
    }

    /** Continues the comparison of the move's replicas; returns true once they are equal. */
    boolean verify(ActionBatch batch, Migration migration, Move move, Duration now) {
        if (conditions.isVerified(migration, move)) {
            return true;
        }
        ReplicaComparison comparison =
                comparisons.computeIfAbsent(move.id, id -> startComparison(move, now));
        if (comparison.isMatch()) {
            batch.append(
                    new MigrationRecord.MoveVerified(migration.id, move.id, comparison.digest()));
            return true;
        }
        comparison.nextRequests(requestIds.next(), now).forEach(batch::request);
        return false;
    }

    private ReplicaComparison startComparison(Move move, Duration now) {
        Move.Destination destination = move.destinations.get(0);
        return new ReplicaComparison(
                destination.source(),
                destination.node(),
                destination.slice(),
                destination.keys(),
                limits,
                now);
    }

    void onRangeDigests(long requestId, String node, List<RangeDigest> digests, Duration now) {
        comparisons
                .values()
                .forEach(comparison -> comparison.onRangeDigests(requestId, node, digests, now));
    }

    Optional<ReplicaComparison> comparisonOf(Move move) {
        return Optional.ofNullable(comparisons.get(move.id));
    }

    /** Removes and returns the comparison of the move; the next one starts from the beginning. */
    Optional<ReplicaComparison> discard(Move move) {
        return Optional.ofNullable(comparisons.remove(move.id));
    }

    /** Removes the comparisons of moves that have ended. */
    void retainActive(TransferProgress progress) {
        comparisons.keySet().removeIf(moveId -> !progress.isMoveActive(moveId));
    }
}
