package postbeam.clients;

/**
 * Limits the memory that the requests of all connections hold together, from the first byte of a
 * body to the last byte of the response. Used only on the I/O thread.
 *
 * <p>Each connection may hold {@link #GUARANTEED_BYTES} in any case, so that large requests can't
 * keep out usual ones. What a connection holds beyond that is taken from a shared budget.
 */
final class RequestMemory {
    /** Memory that each connection may hold in any case; a usual request needs less. */
    static final int GUARANTEED_BYTES = 8 << 10;

    private long sharedBytesLeft;

    /**
     * Creates the memory of a server's connections.
     *
     * @param sharedBytes budget of all connections together
     */
    RequestMemory(long sharedBytes) {
        this.sharedBytesLeft = sharedBytes;
    }

    /** What one connection holds; initially nothing. */
    final class Reservation {
        private long heldBytes;
        private boolean closed;

        /**
         * Sets the number of bytes that the connection holds.
         *
         * @return false if the shared budget does not allow it or the connection is closed; nothing
         *     changes then
         */
        boolean resize(long bytes) {
            if (closed) {
                return false;
            }
            long sharedChange = sharedPart(bytes) - sharedPart(heldBytes);
            if (sharedChange > sharedBytesLeft) {
                return false;
            }
            sharedBytesLeft -= sharedChange;
            heldBytes = bytes;
            return true;
        }

        /** Gives back what the connection holds. */
        void release() {
            resize(0);
        }

        /** Gives back what the connection holds, as it closes; nothing can be reserved after it. */
        void close() {
            release();
            closed = true;
        }

        private static long sharedPart(long bytes) {
            return Math.max(0, bytes - GUARANTEED_BYTES);
        }
    }
}
