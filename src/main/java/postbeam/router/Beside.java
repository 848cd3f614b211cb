package postbeam.router;

import postbeam.clients.ClientDoor;

/**
 * What runs beside a router where our own settings switch it on: it adds forms to the door before
 * it opens.
 */
public interface Beside {
    void forms(ClientDoor door);

    void start();

    void stop();
}
