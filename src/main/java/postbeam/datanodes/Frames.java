package postbeam.datanodes;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import postbeam.router.Call;
import postbeam.state.Outcome;

/** The frames that a router and a data node send each other: a length, a letter, the rest. */
final class Frames {
    static final char CALL = 'm';
    static final char GIVE_UP = 'n';
    static final char PROBE = 'o';
    static final char LOAD_PROBE = 'p';
    static final char ANSWER = 'q';
    static final char UNUSABLE = 'r';

    /** Bytes of the length. */
    static final int HEAD = 4;

    /** Bytes: a body of the client's protocol holds 64 KiB, and no value may be larger. */
    static final int LONGEST = (64 << 10) + 1024;

    /** A part's answer. */
    record Answer(String id, Outcome outcome, byte[] value) {}

    private Frames() {}

    /** One call with these parts, each with its text. */
    static ByteBuffer call(List<Call> parts) {
        byte[][] heads = new byte[parts.size()][];
        int size = 0;
        for (int i = 0; i < heads.length; i++) {
            heads[i] = parts.get(i).head();
            size += heads[i].length + parts.get(i).text.length;
        }
        ByteBuffer frame = start(CALL, size);
        for (int i = 0; i < heads.length; i++) {
            frame.put(heads[i]).put(parts.get(i).text);
        }
        return frame.flip();
    }

    static ByteBuffer of(char letter, String rest) {
        byte[] bytes = rest.getBytes(StandardCharsets.UTF_8);
        return start(letter, bytes.length).put(bytes).flip();
    }

    private static ByteBuffer start(char letter, int size) {
        return ByteBuffer.allocate(HEAD + 1 + size)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(1 + size)
                .put((byte) letter);
    }

    /** The rest of an answer's frame: ID END SCORE REPORT, a line feed, the value. */
    static Answer answer(byte[] rest) throws BadFrame {
        int end = 0;
        while (end < rest.length && rest[end] != '\n') {
            end++;
        }
        // The report comes last and nothing is read from it: one that can't be read spoils no
        // answer.
        String[] words = new String(rest, 0, end, StandardCharsets.UTF_8).split(" ", 4);
        if (end == rest.length || words.length != 4 || !words[2].matches("-?[0-9]+")) {
            throw new BadFrame("an answer without its line of id, end, score and report");
        }
        Outcome outcome =
                switch (words[1]) {
                    case "good" -> Outcome.MERGED;
                    case "bad" -> Outcome.ERROR;
                    case "later" -> Outcome.FULL;
                    case "moved" -> Outcome.MOVED;
                    default -> throw new BadFrame("an answer that ended in an unknown way");
                };
        byte[] value = Arrays.copyOfRange(rest, end + 1, rest.length);
        for (byte b : value) {
            if (b >= 0 && b < ' ') {
                // A length that reaches into the next frame brings that frame's head along.
                throw new BadFrame("a value that is no text");
            }
        }
        return new Answer(words[0], outcome, value);
    }

    /** A frame that does not follow the protocol. */
    static final class BadFrame extends Exception {
        private static final long serialVersionUID = 1L;

        BadFrame(String what) {
            super(what);
        }
    }
}
