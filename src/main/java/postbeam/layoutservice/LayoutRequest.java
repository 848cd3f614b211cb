package postbeam.layoutservice;

import java.util.Optional;

/**
 * A request for the layout, from a router that watches it or from an operator.
 *
 * @param knownVersion the request is answered at once if the published version is newer than this
 *     one; 0 for any version
 * @param waitMillis the longest wait for a newer version, in milliseconds
 * @param router the router's name; empty if the requester is not a router
 * @param heldVersion the version that the router currently uses
 * @param responder sends the response; called exactly once
 */
record LayoutRequest(
        long knownVersion,
        long waitMillis,
        Optional<String> router,
        long heldVersion,
        Responder responder) {
    /** Sends the response to a request for the layout. Exactly one method is called, once. */
    interface Responder {
        /** Sends the layout in JSON. */
        void sendLayout(byte[] json);

        /** Rejects the request: no layout can be sent now. */
        void sendUnavailable(String reason);

        /**
         * Rejects the request because too many are waiting; the response tells the client to retry
         * after one second.
         */
        void sendOverloaded(String reason);
    }
}
