package postbeam.migration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import postbeam.slices.Move;

/**
 * Compares the replicas of moves; the comparisons are lost with the process and start anew in its
 * successor.
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

    /** Continues the comparison; true once both replicas are equal. */
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

    /** Ends the comparison of the move; the next one starts from nothing. */
    Optional<ReplicaComparison> discard(Move move) {
        return Optional.ofNullable(comparisons.remove(move.id));
    }

    /** Forgets the comparisons of moves that are over. */
    void retainActive(TransferProgress progress) {
        comparisons.keySet().removeIf(moveId -> !progress.isMoveActive(moveId));
    }
}
