package postbeam.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PollScheduleTest {
    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private final PollSchedule asking = new PollSchedule(true, ms(10_000), new Random(1));

    @Test
    void itIsAskedAtOnceAndAfterEachFailureLaterAndLaterUntilTheWatchHolds() {
        assertTrue(asking.startPollIfDue(ms(0)));
        long now = 0;
        for (int failure = 1; failure <= 12; failure++) {
            asking.onPollResult(ms(now), true);
            assertFalse(asking.startPollIfDue(ms(now)));
            long pause = asking.nextPollAt().toMillis() - now;
            long mean = Math.min(800, 500L << (failure - 1));
            assertTrue(
                    pause >= mean / 2 && pause <= mean * 3 / 2,
                    pause + " after failure " + failure);
            now += pause;
            assertTrue(asking.startPollIfDue(ms(now)));
        }
        asking.onPollResult(ms(now), false);
        assertNull(asking.nextPollAt());
        assertFalse(asking.startPollIfDue(ms(now + 60_000)));
    }

    @Test
    void routersThatFailedTogetherDoNotAskAgainTogether() {
        PollSchedule other = new PollSchedule(true, ms(10_000), new Random(2));
        asking.onPollResult(ms(0), true);
        other.onPollResult(ms(0), true);
        assertNotEquals(asking.nextPollAt(), other.nextPollAt());
    }

    @Test
    void anAskWithoutAnAnswerIsMadeAgainAndWhatTellsByItselfIsNeverAsked() {
        assertTrue(asking.startPollIfDue(ms(0)));
        assertFalse(asking.startPollIfDue(ms(2_200)));
        assertTrue(asking.startPollIfDue(ms(2_300)));
        PollSchedule unneeded = new PollSchedule(false, null, new Random(1));
        assertFalse(unneeded.startPollIfDue(Duration.ofHours(1)));
        unneeded.onPollResult(ms(0), true);
        assertNull(unneeded.nextPollAt());
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
    private static long untilTold(PollSchedule.PollTimings pace, int failAfter) {
        long out =
                Math.max(
                        pace.longPollWait().plus(pace.longPollGrace()).toMillis(),
                        pace.responseTimeout().toMillis());
        return out
                + (1 + failAfter)
                        * (pace.maxBackoff().toMillis() + pace.responseTimeout().toMillis());
    }

    @Test
    void whateverFailedBeforeAChangeIsToldWithinTheTimeAtEveryPace() {
        int paces = 0;
        for (Random chance : CHANCES) {
            for (Duration askEvery : ASK_EVERY) {
                PollSchedule.PollTimings priced = PollSchedule.discoveryServer(askEvery, chance);
                assertTrue(
                        untilTold(priced, 0) <= ROOM_MILLIS,
                        askEvery + ": " + untilTold(priced, 0));
                for (int failures = 1; failures <= 200; failures++) {
                    long pause = priced.backoff().apply(failures).toMillis();
                    assertTrue(pause >= 100, askEvery + ": in step, " + pause);
                    assertTrue(pause <= priced.maxBackoff().toMillis(), askEvery + ": " + pause);
                    assertTrue(
                            priced.firstByteTimeout()
                                            .apply(failures)
                                            .compareTo(priced.responseTimeout())
                                    <= 0);
                }
                // Nor do the first pauses grow: a hundred routers' calls spread, and an outage of 1
                // s isn't outlasted.
                assertTrue(priced.backoff().apply(1).compareTo(ms(750)) <= 0);
                paces++;
            }
        }
        assertTrue(
                untilTold(PollSchedule.LOCAL_AGENT, 1) <= ROOM_MILLIS,
                "free: " + untilTold(PollSchedule.LOCAL_AGENT, 1));
        for (int failures = 0; failures <= 200; failures++) {
            assertEquals(
                    PollSchedule.LOCAL_AGENT.maxBackoff(),
                    PollSchedule.LOCAL_AGENT.backoff().apply(failures));
            assertTrue(
                    PollSchedule.LOCAL_AGENT
                                    .firstByteTimeout()
                                    .apply(failures)
                                    .compareTo(PollSchedule.LOCAL_AGENT.responseTimeout())
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
                    PollSchedule.LOCAL_AGENT
                            .firstByteTimeout()
                            .apply(failures)
                            .plus(PollSchedule.LOCAL_AGENT.backoff().apply(failures))
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
                                        PollSchedule.LOCAL_AGENT
                                                .firstByteTimeout()
                                                .apply(failures)
                                                .equals(
                                                        PollSchedule.LOCAL_AGENT
                                                                .responseTimeout())));
    }

    /**
     * The simulator's wire: an ask that is never answered, one that fails late, the pause, and an
     * ask of 2 s.
     */
    @Test
    void anAskIsUnderTheSameBoundWhateverTheSettingsSay() {
        for (Random chance : CHANCES) {
            for (Duration askEvery : ASK_EVERY) {
                PollSchedule state = new PollSchedule(true, askEvery, chance);
                Duration now = Duration.ZERO;
                for (int failures = 1; failures <= 200; failures++) {
                    assertTrue(state.startPollIfDue(now));
                    Duration unanswered = state.nextPollAt().minus(now);
                    now = state.nextPollAt();
                    state.onPollResult(now, true);
                    Duration pause = state.nextPollAt().minus(now);
                    long sum = unanswered.plus(pause).toMillis() + 2_000;
                    assertTrue(sum <= ROOM_MILLIS, askEvery + ": " + sum + " after " + failures);
                    assertTrue(pause.toMillis() >= 100, askEvery + ": in step, " + pause);
                    assertTrue(unanswered.toMillis() > 2_000, "discovery may take 2 s");
                    now = state.nextPollAt();
                }
            }
        }
    }
}
