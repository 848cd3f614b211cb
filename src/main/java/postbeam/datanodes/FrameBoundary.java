package postbeam.datanodes;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.CharBuffer;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Decides from the bytes that follow a frame whether the frame ends where its length says. A value
 * carries no length or checksum of its own, so these bytes are the only evidence of a wrong length:
 * where the next frame does not begin, they may be the rest of a value that was cut off, or the
 * value may include the first bytes of the next header.
 */
final class FrameBoundary {
    /** What the bytes after a frame are. */
    enum Following {
        /** There are no bytes yet. */
        NOTHING,
        /** Too few bytes to tell whether they are the header of a frame. */
        INCOMPLETE_HEADER,
        /** The header of a frame that a node may send. */
        HEADER,
        /** Bytes that begin no frame. */
        NO_HEADER
    }

    private FrameBoundary() {}

    /** Classifies the bytes, beginning with the first. */
    static Following classify(byte[] bytes) {
        return classify(bytes, 0);
    }

    private static Following classify(byte[] bytes, int start) {
        int available = bytes.length - start;
        if (available == 0) {
            return Following.NOTHING;
        }
        if (available < FrameCodec.LENGTH_BYTES) {
            return Following.INCOMPLETE_HEADER;
        }
        int length = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN).getInt(start);
        if (!FrameCodec.isValidLength(length)) {
            return Following.NO_HEADER;
        }
        if (available == FrameCodec.LENGTH_BYTES) {
            return Following.INCOMPLETE_HEADER;
        }
        return FrameCodec.isNodeFrameType((char) bytes[start + FrameCodec.LENGTH_BYTES])
                ? Following.HEADER
                : Following.NO_HEADER;
    }

    /**
     * Returns whether the length of a frame may be wrong, given bytes that begin no frame. Noise
     * after a frame does not put it in doubt.
     *
     * @param payload the payload that the length delimits
     * @param following the bytes after it
     * @param moreExpected whether the node still owes other frames
     */
    static boolean isInDoubt(byte[] payload, byte[] following, boolean moreExpected) {
        return mayBeCutOff(following, moreExpected) || mayIncludeHeader(payload, following);
    }

    /**
     * Returns whether the bytes may be the rest of a value, which is text and ends where they end
     * or where a frame begins.
     */
    private static boolean mayBeCutOff(byte[] following, boolean moreExpected) {
        int textLength = textLength(following);
        if (textLength > 0 && textLength == following.length) {
            return true;
        }
        for (int rest = 1; rest <= textLength; rest++) {
            Following next = classify(following, rest);
            if (next == Following.HEADER || (next == Following.INCOMPLETE_HEADER && moreExpected)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the end of the payload and the following bytes make up a frame header. */
    private static boolean mayIncludeHeader(byte[] payload, byte[] following) {
        for (int included = 1; included <= FrameCodec.LENGTH_BYTES; included++) {
            int fromFollowing = FrameCodec.HEADER_BYTES - included;
            if (included > payload.length || fromFollowing > following.length) {
                continue;
            }
            byte[] header = new byte[FrameCodec.HEADER_BYTES];
            System.arraycopy(payload, payload.length - included, header, 0, included);
            System.arraycopy(following, 0, header, included, fromFollowing);
            if (classify(header) == Following.HEADER) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether all bytes are text; an incomplete last character counts as text. */
    static boolean isText(byte[] bytes) {
        return textLength(bytes) == bytes.length;
    }

    /** Returns how many bytes, from the first one on, are UTF-8 without control characters. */
    private static int textLength(byte[] bytes) {
        int length = 0;
        while (length < bytes.length && !FrameCodec.isControlCharacter(bytes[length])) {
            length++;
        }
        ByteBuffer in = ByteBuffer.wrap(Arrays.copyOf(bytes, length));
        CoderResult result =
                StandardCharsets.UTF_8.newDecoder().decode(in, CharBuffer.allocate(length), false);
        return result.isMalformed() ? in.position() : length;
    }
}
