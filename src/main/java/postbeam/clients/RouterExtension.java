package postbeam.clients;

/** A subsystem that the settings enable and that the router starts and stops. */
public interface RouterExtension {
    /** Adds request handlers to the server. Called before the server listens. */
    void registerHandlers(QueryServer server);

    /** Starts the subsystem. Called once the router listens. */
    void start();

    /** Stops the subsystem. Called before the router closes its server. */
    void stop();
}
