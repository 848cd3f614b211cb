package postbeam.clients;

/** A subsystem that the settings add to a router, which starts and stops it. */
public interface RouterExtension {
    /** Adds its handlers to the server; called before that listens. */
    void registerHandlers(QueryServer server);

    /** Starts once the router listens. */
    void start();

    /** Stops before the router closes its server. */
    void stop();
}
