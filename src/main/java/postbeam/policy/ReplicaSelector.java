package postbeam.policy;

import static postbeam.model.Durations.max;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import postbeam.model.Attempt;
import postbeam.model.Cluster;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.Readiness;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;

/**
 * Chooses the replica for each shard request. All requests of a query start at the same offset in
 * their shards' replica lists, so that they can share calls where one call carries several
 * requests.
 */
final class ReplicaSelector {
    /** Batches in flight that a suspect node counts for: more than healthy nodes normally have. */
    private static final int SUSPECT_BATCHES = 4;

    /** Cost of a request to another zone, in batches in flight: a tie-breaker. */
    private static final double REMOTE_ZONE_COST = 0.01;

    /** Weight of a rank, larger than any load. */
    private static final double RANK_WEIGHT = 100;

    /** Rank of a suspect node. */
    private static final double RANK_SUSPECT = 2;

    /**
     * Rank of a node that was ejected and has not recovered since, for a non-idempotent request.
     */
    private static final double RANK_FAILED_RECENTLY = 1;

    /** Added to the rank for each earlier attempt of the request at the node. */
    private static final double RANK_EARLIER_ATTEMPT = 1;

    private final AttemptLimits limits;
    private final Random random;
    private final Cluster cluster;
    private final SlowStart slowStart;
    private final LatencyEstimator latencies;
    private final OutlierEjection ejection;
    private final OutlierDetector outliers;

    ReplicaSelector(
            AttemptLimits limits,
            Random random,
            Cluster cluster,
            SlowStart slowStart,
            LatencyEstimator latencies,
            OutlierEjection ejection,
            OutlierDetector outliers) {
        this.limits = limits;
        this.random = random;
        this.cluster = cluster;
        this.slowStart = slowStart;
        this.latencies = latencies;
        this.ejection = ejection;
        this.outliers = outliers;
        if (limits.batchingEnabled()) {
            cluster.setReplicaOrder(batchingOrder(cluster.replicationFactor()));
        }
    }

    /**
     * Local zone first, then by position among the shard's cells: the same offset then leads
     * neighbouring shards to the same nodes, and their requests share calls.
     */
    private static Comparator<DataNode> batchingOrder(int replicationFactor) {
        return Comparator.comparingInt(
                node -> (node.zone.local ? 0 : replicationFactor) + node.cell % replicationFactor);
    }

    /**
     * Chooses the offset of the query's current step unless it is chosen: the one whose nodes have
     * the fewest batches in flight, and among equals the one with the fewest remote requests.
     */
    void chooseOffset(Duration now, Query query) {
        if (query.hasReplicaOffset()) {
            return;
        }
        int offsetCount = 1;
        for (ShardRequest request : query.shardRequests) {
            offsetCount = Math.max(offsetCount, cluster.replicas(request.shard).size());
        }
        int start = random.nextInt(offsetCount);
        int best = start;
        double leastCost = Double.MAX_VALUE;
        for (int i = 0; i < offsetCount; i++) {
            int offset = (start + i) % offsetCount;
            double cost = costOfOffset(now, query, offset);
            if (cost < leastCost) {
                leastCost = cost;
                best = offset;
            }
        }
        query.setReplicaOffset(best);
    }

    private double costOfOffset(Duration now, Query query, int offset) {
        Set<DataNode> nodes = new HashSet<>();
        double cost = 0;
        for (ShardRequest request : query.shardRequests) {
            List<DataNode> replicas = cluster.replicas(request.shard);
            if (!replicas.isEmpty()) {
                DataNode node = replicas.get(offset % replicas.size());
                cost += node.zone.local ? 0 : REMOTE_ZONE_COST;
                if (nodes.add(node) || !limits.batchingEnabled()) {
                    cost += effectiveBatches(now, node, query);
                }
            }
        }
        return cost;
    }

    /** Batches that the node has in flight, increased if it is suspect. */
    int effectiveBatches(Duration now, DataNode node, Query query) {
        return node.batchesInFlight()
                + (outliers.isSuspect(now, node, query.queryClass()) ? SUSPECT_BATCHES : 0);
    }

    /** The node's load: its attempts in flight with one more, times its relative slowdown. */
    double load(Duration now, DataNode node) {
        return (1 + node.attemptsInFlight.size()) * latencies.relativeSlowdown(now, node);
    }

    /**
     * The best node for the request; among equals the first one from the query's offset on. Null if
     * none may take the request. Suspect nodes are used if there are no others.
     */
    DataNode chooseNode(Duration now, ShardRequest request) {
        List<DataNode> replicas = cluster.replicas(request.shard);
        Duration work = admissionWork(request);
        boolean noneInFlight = request.attemptsInFlight.isEmpty();
        DataNode best = null;
        double leastCost = Double.MAX_VALUE;
        for (int i = 0; i < replicas.size(); i++) {
            DataNode node = replicas.get((request.query.replicaOffset() + i) % replicas.size());
            if (!accepts(now, node, request, work)) {
                continue;
            }
            double rank = rank(now, node, request);
            double load = limits.batchingEnabled() ? 0 : load(now, node);
            double cost = RANK_WEIGHT * rank + load;
            if (!isPendingOrEjectedAt(node, request)
                    && (noneInFlight || rank == 0)
                    && cost < leastCost) {
                best = node;
                leastCost = cost;
            }
        }
        return best;
    }

    /**
     * Work that is checked against slow start: at least a typical request's, as each router has
     * some light requests and together they would exceed the budget.
     */
    private Duration admissionWork(ShardRequest request) {
        return max(
                latencies.baseline(request.queryClass),
                slowStart.estimateWork(request, Duration.ZERO));
    }

    private boolean accepts(Duration now, DataNode node, ShardRequest request, Duration work) {
        return node.readiness() == Readiness.READY
                && slowStart.allows(now, node, cluster.acquiredAt(request.shard, node), work);
    }

    /** Rank of the node for the request; 0 for a healthy node without an earlier attempt. */
    private double rank(Duration now, DataNode node, ShardRequest request) {
        double rank = 0;
        if (outliers.isSuspect(now, node, request.query.queryClass())) {
            rank = RANK_SUSPECT;
        } else if (outliers.hasFailedRecently(node)
                && request.query.queryClass().sideEffects == SideEffects.NON_IDEMPOTENT) {
            // A request that can't be retried does not test whether the node has recovered.
            rank = RANK_FAILED_RECENTLY;
        }
        for (Attempt attempt : request.attempts) {
            rank += attempt.node == node ? RANK_EARLIER_ATTEMPT : 0;
        }
        return rank;
    }

    /**
     * Whether the node has an attempt of the request in flight, or had one and is ejected.
     * Otherwise a request would spend its attempts within a round trip on replicas that are all
     * down.
     */
    private boolean isPendingOrEjectedAt(DataNode node, ShardRequest request) {
        for (Attempt attempt : request.attempts) {
            if (attempt.node == node && (!attempt.hasEnded() || ejection.isEjected(node))) {
                return true;
            }
        }
        return false;
    }
}
