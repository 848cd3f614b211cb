package postbeam.shared;

import java.time.Duration;

/**
 * What one router holds of a data node from its own calls: how, in its zone, on so many calls, so
 * long ago.
 */
public record Report(
        String router,
        String zone,
        NodeKey node,
        Kind kind,
        double slowness,
        int calls,
        Duration age) {
    /** How a node is. */
    public enum Kind {
        WELL,
        COLD,
        SILENT,
        FAILING,
        SLOW
    }
}
