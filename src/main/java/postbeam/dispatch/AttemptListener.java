package postbeam.dispatch;

import java.util.List;

/**
 * Receives what data nodes answered. Called on the I/O thread of the data nodes' connections, which
 * it must not block.
 */
public interface AttemptListener {
    /** Reports how attempts ended, each once; one that has ended otherwise meanwhile is ignored. */
    void onAttemptResults(List<AttemptResult> results);

    /**
     * Reports the outcome of a health check.
     *
     * @param nodeName its name
     * @param healthy whether the node answered in time that it is well
     */
    void onHealthCheck(String nodeName, boolean healthy);
}
