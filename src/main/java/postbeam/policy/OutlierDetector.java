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
 * Detects failing and slow data nodes and zones from the outcomes of this router's own attempts. It
 * therefore also finds nodes that the endpoint list reports as ready. Slowness is measured relative
 * to the typical node, so that no node is an outlier if all are slow.
 */
final class OutlierDetector {
    /** Minimum fraction of failed attempts for the ejection of a node. */
    private static final double NODE_FAILURE_SHARE = 0.3;

    /** Minimum number of failed attempts for the ejection of a node. */
    private static final int NODE_MIN_FAILURES = 2;

    /**
     * Minimum fraction of failed or overdue attempts for the ejection of a zone. The nodes of a
     * zone fail together only if the network path to the zone fails.
     */
    private static final double ZONE_FAILURE_SHARE = 0.5;

    /** Minimum number of failed or overdue attempts for the ejection of a zone. */
    private static final int ZONE_MIN_FAILURES = 4;

    /**
     * Fraction of the latency objective after which an attempt in flight makes its node suspect.
     */
    private static final double STUCK_SHARE = 0.5;

    /** Slowdown relative to the typical node above which a node is suspect. */
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

    /** Creates the health state of a node that is in the endpoint list for the first time. */
    NodeHealth newNode(Zone zone) {
        return new NodeHealth(zones.computeIfAbsent(zone, key -> new ZoneHealth()));
    }

    /** Resets the health of a node that has restarted. */
    void onRestart(DataNode node) {
        NodeState.of(node).health.onRestart();
    }

    /**
     * Called when an attempt is sent. The first attempt at a zone after the end of its ejection
     * becomes the trial attempt of the zone.
     */
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
            health.decrementEjectionCount();
        }
        // A node that answers nothing is detected only by attempts that end without an answer.
        boolean overdue =
                latency.compareTo(stragglers.overdueAfter(now, attempt.shardRequest.queryClass))
                        > 0;
        boolean broken = isBroken(attempt, outcome, overdue);
        updateZone(now, attempt, health, broken || overdue);
        if (broken || outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.OVERLOADED) {
            health.recordFailure(now);
            if (broken || health.isFailing(now, NODE_MIN_FAILURES, NODE_FAILURE_SHARE)) {
                ejection.eject(now, attempt.node);
            }
        }
    }

    /** Returns whether a single outcome shows that the node or the network path to it is broken. */
    private static boolean isBroken(Attempt attempt, AttemptOutcome outcome, boolean overdue) {
        return outcome == AttemptOutcome.UNREACHABLE
                || outcome == AttemptOutcome.RESET
                || (outcome.isAbandoned()
                        && overdue
                        && !NodeState.of(attempt.node)
                                .latency
                                .hasAnsweredAtOrAfter(attempt.sentAt));
    }

    /**
     * Updates the health of the node's zone, to detect a broken or slow network path to the zone. A
     * router sends too few requests to a single node to detect this for each node. After its
     * ejection, a zone gets one trial attempt at a time.
     */
    private void updateZone(Duration now, Attempt attempt, NodeHealth health, boolean failed) {
        ZoneHealth zone = health.zone;
        if (zone.isTrial(attempt) && !failed) {
            zone.resetEjectionCount();
        }
        if (!health.tryCountForZone(now)) {
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

    /**
     * Returns whether other replicas should be preferred to the node. This is so if the node is
     * ejected or slow, its zone should be avoided, its oldest attempt in flight takes too long, or
     * it has an attempt in flight and has not recovered from an ejection.
     */
    boolean isSuspect(Duration now, DataNode node, QueryClass queryClass) {
        NodeHealth health = NodeState.of(node).health;
        Attempt oldest = node.oldestAttemptInFlight();
        return health.isEjected()
                || (health.hasEjections() && oldest != null)
                || isAvoided(now, health.zone)
                || (oldest != null && isStuck(now, oldest, queryClass))
                || latencies.relativeSlowdown(now, node) > SLOW_RATIO;
    }

    /** Returns whether the node was ejected and has not recovered since. */
    boolean hasFailedRecently(DataNode node) {
        return NodeState.of(node).health.hasEjections();
    }

    private boolean isStuck(Duration now, Attempt oldest, QueryClass queryClass) {
        Duration limit = scale(queryClass.latencyObjective, STUCK_SHARE);
        return stragglers.isUnresponsive(now, oldest)
                || now.minus(oldest.sentAt).compareTo(limit) > 0;
    }

    /**
     * Returns whether no attempts should be sent to the zone, because it is ejected or has a trial
     * attempt in flight while another zone is healthy.
     */
    private boolean isAvoided(Duration now, ZoneHealth zone) {
        return zone.hasEjections()
                && (zone.isOnTrial() || zone.isWithinEjection(now))
                && zones.values().stream().anyMatch(other -> !other.hasEjections());
    }
}
