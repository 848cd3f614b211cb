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
 * the replica lists of their shards, so that they share calls if one call can carry several
 * requests.
 */
final class ReplicaSelector {
    /**
     * Number added to the batches in flight (attempts that were sent to a node together) of a
     * suspect node; more than a healthy node normally has in flight.
     */
    private static final int SUSPECT_BATCHES = 4;

    /**
     * Cost of a request to another zone, expressed as a number of batches (attempts sent together)
     * in flight at the node; small enough to matter only between equal loads.
     */
    private static final double REMOTE_ZONE_COST = 0.01;

    /**
     * Weight of the rank relative to the load; larger than any load, so that the rank decides
     * first.
     */
    private static final double RANK_WEIGHT = 100;

    /** Rank of a suspect node. */
    private static final double RANK_SUSPECT = 2;

    /**
     * Rank, for a non-idempotent request, of a node that was ejected and has not recovered since.
     */
    private static final double RANK_FAILED_RECENTLY = 1;

    /** Increase of the rank for each earlier attempt of the request at the node. */
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
     * Orders replicas by zone, the local one first, and then by position among the cells of the
     * shard. The same offset then selects the same nodes for neighbouring shards, so that their
     * requests share calls.
     */
    private static Comparator<DataNode> batchingOrder(int replicationFactor) {
        return Comparator.comparingInt(
                node -> (node.zone.local ? 0 : replicationFactor) + node.cell % replicationFactor);
    }

    /**
     * Chooses the replica offset of the query's current step unless one is already chosen. It is
     * the offset whose nodes have the fewest batches in flight; among equals, the one with the
     * fewest requests to other zones.
     */
    void chooseOffset(Duration now, Query query) {
        if (query.hasReplicaOffset()) {
            return;
        }
        int offsetCount = 1;
        for (ShardRequest request : query.shardRequests) {
            offsetCount = Math.max(offsetCount, cluster.replicas(request.shard).size());
        }
        int firstOffset = random.nextInt(offsetCount);
        int best = firstOffset;
        double leastCost = Double.MAX_VALUE;
        for (int i = 0; i < offsetCount; i++) {
            int offset = (firstOffset + i) % offsetCount;
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

    /**
     * Returns the number of batches (attempts sent together) that the node has in flight, increased
     * if the node is suspect.
     */
    int effectiveBatches(Duration now, DataNode node, Query query) {
        return node.batchesInFlight()
                + (outliers.isSuspect(now, node, query.queryClass()) ? SUSPECT_BATCHES : 0);
    }

    /**
     * Returns the load of the node: the number of its attempts in flight plus one, multiplied by
     * its relative slowdown.
     */
    double load(Duration now, DataNode node) {
        return (1 + node.attemptsInFlight.size()) * latencies.relativeSlowdown(now, node);
    }

    /**
     * Returns the best node for the request, or null if no replica may be sent the request now.
     * Among equals, the first node from the query's replica offset is chosen. Suspect nodes are
     * chosen only if there are no others, and only nodes of rank 0 if the request already has an
     * attempt in flight.
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
     * Returns the work of the request that is checked against the slow start budget: at least that
     * of a typical request. Every router has some requests with a short processing time, and
     * together these would exceed the budget.
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

    /**
     * Returns the rank of the node for the request, the lowest being the best; 0 for a healthy node
     * without an earlier attempt.
     */
    private double rank(Duration now, DataNode node, ShardRequest request) {
        double rank = 0;
        if (outliers.isSuspect(now, node, request.query.queryClass())) {
            rank = RANK_SUSPECT;
        } else if (outliers.hasFailedRecently(node)
                && request.query.queryClass().sideEffects == SideEffects.NON_IDEMPOTENT) {
            // A request that can't be retried must not be the one that tests whether the node has
            // recovered.
            rank = RANK_FAILED_RECENTLY;
        }
        for (Attempt attempt : request.attempts) {
            rank += attempt.node == node ? RANK_EARLIER_ATTEMPT : 0;
        }
        return rank;
    }

    /**
     * Returns whether the node has an attempt of the request in flight, or had one and is ejected.
     * Without this check, a request whose replicas are all down would spend all its attempts within
     * a round trip.
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
