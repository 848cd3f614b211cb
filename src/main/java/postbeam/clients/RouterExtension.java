package postbeam.clients;

/**
 * What runs beside a router where our own settings switch it on: it adds forms to the door before
 * it opens.
 */
public interface RouterExtension {
    void registerHandlers(QueryServer door);

    void start();

    void stop();
}
