package postbeam.coordination;

import java.time.Duration;

/**
 * The health of a data node as one router's own attempts show it.
 *
 * @param router name of the reporting router
 * @param zone name of the zone of the reporting router
 * @param slowness latency as a multiple of the usual latency
 * @param attempts number of attempts that the report is based on
 * @param age time since the report was made, at the moment it was sent
 */
public record HealthReport(
        String router,
        String zone,
        NodeIncarnation node,
        Kind kind,
        double slowness,
        int attempts,
        Duration age) {
    /** The state of a node, as reported. */
    public enum Kind {
        HEALTHY,
        WARMING_UP,
        UNRESPONSIVE,
        FAILING,
        SLOW
    }
}
