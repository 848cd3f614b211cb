package postbeam.router;

/**
 * Remembers the most recently added ids, at least {@link #GENERATION_SIZE} of them and at most
 * twice as many. Only a hash of 64 bits is kept of each id, so that the memory for it does not
 * depend on its length; an id that was never added counts as remembered with a probability of less
 * than 10^-14. Not thread-safe.
 *
 * <p>Ids are added to the current generation. When it is full, it replaces the previous one, whose
 * ids are forgotten.
 */
final class RecentIds {
    /** Several minutes of the queries that a router serves at its highest usual rate. */
    static final int GENERATION_SIZE = 1 << 15;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Generation current = new Generation();
    private Generation previous = new Generation();

    void add(String id) {
        long hash = hash(id);
        if (current.contains(hash)) {
            return;
        }
        if (current.size == GENERATION_SIZE) {
            previous = current;
            current = new Generation();
        }
        current.add(hash);
    }

    boolean contains(String id) {
        long hash = hash(id);
        return current.contains(hash) || previous.contains(hash);
    }

    /** Returns the FNV-1a hash of the id; never {@link Generation#FREE}. */
    private static long hash(String id) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return hash == Generation.FREE ? 1 : hash;
    }

    /** A set of hashes with open addressing and linear probing; it grows up to its size limit. */
    private static final class Generation {
        static final long FREE = 0;
        private static final int INITIAL_SLOTS = 1 << 8;

        private long[] slots = new long[INITIAL_SLOTS];
        private int size;

        boolean contains(long hash) {
            return slots[slotOf(slots, hash)] == hash;
        }

        /** Adds a hash that is not contained. */
        void add(long hash) {
            if (2 * (size + 1) > slots.length) {
                grow();
            }
            slots[slotOf(slots, hash)] = hash;
            size++;
        }

        private void grow() {
            long[] larger = new long[2 * slots.length];
            for (long hash : slots) {
                if (hash != FREE) {
                    larger[slotOf(larger, hash)] = hash;
                }
            }
            slots = larger;
        }

        /** Returns the slot that holds the hash or, if there is none, the one to put it in. */
        private static int slotOf(long[] slots, long hash) {
            int slot = Long.hashCode(hash * FNV_PRIME) & (slots.length - 1);
            while (slots[slot] != hash && slots[slot] != FREE) {
                slot = (slot + 1) & (slots.length - 1);
            }
            return slot;
        }
    }
}
