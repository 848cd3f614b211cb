package postbeam.dispatch;

import java.util.List;

/**
 * Receives what data nodes answered. Called on the I/O thread; may be called from several threads.
 */
public interface AttemptListener {
    /** Reports how attempts ended, each once; one that has ended otherwise meanwhile is ignored. */
    void onAttemptResults(List<AttemptResult> endings);

    /** Reports the outcome of a health check of the node. */
    void onHealthCheck(String node, boolean answered);
}
