package postbeam.dispatch;

/** An accepted query as the connection of its client handles it. */
public interface PendingQuery {
    /**
     * Carries out the actions of the query until it ends; blocks the calling thread until then.
     *
     * @return the final action, for the client
     */
    QueryAction serve() throws InterruptedException;

    /** Reports that the client has disconnected, so that the answer is no longer awaited. */
    void clientDisconnected();

    /**
     * Sets the check that reports a disconnected client. It is run on the I/O thread of the
     * client's connection.
     */
    void setClientCheck(Runnable check);
}
