package postbeam.pages;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Whole numbers in groups of 7 bits, the least first; the high bit says that another group follows.
 */
final class VarLong {
    private static final int GROUP_BITS = 7;
    private static final long GROUP_MASK = 0x7f;
    private static final int MORE_FOLLOW = 0x80;

    private VarLong() {}

    static void write(ByteArrayOutputStream out, long value) {
        long rest = value;
        while ((rest & ~GROUP_MASK) != 0) {
            out.write((int) ((rest & GROUP_MASK) | MORE_FOLLOW));
            rest >>>= GROUP_BITS;
        }
        out.write((int) rest);
    }

    /** An IllegalArgumentException where it does not end within 64 bits. */
    static long read(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift < Long.SIZE; shift += GROUP_BITS) {
            byte group = in.get();
            value |= (group & GROUP_MASK) << shift;
            if (group >= 0) {
                return value;
            }
        }
        throw new IllegalArgumentException("a number that does not end");
    }

    /** A number from 0 to a maximum; an IllegalArgumentException where it is none. */
    static int readCount(ByteBuffer in, int max) {
        long count = read(in);
        if (count < 0 || count > max) {
            throw new IllegalArgumentException("more than there can be");
        }
        return (int) count;
    }
}
