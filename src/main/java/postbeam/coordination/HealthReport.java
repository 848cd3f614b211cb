package postbeam.coordination;

import java.time.Duration;

/**
 * What one router holds of a data node from its own calls: how, in its zone, on so many calls, so
 * long ago.
 */
public record HealthReport(
        String router,
        String zone,
        NodeIncarnation node,
        Kind kind,
        double slowness,
        int calls,
        Duration age) {
    /** How a node is. */
    public enum Kind {
        HEALTHY,
        WARMING_UP,
        UNRESPONSIVE,
        FAILING,
        SLOW
    }
}
