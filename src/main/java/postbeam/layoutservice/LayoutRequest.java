package postbeam.layoutservice;

import java.util.Optional;

/**
 * A request for the layout, by a router that watches it or by an operator.
 *
 * @param knownVersion the requester waits for a newer version than this one; 0 for any
 * @param waitMillis how long it waits at most
 * @param router the router's name; empty for a requester that is no router
 * @param heldVersion the version that the router holds
 * @param responder gives the answer, once
 */
record LayoutRequest(
        long knownVersion,
        long waitMillis,
        Optional<String> router,
        long heldVersion,
        Responder responder) {
    /** Sends the one answer to a request for the layout. */
    interface Responder {
        /** Sends the layout in JSON. */
        void sendLayout(byte[] json);

        /** The layout can't be given now. */
        void sendUnavailable(String reason);

        /** Too many are waiting: the requester is to try again after a second. */
        void sendOverloaded(String reason);
    }
}
