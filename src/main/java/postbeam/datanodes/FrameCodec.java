package postbeam.datanodes;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.model.AttemptOutcome;

/**
 * Encodes and decodes the frames between a router and a data node. A frame consists of a four-byte
 * little-endian length of the rest, one letter for the frame type, and the payload.
 */
final class FrameCodec {
    /** From the router: attempts that the node processes as one call. */
    static final char CALL = 'm';

    /** From the router: cancels an attempt. */
    static final char CANCEL = 'n';

    /** From the router: a health check. From the node: its result. */
    static final char PROBE = 'o';

    /** As {@link #PROBE}, with a load report in the result. */
    static final char LOAD_PROBE = 'p';

    /** From the node: the outcome of an attempt. */
    static final char RESPONSE = 'q';

    /** From the node: it rejects a frame of the router. */
    static final char PROTOCOL_ERROR = 'r';

    static final int LENGTH_BYTES = 4;

    /** Limit for letter and payload; a value may be as large as a client's body, 64 KiB. */
    static final int MAX_FRAME_BYTES = (64 << 10) + 1024;

    private static final int TYPE_BYTES = 1;

    /** Length and type. */
    static final int HEADER_BYTES = LENGTH_BYTES + TYPE_BYTES;

    /** Limit for text of a response that a message quotes. */
    private static final int MAX_QUOTED_CHARS = 100;

    /** Fields in a response's first line: id, outcome, score, load report. */
    private static final int RESPONSE_FIELDS = 4;

    private static final Pattern SCORE = Pattern.compile("-?[0-9]+");

    private FrameCodec() {}

    // ---- encoding

    /** Encodes a call: the header and the payload of each attempt. */
    static ByteBuffer encodeCall(List<DispatchedAttempt> attempts) {
        byte[][] headers = new byte[attempts.size()][];
        int size = 0;
        for (int i = 0; i < headers.length; i++) {
            headers[i] = attempts.get(i).frameHeader();
            size += headers[i].length + attempts.get(i).payload.length;
        }
        ByteBuffer frame = allocate(CALL, size);
        for (int i = 0; i < headers.length; i++) {
            frame.put(headers[i]).put(attempts.get(i).payload);
        }
        return frame.flip();
    }

    /** Encodes a frame whose payload is text. */
    static ByteBuffer encode(char type, String payload) {
        byte[] bytes = payload.getBytes(StandardCharsets.UTF_8);
        return allocate(type, bytes.length).put(bytes).flip();
    }

    private static ByteBuffer allocate(char type, int payloadBytes) {
        return ByteBuffer.allocate(HEADER_BYTES + payloadBytes)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(TYPE_BYTES + payloadBytes)
                .put((byte) type);
    }

    // ---- decoding

    /** Returns whether a received frame may have this length of type and payload. */
    static boolean isValidLength(int length) {
        return length >= TYPE_BYTES && length <= MAX_FRAME_BYTES;
    }

    /** Returns whether a node sends frames of this type. */
    static boolean isNodeFrameType(char type) {
        return switch (type) {
            case RESPONSE, PROBE, LOAD_PROBE, PROTOCOL_ERROR -> true;
            default -> false;
        };
    }

    /** Returns the id that a response begins with, which need not be known. */
    static String attemptId(byte[] payload) {
        int end = 0;
        while (end < payload.length && payload[end] != ' ') {
            end++;
        }
        return new String(payload, 0, end, StandardCharsets.UTF_8);
    }

    /**
     * Decodes the payload of a response: a line of id, outcome, score and load report, separated by
     * spaces, then the value.
     */
    static ShardResponse decodeResponse(byte[] payload) throws MalformedFrameException {
        int lineEnd = 0;
        while (lineEnd < payload.length && payload[lineEnd] != '\n') {
            lineEnd++;
        }
        // The load report is the last field and is not decoded, so a malformed report does not make
        // the response unusable.
        String[] fields =
                new String(payload, 0, lineEnd, StandardCharsets.UTF_8).split(" ", RESPONSE_FIELDS);
        if (lineEnd == payload.length
                || fields.length != RESPONSE_FIELDS
                || !SCORE.matcher(fields[2]).matches()) {
            throw new MalformedFrameException(
                    "response does not start with a line of id, outcome, score and load report: "
                            + payload.length
                            + " bytes");
        }
        byte[] value = Arrays.copyOfRange(payload, lineEnd + 1, payload.length);
        AttemptOutcome outcome = decodeOutcome(fields[1]);
        checkIsText(value);
        return new ShardResponse(fields[0], outcome, value);
    }

    private static AttemptOutcome decodeOutcome(String text) throws MalformedFrameException {
        return switch (text) {
            case "good" -> AttemptOutcome.SUCCESS;
            case "bad" -> AttemptOutcome.ERROR;
            case "later" -> AttemptOutcome.OVERLOADED;
            case "moved" -> AttemptOutcome.MOVED;
            default ->
                    throw new MalformedFrameException(
                            "response outcome is not good, bad, later or moved, but "
                                    + text.substring(0, Math.min(text.length(), MAX_QUOTED_CHARS))
                                            .replaceAll("\\p{Cc}", "?"));
        };
    }

    /**
     * Rejects a value that is not UTF-8 text without control characters. A wrong frame length may
     * end the value within a character, or make it include the header of the next frame, whose
     * length bytes are control characters.
     */
    private static void checkIsText(byte[] value) throws MalformedFrameException {
        boolean ascii = true;
        for (byte b : value) {
            ascii &= b >= 0;
            if (isControlCharacter(b)) {
                throw new MalformedFrameException(
                        "response value must be text, but contains the control character 0x"
                                + Integer.toHexString(b));
            }
        }
        if (!ascii && !isUtf8(value)) {
            throw new MalformedFrameException(
                    "response value must be UTF-8, but is not: " + value.length + " bytes");
        }
    }

    private static boolean isUtf8(byte[] bytes) {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes));
            return true;
        } catch (CharacterCodingException e) {
            return false;
        }
    }

    /** Returns whether the byte is an ASCII control character, which no value contains. */
    static boolean isControlCharacter(byte b) {
        return b >= 0 && b < ' ';
    }
}
