package postbeam.dispatch;

import postbeam.router.Step;

/** An accepted query as the client's connection sees it. */
public interface PendingQuery {
    /**
     * Carries out what the query needs until it ends; blocks the calling thread and returns the
     * final action.
     */
    Step serve() throws InterruptedException;

    /** The client has disconnected: nobody waits for the answer any more. */
    void clientLeft();

    /**
     * Sets the check that reports a disconnected client; it is called on the I/O thread of the
     * client's connection.
     */
    void clientCheck(Runnable check);
}
