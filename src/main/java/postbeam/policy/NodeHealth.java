package postbeam.policy;

import java.time.Duration;

/** The health of one node. */
final class NodeHealth extends HealthRecord {
    /** Least time between outcomes of one node that count for its zone. */
    private static final Duration ZONE_SAMPLE_INTERVAL = Duration.ofSeconds(2);

    /** The health of its zone. */
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

    /** Whether an outcome counts for the zone now; it is then counted. */
    boolean countsForZone(Duration now) {
        if (countedByZoneAt != null
                && now.minus(countedByZoneAt).compareTo(ZONE_SAMPLE_INTERVAL) < 0) {
            return false;
        }
        countedByZoneAt = now;
        return true;
    }

    /** The node has restarted: its past failures say nothing of it now. */
    void onRestart() {
        forgetEjections();
        probeInFlight = false;
    }
}
