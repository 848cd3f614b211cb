package postbeam.policy;

import java.time.Duration;

/** Health of one data node. */
final class NodeHealth extends HealthRecord {
    /**
     * Minimum time between two outcomes of one node that count for its zone, so that a few bad
     * nodes do not get their zone ejected.
     */
    private static final Duration ZONE_SAMPLE_INTERVAL = Duration.ofSeconds(2);

    /** Health of the zone that the node is in. */
    final ZoneHealth zone;

    private boolean probeInFlight;
    private Duration countedByZoneAt;

    NodeHealth(ZoneHealth zone) {
        this.zone = zone;
    }

    boolean isProbeInFlight() {
        return probeInFlight;
    }

    void probeSent() {
        probeInFlight = true;
    }

    void probeEnded() {
        probeInFlight = false;
    }

    /**
     * Returns whether an outcome at this time counts for the zone, and records the time if it does.
     */
    boolean tryCountForZone(Duration now) {
        if (countedByZoneAt != null
                && now.minus(countedByZoneAt).compareTo(ZONE_SAMPLE_INTERVAL) < 0) {
            return false;
        }
        countedByZoneAt = now;
        return true;
    }

    /** Resets the ejections and the pending probe of a node that has restarted. */
    void onRestart() {
        resetEjectionCount();
        probeInFlight = false;
    }
}
