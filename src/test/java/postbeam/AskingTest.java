package postbeam;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.Given.ms;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;
import postbeam.roster.Asking;

class AskingTest {
    private final Asking asking = new Asking(true, ms(10_000), new Random(1));

    @Test
    void itIsAskedAtOnceAndAfterEachFailureLaterAndLaterUntilTheWatchHolds() {
        assertTrue(asking.due(ms(0)));
        long now = 0;
        for (int failure = 1; failure <= 12; failure++) {
            asking.answered(ms(now), true);
            assertFalse(asking.due(ms(now)));
            long pause = asking.at().toMillis() - now;
            long mean = Math.min(10_000, 500L << (failure - 1));
            assertTrue(pause >= mean / 2 && pause <= mean * 3 / 2, pause + " after failure " + failure);
            now += pause;
            assertTrue(asking.due(ms(now)));
        }
        asking.answered(ms(now), false);
        assertNull(asking.at());
        assertFalse(asking.due(ms(now + 60_000)));
    }

    @Test
    void routersThatFailedTogetherDoNotAskAgainTogether() {
        Asking other = new Asking(true, ms(10_000), new Random(2));
        asking.answered(ms(0), true);
        other.answered(ms(0), true);
        assertNotEquals(asking.at(), other.at());
    }

    @Test
    void anAskWithoutAnAnswerIsMadeAgainAndWhatTellsByItselfIsNeverAsked() {
        assertTrue(asking.due(ms(0)));
        assertFalse(asking.due(ms(4_900)));
        assertTrue(asking.due(ms(5_000)));
        Asking unneeded = new Asking(false, null, new Random(1));
        assertFalse(unneeded.due(Duration.ofHours(1)));
        unneeded.answered(ms(0), true);
        assertNull(unneeded.at());
    }

    /** The two paces against the clock for silence: what a silent call missed counts 6 s later, or 2 s after its wait. */
    @Test
    void whatASilentCallMissedIsAskedForBeforeItCountsAsTold() {
        Random chance = new Random(3);
        for (Duration askEvery : new Duration[] {null, ms(300), ms(10_000)}) {
            Asking.Pace priced = Asking.priced(askEvery, chance);
            for (int failures = 1; failures <= 60; failures++) {
                Duration pause = priced.pause().apply(failures);
                assertTrue(pause.compareTo(ms(100)) >= 0, "in step");
                assertTrue(pause.plus(priced.answer().multipliedBy(2)).compareTo(ms(6_000)) <= 0,
                        pause + " after failure " + failures);
            }
            // The first pause after a watch that was waited for 1 s over its wait.
            assertTrue(priced.pause().apply(1).compareTo(ms(1_000)) <= 0);
        }
        // Two calls that find the agent still away or just back, within the 2 s that a drain leaves.
        assertTrue(Asking.FREE.answer().plus(Asking.FREE.pause().apply(50)).compareTo(ms(1_500)) <= 0);
        assertTrue(Asking.FREE.hold().plus(ms(2_000)).compareTo(ms(6_000)) <= 0);
    }
}
