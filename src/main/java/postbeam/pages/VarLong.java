package postbeam.pages;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Variable-length encoding of whole numbers in groups of 7 bits, least significant group first. The
 * high bit of a byte tells that another group follows.
 */
final class VarLong {
    private static final int GROUP_BITS = 7;
    private static final long GROUP_MASK = 0x7f;
    private static final int MORE_FOLLOW = 0x80;

    private VarLong() {}

    static void write(ByteArrayOutputStream out, long value) {
        long remaining = value;
        while ((remaining & ~GROUP_MASK) != 0) {
            out.write((int) ((remaining & GROUP_MASK) | MORE_FOLLOW));
            remaining >>>= GROUP_BITS;
        }
        out.write((int) remaining);
    }

    /**
     * Reads a number.
     *
     * @throws IllegalArgumentException if it is longer than a 64-bit number can be
     * @throws java.nio.BufferUnderflowException if the buffer ends before the number
     */
    static long read(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift < Long.SIZE; shift += GROUP_BITS) {
            byte group = in.get();
            value |= (group & GROUP_MASK) << shift;
            if (group >= 0) {
                return value;
            }
        }
        throw new IllegalArgumentException(
                "expected a variable-length number of at most 10 bytes, got a longer one");
    }

    /**
     * Reads a number from 0 to a maximum.
     *
     * @throws IllegalArgumentException if the number is out of this range
     */
    static int readCount(ByteBuffer in, int max) {
        long count = read(in);
        if (count < 0 || count > max) {
            throw new IllegalArgumentException(
                    "expected a count from 0 to " + max + ", not " + count);
        }
        return (int) count;
    }
}
