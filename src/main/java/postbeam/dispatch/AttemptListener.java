package postbeam.dispatch;

import java.util.List;
import postbeam.router.Ending;

/**
 * Receives what data nodes answered. Called on the I/O thread; may be called from several threads.
 */
public interface AttemptListener {
    /** Reports how attempts ended, each once; one that has ended otherwise meanwhile is ignored. */
    void report(List<Ending> endings);

    /** Reports the outcome of a health check of the node. */
    void probed(String node, boolean answered);
}
