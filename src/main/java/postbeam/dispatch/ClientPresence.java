package postbeam.dispatch;

/** Looks whether a query's client is still connected, just before its attempts are written. */
public interface ClientPresence {
    /** Reports a client that has disconnected; called on the I/O thread of its connection. */
    void check();
}
