package postbeam;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import postbeam.roster.DiscoveryPacing;

class DiscoveryPacingTest {
    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private final DiscoveryPacing asking = new DiscoveryPacing(true, ms(10_000), new Random(1));

    @Test
    void itIsAskedAtOnceAndAfterEachFailureLaterAndLaterUntilTheWatchHolds() {
        assertTrue(asking.due(ms(0)));
        long now = 0;
        for (int failure = 1; failure <= 12; failure++) {
            asking.answered(ms(now), true);
            assertFalse(asking.due(ms(now)));
            long pause = asking.at().toMillis() - now;
            long mean = Math.min(800, 500L << (failure - 1));
            assertTrue(
                    pause >= mean / 2 && pause <= mean * 3 / 2,
                    pause + " after failure " + failure);
            now += pause;
            assertTrue(asking.due(ms(now)));
        }
        asking.answered(ms(now), false);
        assertNull(asking.at());
        assertFalse(asking.due(ms(now + 60_000)));
    }

    @Test
    void routersThatFailedTogetherDoNotAskAgainTogether() {
        DiscoveryPacing other = new DiscoveryPacing(true, ms(10_000), new Random(2));
        asking.answered(ms(0), true);
        other.answered(ms(0), true);
        assertNotEquals(asking.at(), other.at());
    }

    @Test
    void anAskWithoutAnAnswerIsMadeAgainAndWhatTellsByItselfIsNeverAsked() {
        assertTrue(asking.due(ms(0)));
        assertFalse(asking.due(ms(2_200)));
        assertTrue(asking.due(ms(2_300)));
        DiscoveryPacing unneeded = new DiscoveryPacing(false, null, new Random(1));
        assertFalse(unneeded.due(Duration.ofHours(1)));
        unneeded.answered(ms(0), true);
        assertNull(unneeded.at());
    }

    /** What settings may say, from nothing to what no setting should. */
    private static final Duration[] ASK_EVERY = {
        null,
        ms(-1),
        ms(0),
        ms(1),
        ms(50),
        ms(300),
        ms(500),
        ms(799),
        ms(800),
        ms(1_200),
        ms(2_000),
        ms(10_000),
        ms(60_000),
        Duration.ofDays(400_000),
        Duration.ofSeconds(Long.MAX_VALUE)
    };

    /** Chances that draw the least, the most, and whatever else. */
    private static final Random[] CHANCES = {
        drawing(0), drawing(Math.nextDown(1.0)), new Random(3)
    };

    /**
     * What has to be told 6 s after discovery had it and could be reached, with 0.5 s for a late
     * router.
     */
    private static final long ROOM_MILLIS = 5_500;

    private static Random drawing(double always) {
        return new Random() {
            @Override
            public double nextDouble() {
                return always;
            }
        };
    }

    /**
     * The longest that a call may be out which began before discovery was back, the longest pause,
     * and a whole list; and so many times a pause and a list that fails all the same.
     */
    private static long untilTold(DiscoveryPacing.Pace pace, int failAfter) {
        long out = Math.max(pace.hold().plus(pace.over()).toMillis(), pace.answer().toMillis());
        return out + (1 + failAfter) * (pace.longestPause().toMillis() + pace.answer().toMillis());
    }

    @Test
    void whateverFailedBeforeAChangeIsToldWithinTheTimeAtEveryPace() {
        int paces = 0;
        for (Random chance : CHANCES) {
            for (Duration askEvery : ASK_EVERY) {
                DiscoveryPacing.Pace priced = DiscoveryPacing.priced(askEvery, chance);
                assertTrue(
                        untilTold(priced, 0) <= ROOM_MILLIS,
                        askEvery + ": " + untilTold(priced, 0));
                for (int failures = 1; failures <= 200; failures++) {
                    long pause = priced.pause().apply(failures).toMillis();
                    assertTrue(pause >= 100, askEvery + ": in step, " + pause);
                    assertTrue(pause <= priced.longestPause().toMillis(), askEvery + ": " + pause);
                    assertTrue(priced.begin().apply(failures).compareTo(priced.answer()) <= 0);
                }
                // Nor do the first pauses grow: a hundred routers' calls spread, and an outage of 1
                // s isn't outlasted.
                assertTrue(priced.pause().apply(1).compareTo(ms(750)) <= 0);
                paces++;
            }
        }
        assertTrue(
                untilTold(DiscoveryPacing.FREE, 1) <= ROOM_MILLIS,
                "free: " + untilTold(DiscoveryPacing.FREE, 1));
        for (int failures = 0; failures <= 200; failures++) {
            assertEquals(
                    DiscoveryPacing.FREE.longestPause(),
                    DiscoveryPacing.FREE.pause().apply(failures));
            assertTrue(
                    DiscoveryPacing.FREE
                                    .begin()
                                    .apply(failures)
                                    .compareTo(DiscoveryPacing.FREE.answer())
                            <= 0);
        }
        assertEquals(45, paces);
    }

    /**
     * Two calls that find the agent still away or just back, within a grace of 500 ms, through
     * outages of 6 s.
     */
    @Test
    void theAgentsReturnIsNoticedWithinTheShortestGrace() {
        long out = 0;
        for (int failures = 0; out < 6_000; failures++) {
            long call =
                    DiscoveryPacing.FREE
                            .begin()
                            .apply(failures)
                            .plus(DiscoveryPacing.FREE.pause().apply(failures))
                            .toMillis();
            assertTrue(call <= 400, call + " after " + failures + " failures");
            out += call;
        }
        // An agent that takes longer to begin, but no longer than an answer may, is heard all the
        // same.
        assertTrue(
                IntStream.range(0, 30)
                        .anyMatch(
                                failures ->
                                        DiscoveryPacing.FREE
                                                .begin()
                                                .apply(failures)
                                                .equals(DiscoveryPacing.FREE.answer())));
    }

    /**
     * The simulator's wire: an ask that is never answered, one that fails late, the pause, and an
     * ask of 2 s.
     */
    @Test
    void anAskIsUnderTheSameBoundWhateverTheSettingsSay() {
        for (Random chance : CHANCES) {
            for (Duration askEvery : ASK_EVERY) {
                DiscoveryPacing state = new DiscoveryPacing(true, askEvery, chance);
                Duration now = Duration.ZERO;
                for (int failures = 1; failures <= 200; failures++) {
                    assertTrue(state.due(now));
                    Duration unanswered = state.at().minus(now);
                    now = state.at();
                    state.answered(now, true);
                    Duration pause = state.at().minus(now);
                    long sum = unanswered.plus(pause).toMillis() + 2_000;
                    assertTrue(sum <= ROOM_MILLIS, askEvery + ": " + sum + " after " + failures);
                    assertTrue(pause.toMillis() >= 100, askEvery + ": in step, " + pause);
                    assertTrue(unanswered.toMillis() > 2_000, "discovery may take 2 s");
                    now = state.at();
                }
            }
        }
    }
}
