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
}
