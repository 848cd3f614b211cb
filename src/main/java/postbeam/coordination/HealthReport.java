package postbeam.coordination;

import java.time.Duration;

/**
 * What one router's own attempts say of a data node.
 *
 * @param router that reports, by name
 * @param zone of the router
 * @param slowness latency relative to the usual
 * @param attempts that the report rests on
 * @param age how old it was when it was sent
 */
public record HealthReport(
        String router,
        String zone,
        NodeIncarnation node,
        Kind kind,
        double slowness,
        int attempts,
        Duration age) {
    /** The state of a node. */
    public enum Kind {
        HEALTHY,
        WARMING_UP,
        UNRESPONSIVE,
        FAILING,
        SLOW
    }
}
