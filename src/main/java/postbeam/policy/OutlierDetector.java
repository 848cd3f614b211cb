package postbeam.policy;

import static postbeam.model.Durations.scale;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.DataNode;
import postbeam.model.QueryClass;
import postbeam.model.Zone;

/**
 * Finds nodes and zones that fail or are slow, from the outcomes of our own attempts alone. Guards
 * against a node that is silent, slow, failing or unreachable, whatever the cause, also one that
 * the endpoint list names ready. It could hurt when all nodes are slow alike, so slowness is
 * measured beside the usual node.
 */
final class OutlierDetector {
    /**
     * Share of failures among a node's outcomes from which it is ejected, and the fewest of them.
     */
    private static final double NODE_FAILURE_SHARE = 0.3;

    private static final int NODE_MIN_FAILURES = 2;

    /** The same for a zone, whose nodes fail together only if the way there does. */
    private static final double ZONE_FAILURE_SHARE = 0.5;

    private static final int ZONE_MIN_FAILURES = 4;

    /** Share of the latency objective after which an attempt in flight marks its node as stuck. */
    private static final double STUCK_SHARE = 0.5;

    /** Ratio to the usual node's slowdown from which a node is slow. */
    private static final double SLOW_RATIO = 3;

    private final LatencyEstimator latencies;
    private final StragglerDetector stragglers;
    private final OutlierEjection ejection;
    private final Map<Zone, ZoneHealth> zones = new LinkedHashMap<>();

    OutlierDetector(
            LatencyEstimator latencies, StragglerDetector stragglers, OutlierEjection ejection) {
        this.latencies = latencies;
        this.stragglers = stragglers;
        this.ejection = ejection;
    }

    /** The health of a node of this zone that is listed for the first time. */
    NodeHealth newNode(Zone zone) {
        return new NodeHealth(zones.computeIfAbsent(zone, key -> new ZoneHealth()));
    }

    /** The node has restarted: its past failures say nothing of it now. */
    void onRestart(DataNode node) {
        NodeState.of(node).health.onRestart();
    }

    /** An attempt was sent: one to an ejected zone shows whether that is sound again. */
    void onAttemptSent(Duration now, Attempt attempt) {
        ZoneHealth zone = NodeState.of(attempt.node).health.zone;
        if (zone.hasEjections() && !isAvoided(now, zone)) {
            zone.beginTrial(attempt);
        }
    }

    void onAttemptEnded(Duration now, Attempt attempt, AttemptOutcome outcome, Duration latency) {
        NodeHealth health = NodeState.of(attempt.node).health;
        if (outcome == AttemptOutcome.SUCCESS) {
            health.recordSuccess(now);
            health.forgetOneEjection();
        }
        // Guards against links that swallow attempts and nodes that answer none: once the attempt
        // is
        // over nothing else tells of it. It could hurt where a sound node is late to our only one.
        boolean late =
                latency.compareTo(stragglers.overdueAfter(now, attempt.shardRequest.queryClass))
                        > 0;
        boolean broken = isBroken(attempt, outcome, late);
        updateZone(now, attempt, health, broken || late);
        if (broken || outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.OVERLOADED) {
            health.recordFailure(now);
            if (broken || health.isFailing(now, NODE_MIN_FAILURES, NODE_FAILURE_SHARE)) {
                ejection.eject(now, attempt.node);
            }
        }
    }

    /** Whether the outcome by itself shows that the node, or the way to it, is broken. */
    private static boolean isBroken(Attempt attempt, AttemptOutcome outcome, boolean late) {
        return outcome == AttemptOutcome.UNREACHABLE
                || outcome == AttemptOutcome.RESET
                || (outcome.isAbandoned()
                        && late
                        && !NodeState.of(attempt.node).latency.hasAnsweredSince(attempt.sentAt));
    }

    /**
     * Guards against a way to a whole zone that is cut, slow or lossy, for us or for all: a router
     * meets each node too seldom to learn it there. Where most attempts to its nodes failed lately,
     * one at a time shows if it is sound again. It could hurt where nodes fail for reasons of their
     * own, so several must.
     */
    private void updateZone(Duration now, Attempt attempt, NodeHealth node, boolean failed) {
        ZoneHealth zone = node.zone;
        if (zone.isTrial(attempt) && !failed) {
            zone.forgetEjections();
        }
        if (!node.countsForZone(now)) {
            return;
        }
        if (!failed) {
            zone.recordSuccess(now);
            return;
        }
        zone.recordFailure(now);
        if (zone.isTrial(attempt) || zone.isFailing(now, ZONE_MIN_FAILURES, ZONE_FAILURE_SHARE)) {
            zone.eject(now);
        }
    }

    /** Whether another node of the shard is to be preferred. */
    boolean isSuspect(Duration now, DataNode node, QueryClass queryClass) {
        NodeHealth health = NodeState.of(node).health;
        Attempt oldest = node.oldestAttemptInFlight();
        return health.isEjected()
                || (health.hasEjections() && oldest != null)
                || isAvoided(now, health.zone)
                || (oldest != null && isHeldUp(now, oldest, queryClass))
                || latencies.relativeSlowdown(now, node) > SLOW_RATIO;
    }

    /** Whether the node was ejected and has not shown since that it is sound. */
    boolean hasFailedLately(DataNode node) {
        return NodeState.of(node).health.hasEjections();
    }

    private boolean isHeldUp(Duration now, Attempt oldest, QueryClass queryClass) {
        Duration limit = scale(queryClass.latencyObjective, STUCK_SHARE);
        return stragglers.isUnresponsive(now, oldest)
                || now.minus(oldest.sentAt).compareTo(limit) > 0;
    }

    /** Whether a zone gets nothing, as it is ejected or on trial and another zone is sound. */
    private boolean isAvoided(Duration now, ZoneHealth zone) {
        return zone.hasEjections()
                && (zone.isOnTrial() || zone.isWithinEjection(now))
                && zones.values().stream().anyMatch(other -> !other.hasEjections());
    }
}
