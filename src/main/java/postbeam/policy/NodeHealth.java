package postbeam.policy;

import java.time.Duration;

/** The health of one data node. */
final class NodeHealth extends HealthRecord {
    /**
     * Minimum time between outcomes of one node that count for its zone, so that few bad nodes do
     * not make a bad zone.
     */
    private static final Duration ZONE_SAMPLE_INTERVAL = Duration.ofSeconds(2);

    /** The health of the node's zone. */
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

    /** Returns whether an outcome counts for the zone now, and if so records the time. */
    boolean tryCountForZone(Duration now) {
        if (countedByZoneAt != null
                && now.minus(countedByZoneAt).compareTo(ZONE_SAMPLE_INTERVAL) < 0) {
            return false;
        }
        countedByZoneAt = now;
        return true;
    }

    /** Resets the ejections of a node that has restarted. */
    void onRestart() {
        resetEjectionCount();
        probeInFlight = false;
    }
}
