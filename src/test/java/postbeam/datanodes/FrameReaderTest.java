package postbeam.datanodes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.ReadableByteChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests frames that arrive in one read, or cut between two reads at any byte. */
class FrameReaderTest {
    private static final String ANSWER = "q9b1f03aa5c7e2d41.3 good 0 -\n9a55dffaf8581041";
    private static final String NEXT_ANSWER = "q9b1f03aa5c7e2d41.4 good 0 -\n0c11d2e07b35a986";

    private final List<String> handled = new ArrayList<>();
    private boolean moreExpected;

    private final FrameReader.FrameHandler handler =
            new FrameReader.FrameHandler() {
                @Override
                public void handleFrame(char type, byte[] payload) {
                    handled.add(type + new String(payload, StandardCharsets.UTF_8));
                }

                @Override
                public boolean expectsMoreAfter(char type, byte[] payload) {
                    return moreExpected;
                }
            };

    /** Delivers the bytes, then none for now. */
    private static final class ChunkChannel implements ReadableByteChannel {
        private final ByteBuffer chunk;

        ChunkChannel(byte[] bytes) {
            chunk = ByteBuffer.wrap(bytes);
        }

        @Override
        public int read(ByteBuffer destination) {
            int count = Math.min(chunk.remaining(), destination.remaining());
            ByteBuffer part = chunk.slice(chunk.position(), count);
            destination.put(part);
            chunk.position(chunk.position() + count);
            return count;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void close() {}
    }

    /** Encodes a frame whose stated length differs from its real one. */
    private static byte[] frame(String text, int lengthError) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(FrameCodec.LENGTH_BYTES + bytes.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(bytes.length + lengthError)
                .put(bytes)
                .array();
    }

