package postbeam.dispatch;

/** Looks whether a query's client is still connected, just before its attempts are written. */
public interface ClientPresence {
    /** Reports a client that has disconnected; on the I/O thread. */
    void check();
}
