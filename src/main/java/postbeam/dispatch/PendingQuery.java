package postbeam.dispatch;

/** An accepted query as the client's connection sees it. */
public interface PendingQuery {
    /**
     * Carries out what the query needs until it ends; blocks the calling thread meanwhile.
     *
     * @return the final action, for the client
     */
    QueryAction serve() throws InterruptedException;

    /** The client has disconnected: nobody waits for the answer any more. */
    void clientDisconnected();

    /**
     * Sets the check that reports a disconnected client; it is run on the I/O thread of the
     * client's connection.
     */
    void setClientCheck(Runnable check);
}
