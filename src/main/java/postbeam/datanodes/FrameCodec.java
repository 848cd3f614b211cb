package postbeam.datanodes;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.model.AttemptOutcome;

/** The frames that a router and a data node send each other: a length, a letter, the rest. */
final class FrameCodec {
    static final char CALL = 'm';
    static final char CANCEL = 'n';
    static final char PROBE = 'o';
    static final char LOAD_PROBE = 'p';
    static final char RESPONSE = 'q';
    static final char PROTOCOL_ERROR = 'r';

    /** Bytes of the length. */
    static final int LENGTH_BYTES = 4;

    /** Bytes: a body of the client's protocol holds 64 KiB, and no value may be larger. */
    static final int MAX_PAYLOAD_BYTES = (64 << 10) + 1024;

    /** A part's answer. */
    record ShardResponse(String attemptId, AttemptOutcome outcome, byte[] value) {}

    private FrameCodec() {}

    /** One call with these parts, each with its text. */
    static ByteBuffer encodeCall(List<DispatchedAttempt> parts) {
        byte[][] heads = new byte[parts.size()][];
        int size = 0;
        for (int i = 0; i < heads.length; i++) {
            heads[i] = parts.get(i).frameHeader();
            size += heads[i].length + parts.get(i).payload.length;
        }
        ByteBuffer frame = allocate(CALL, size);
        for (int i = 0; i < heads.length; i++) {
            frame.put(heads[i]).put(parts.get(i).payload);
        }
        return frame.flip();
    }

    static ByteBuffer encode(char letter, String rest) {
        byte[] bytes = rest.getBytes(StandardCharsets.UTF_8);
        return allocate(letter, bytes.length).put(bytes).flip();
    }

    private static ByteBuffer allocate(char letter, int size) {
        return ByteBuffer.allocate(LENGTH_BYTES + 1 + size)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(1 + size)
                .put((byte) letter);
    }

    /** The rest of an answer's frame: ID END SCORE REPORT, a line feed, the value. */
    static ShardResponse decodeResponse(byte[] rest) throws MalformedFrameException {
        int end = 0;
        while (end < rest.length && rest[end] != '\n') {
            end++;
        }
        // The report comes last and nothing is read from it: one that can't be read spoils no
        // answer.
        String[] words = new String(rest, 0, end, StandardCharsets.UTF_8).split(" ", 4);
        if (end == rest.length || words.length != 4 || !words[2].matches("-?[0-9]+")) {
            throw new MalformedFrameException(
                    "an answer without its line of id, end, score and report");
        }
        AttemptOutcome outcome =
                switch (words[1]) {
                    case "good" -> AttemptOutcome.SUCCESS;
                    case "bad" -> AttemptOutcome.ERROR;
                    case "later" -> AttemptOutcome.OVERLOADED;
                    case "moved" -> AttemptOutcome.MOVED;
                    default ->
                            throw new MalformedFrameException(
                                    "an answer that ended in an unknown way");
                };
        byte[] value = Arrays.copyOfRange(rest, end + 1, rest.length);
        for (byte b : value) {
            if (b >= 0 && b < ' ') {
                // A length that reaches into the next frame brings that frame's head along.
                throw new MalformedFrameException("a value that is no text");
            }
        }
        return new ShardResponse(words[0], outcome, value);
    }

    /** A frame that does not follow the protocol. */
    static final class MalformedFrameException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedFrameException(String what) {
            super(what);
        }
    }
}
