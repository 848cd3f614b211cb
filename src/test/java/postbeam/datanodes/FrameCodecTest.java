package postbeam.datanodes;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import postbeam.model.AttemptOutcome;

class FrameCodecTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void frameConsistsOfLittleEndianLengthTypeAndPayload() {
        assertArrayEquals(
                bytes("\5\0\0\0nab.3"), FrameCodec.encode(FrameCodec.CANCEL, "ab.3").array());
        assertArrayEquals(bytes("\1\0\0\0o"), FrameCodec.encode(FrameCodec.PROBE, "").array());
    }

    @Test
    void responseIsDecodedWithItsValueUnchanged() throws MalformedFrameException {
        ShardResponse response =
                FrameCodec.decodeResponse(bytes("ab.3 good 1840277719 -\nx  y\u00e4z"));
        assertEquals("ab.3", response.attemptId());
        assertEquals(AttemptOutcome.SUCCESS, response.outcome());
        assertArrayEquals(bytes("x  y\u00e4z"), response.value());
    }

    @Test
    void outcomeIsDecodedFromTheResponse() throws MalformedFrameException {
        assertEquals(
                AttemptOutcome.ERROR, FrameCodec.decodeResponse(bytes("a.1 bad 0 -\n")).outcome());
        assertEquals(
                AttemptOutcome.OVERLOADED,
                FrameCodec.decodeResponse(bytes("a.1 later 0 -\n")).outcome());
    }

    @Test
    void responseWithMalformedLoadReportIsDecoded() throws MalformedFrameException {
        assertArrayEquals(
                bytes("v"), FrameCodec.decodeResponse(bytes("a.1 good 0 \7 x= = ?\nv")).value());
    }

    @Test
    void malformedResponseIsRejected() {
        for (String payload :
                new String[] {
                    "",
                    "a.1 good 0 -",
                    "a.1 good 0\n",
                    "a.1 fine 0 -\n",
                    "a.1 good x -\n",
                    "a.1 good 0 -\nvalue\5\0\0\0q"
                }) {
            assertThrows(
                    MalformedFrameException.class,
                    () -> FrameCodec.decodeResponse(bytes(payload)),
                    payload);
        }
    }

    /** A value that is cut off within a character is no text that a node made. */
    @Test
    void valueThatEndsWithinCharacterIsRejected() {
        byte[] payload = bytes("a.1 good 0 -\nx\u00e4");
        assertThrows(
                MalformedFrameException.class,
                () -> FrameCodec.decodeResponse(Arrays.copyOf(payload, payload.length - 1)));
    }
}
