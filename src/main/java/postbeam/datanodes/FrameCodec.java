package postbeam.datanodes;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.model.AttemptOutcome;

/**
 * Encodes and decodes the frames between a router and a data node: four bytes of length, least
 * significant first, that count what follows; one letter, the frame's type; the payload.
 */
final class FrameCodec {
    /** From the router: attempts that the node takes as one call. */
    static final char CALL = 'm';

    /** From the router: nobody waits for this attempt any more. */
    static final char CANCEL = 'n';

    /** Both ways: a health check. */
    static final char PROBE = 'o';

    /** Both ways: a health check that asks for a load report. */
    static final char LOAD_PROBE = 'p';

    /** From the node: how an attempt ended. */
    static final char RESPONSE = 'q';

    /** From the node: a frame could not be used. */
    static final char PROTOCOL_ERROR = 'r';

    static final int LENGTH_BYTES = 4;

    /** Bytes of letter and payload: a value may be as large as a client's body, 64 KiB. */
    static final int MAX_FRAME_BYTES = (64 << 10) + 1024;

    private static final int TYPE_BYTES = 1;

    /** A response's first line: id, how it ended, score, load report. */
    private static final int RESPONSE_FIELDS = 4;

    private static final Pattern SCORE = Pattern.compile("-?[0-9]+");

    private FrameCodec() {}

    // ---- encoding

    /** A call of these attempts, each with its text. */
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

    /** A frame whose payload is text. */
    static ByteBuffer encode(char type, String payload) {
        byte[] bytes = payload.getBytes(StandardCharsets.UTF_8);
        return allocate(type, bytes.length).put(bytes).flip();
    }

    private static ByteBuffer allocate(char type, int payloadBytes) {
        return ByteBuffer.allocate(LENGTH_BYTES + TYPE_BYTES + payloadBytes)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(TYPE_BYTES + payloadBytes)
                .put((byte) type);
    }

    // ---- decoding

    /** The payload of a response: a line of id, end, score and load report, then the value. */
    static ShardResponse decodeResponse(byte[] payload) throws MalformedFrameException {
        int lineEnd = 0;
        while (lineEnd < payload.length && payload[lineEnd] != '\n') {
            lineEnd++;
        }
        // The report comes last and nothing is read from it: one that can't be read spoils no
        // response.
        String[] fields =
                new String(payload, 0, lineEnd, StandardCharsets.UTF_8).split(" ", RESPONSE_FIELDS);
        if (lineEnd == payload.length
                || fields.length != RESPONSE_FIELDS
                || !SCORE.matcher(fields[2]).matches()) {
            throw new MalformedFrameException(
                    "an answer without its line of id, end, score and report");
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
            default -> throw new MalformedFrameException("an answer that ended in an unknown way");
        };
    }

    /**
     * A length that reaches into the next frame brings that frame's head along, which is no text.
     */
    private static void checkIsText(byte[] value) throws MalformedFrameException {
        for (byte b : value) {
            if (b >= 0 && b < ' ') {
                throw new MalformedFrameException("a value that is no text");
            }
        }
    }
}
