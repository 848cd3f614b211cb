package postbeam.dispatch;

/**
 * Checks whether the client of a query is still connected, just before attempts of the query are
 * written.
 */
public interface ClientPresence {
    /**
     * Checks the connection and, if the client has disconnected, ends its query. Called on the I/O
     * thread of the connection.
     */
    void check();
}