    private static byte[] concat(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    private void readPass(FrameReader reader, byte[] bytes)
            throws IOException, MalformedFrameException {
        reader.read(new ChunkChannel(bytes), handler);
        reader.checkPartialFrame(moreExpected || handled.isEmpty(), handler);
    }

    /** Reads the bytes in two passes; a malformed frame ends the connection in either. */
    private FrameReader readCutAt(int cut, byte[] bytes) throws IOException {
        handled.clear();
        FrameReader reader = new FrameReader();
        try {
            readPass(reader, Arrays.copyOf(bytes, cut));
            readPass(reader, Arrays.copyOfRange(bytes, cut, bytes.length));
        } catch (MalformedFrameException e) {
            return null;
        }
        return reader;
    }

    /**
     * A length that is too short cuts the value off. The rest of the value is no frame, so the
     * answer must not be passed on, wherever the bytes are cut between two reads.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 15, 16})
    void cutOffValueIsNotPassedOn(int missing) throws Exception {
        byte[] answer = frame(ANSWER, -missing);
        moreExpected = true;
        for (byte[] bytes : List.of(answer, concat(answer, frame(NEXT_ANSWER, 0)))) {
            for (int cut = 0; cut < bytes.length; cut++) {
                if (cut != answer.length - missing) {
                    readCutAt(cut, bytes);
                    assertEquals(List.of(), handled, "cut at " + cut);
                }
            }
        }
    }

    /** The rest of the cut-off value is shorter than a header, and nothing follows it. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void cutOffValueIsNotPassedOnOnceTheNextFrameIsOverdue(int missing) throws Exception {
        moreExpected = true;
        FrameReader reader = readCutAt(0, frame(ANSWER, -missing));
        Thread.sleep(FrameReader.MAX_FRAME_DURATION.toMillis() + 1);
        assertThrows(MalformedFrameException.class, () -> reader.checkPartialFrame(true, handler));
        assertEquals(List.of(), handled);
    }

    /** Where nothing else is due, text directly behind a value may be its rest as well. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 15})
    void cutOffValueIsNotPassedOnIfNothingElseIsDue(int missing) throws Exception {
        readCutAt(0, frame(ANSWER, -missing));
        assertEquals(List.of(), handled);
    }

    /**
     * A length that is too long by one adds the first byte of the next frame to the value, and that
     * byte is text if the next frame has 32 to 126 bytes.
     */
    @Test
    void valueThatIncludesTheNextHeaderIsNotPassedOn() throws Exception {
        byte[] answer = frame(ANSWER, 1);
        byte[] bytes = concat(answer, frame(NEXT_ANSWER, 0));
        moreExpected = true;
        for (int cut = 0; cut < bytes.length; cut++) {
            if (cut != answer.length + 1) {
                readCutAt(cut, bytes);
                assertEquals(List.of(), handled, "cut at " + cut);
            }
        }
    }

    @Test
    void answersArePassedOnWhereverTheyAreCut() throws Exception {
        byte[] bytes = concat(frame(ANSWER, 0), frame(NEXT_ANSWER, 0), frame("ogood", 0));
        moreExpected = true;
        for (int cut = 0; cut < bytes.length; cut++) {
            readCutAt(cut, bytes);
            assertEquals(List.of(ANSWER, NEXT_ANSWER, "ogood"), handled, "cut at " + cut);
        }
    }

    /**
     * A sound answer must not be lost for noise or a second copy directly behind it when nothing
     * else is due.
     */
    @Test
    void answerBeforeNoiseIsPassedOnIfNothingElseIsDue() throws Exception {
        byte[] answer = frame(ANSWER, 0);
        byte[] random = new byte[64];
        new Random(7).nextBytes(random);
        for (byte[] noise :
                List.of(new byte[] {9, 0, 0}, new byte[] {0}, random, frame("x?", 0), answer)) {
            byte[] bytes = concat(answer, noise);
            for (int cut = 0; cut < bytes.length; cut++) {
                readCutAt(cut, bytes);
                assertFalse(handled.isEmpty(), "cut at " + cut);
                assertEquals(ANSWER, handled.get(0), "cut at " + cut);
            }
        }
    }

    /** A sound answer must not be lost for a malformed one behind it while others are due. */
    @Test
    void answerBeforeMalformedAnswerIsPassedOn() throws Exception {
        byte[] answer = frame(ANSWER, 0);
        byte[] valueOfThreeGigabytes = {0, 94, -48, -78, 'q', 'x'};
        byte[] unknownType = frame("x" + NEXT_ANSWER, 0);
        byte[] endlessLine = frame("q" + "x".repeat(100), 1000);
        moreExpected = true;
        for (byte[] malformed : List.of(valueOfThreeGigabytes, unknownType, endlessLine)) {
            byte[] bytes = concat(answer, malformed);
            for (int cut = 0; cut < bytes.length; cut++) {
                readCutAt(cut, bytes);
                assertEquals(List.of(ANSWER), handled, "cut at " + cut);
            }
        }
    }

    /** The next answer stops within its header; the answer before it is sound. */
    @Test
    void answerBeforeHeaderThatStaysIncompleteIsPassedOnOnceItIsOverdue() throws Exception {
        moreExpected = true;
        byte[] header = Arrays.copyOf(frame(NEXT_ANSWER, 0), FrameCodec.LENGTH_BYTES);
        FrameReader reader = readCutAt(0, concat(frame(ANSWER, 0), header));
        assertEquals(List.of(), handled);
        Thread.sleep(FrameReader.MAX_FRAME_DURATION.toMillis() + 1);
        assertThrows(MalformedFrameException.class, () -> reader.checkPartialFrame(true, handler));
        assertEquals(List.of(ANSWER), handled);
    }

    /** The rest of a frame of an unknown type may never come, so its type is checked at once. */
    @Test
    void unknownTypeIsRejectedBeforeTheFrameIsComplete() {
        moreExpected = true;
        byte[] begun = Arrays.copyOf(frame("x".repeat(50), 0), FrameCodec.HEADER_BYTES);
        assertThrows(MalformedFrameException.class, () -> readPass(new FrameReader(), begun));
        assertEquals(List.of(), handled);
    }
}
