package postbeam.dispatch;

import java.util.List;

/**
 * Receives the results of attempts and health checks. Called on the I/O thread of the connections
 * to data nodes, which implementations must not block.
 */
public interface AttemptListener {
    /**
     * Reports how attempts ended, each of them once. The receiver ignores an attempt that has
     * meanwhile ended in another way.
     */
    void onAttemptResults(List<AttemptResult> results);

    /**
     * Reports the result of a health check.
     *
     * @param nodeName name of the data node
     * @param healthy whether the node reported in time that it is healthy
     */
    void onHealthCheck(String nodeName, boolean healthy);
}
