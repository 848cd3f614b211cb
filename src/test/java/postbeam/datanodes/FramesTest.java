package postbeam.datanodes;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import postbeam.state.Outcome;

class FramesTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void aFrameIsItsLengthFromTheLeastByteOnThenItsLetterAndTheRest() {
        assertArrayEquals(bytes("\5\0\0\0nab.3"), Frames.of(Frames.GIVE_UP, "ab.3").array());
        assertArrayEquals(bytes("\1\0\0\0o"), Frames.of(Frames.PROBE, "").array());
    }

    @Test
    void anAnswerIsReadWithItsValueAsItIs() throws Frames.BadFrame {
        Frames.Answer answer = Frames.answer(bytes("ab.3 good 1840277719 -\nx  y\u00e4z"));
        assertEquals("ab.3", answer.id());
        assertEquals(Outcome.MERGED, answer.outcome());
        assertArrayEquals(bytes("x  y\u00e4z"), answer.value());
    }

    @Test
    void theWayAPartEndedTellsWhetherItMayHaveRun() throws Frames.BadFrame {
        assertEquals(Outcome.ERROR, Frames.answer(bytes("a.1 bad 0 -\n")).outcome());
        assertEquals(Outcome.FULL, Frames.answer(bytes("a.1 later 0 -\n")).outcome());
    }

    @Test
    void aReportThatCantBeReadSpoilsNoAnswer() throws Frames.BadFrame {
        assertArrayEquals(bytes("v"), Frames.answer(bytes("a.1 good 0 \7 x= = ?\nv")).value());
    }

    @Test
    void whatFollowsNoFormIsABadFrame() {
        for (String rest :
                new String[] {
                    "",
                    "a.1 good 0 -",
                    "a.1 good 0\n",
                    "a.1 fine 0 -\n",
                    "a.1 good x -\n",
                    "a.1 good 0 -\nvalue\5\0\0\0q"
                }) {
            assertThrows(Frames.BadFrame.class, () -> Frames.answer(bytes(rest)), rest);
        }
    }
}
