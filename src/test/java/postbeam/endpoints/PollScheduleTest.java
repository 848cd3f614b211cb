package postbeam.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Collections;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PollScheduleTest {
    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private final PollSchedule schedule = new PollSchedule(true, ms(10_000), new Random(1));

    @Test
    void pollIsDueAtStartAndAfterEachFailureUntilOneSucceeds() {
        assertTrue(schedule.startPollIfDue(ms(0)));
        long now = 0;
        for (int failure = 1; failure <= 12; failure++) {
            schedule.onPollResult(ms(now), true);
            assertFalse(schedule.startPollIfDue(ms(now)));
            long pause = schedule.nextPollAt().toMillis() - now;
            long mean = Math.min(800, 500L << (failure - 1));
            assertTrue(
                    pause >= mean / 2 && pause <= mean * 3 / 2,
                    "pause of " + pause + " ms after failure " + failure);
            now += pause;
            assertTrue(schedule.startPollIfDue(ms(now)));
        }
        schedule.onPollResult(ms(now), false);
        assertNull(schedule.nextPollAt());
        assertFalse(schedule.startPollIfDue(ms(now + 60_000)));
    }

    @Test
    void routersThatFailedTogetherPollAgainAtDifferentTimes() {
        PollSchedule other = new PollSchedule(true, ms(10_000), new Random(2));
        schedule.onPollResult(ms(0), true);
        other.onPollResult(ms(0), true);
        assertNotEquals(schedule.nextPollAt(), other.nextPollAt());
    }

    @Test
    void unansweredPollIsRepeatedAndNoPollIsDueIfNoneIsRequired() {
        assertTrue(schedule.startPollIfDue(ms(0)));
        assertFalse(schedule.startPollIfDue(ms(2_200)));
        assertTrue(schedule.startPollIfDue(ms(2_300)));
        PollSchedule unneeded = new PollSchedule(false, null, new Random(1));
        assertFalse(unneeded.startPollIfDue(Duration.ofHours(1)));
        unneeded.onPollResult(ms(0), true);
        assertNull(unneeded.nextPollAt());
    }

    /** Poll intervals that settings may state, from none to unreasonable ones. */
    private static final Duration[] POLL_INTERVALS = {
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

    /** Random sources: the smallest value, the largest and arbitrary ones. */
    private static final Random[] RANDOMS = {
        constantRandom(0), constantRandom(Math.nextDown(1.0)), new Random(3)
    };

    /**
     * Longest poll cycle: a change counts as known 6 s after discovery had it and could be reached,
     * of which 0.5 s are left for a router that is scheduled late.
     */
    private static final long MAX_CYCLE_MILLIS = 5_500;

    private static Random constantRandom(double value) {
        return new Random() {
            @Override
            public double nextDouble() {
                return value;
            }
        };
    }

    /** Most that a response may be late, and be read late. */
    private static final long MAX_LATENESS_MILLIS = 2_100;

    /**
     * Returns the longest time for which a poll that began before discovery was back may occupy the
     * place of one that waits for a late response, plus the longest pause and a late response.
     */
    private static long worstCycleMillis(PollTimings timings) {
        long firstLateness =
                timings.latenessLimits().stream().findFirst().orElse(Duration.ZERO).toMillis();
        boolean waitsForLateFetch =
                timings.firstByteTimeout().toMillis() >= MAX_LATENESS_MILLIS - 100;
        long pendingLongPoll =
                timings.longPollWait().toMillis()
                        + (waitsForLateFetch ? timings.longPollGrace().toMillis() : firstLateness);
        long pendingPoll = Math.max(pendingLongPoll, timings.responseTimeout().toMillis());
        long fetch = waitsForLateFetch ? timings.responseTimeout().toMillis() : MAX_LATENESS_MILLIS;
        return pendingPoll + timings.maxBackoff().toMillis() + fetch;
    }

    /**
     * Returns the longest time until a poll is overdue that began before discovery was back, plus
     * the longest pause and a fetch that is not late, plus one more pause and fetch for each poll
     * that fails afterwards.
     */
    private static long cycleOfPromptServerMillis(PollTimings timings, int failuresAfterRecovery) {
        long overdue =
                Math.max(
                        timings.longPollWait().plus(timings.longPollGrace()).toMillis(),
                        timings.responseTimeout().toMillis());
        return overdue
                + (1 + failuresAfterRecovery)
                        * (timings.maxBackoff().toMillis() + timings.responseTimeout().toMillis());
    }

    /** All routers paused for the same 1.2 s after rejected lists, and then polled in step. */
    @Test
    void pausesAfterRejectedListsAreJitteredAtADiscoveryServer() {
        Random random = new Random(1);
        PollTimings timings = PollTimings.discoveryServer(Duration.ofSeconds(10), random);
        Set<Duration> pauses = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            pauses.add(timings.pauseAfterFailure(20, 20));
        }
        assertTrue(pauses.size() > 50, pauses.toString());
        assertTrue(Collections.max(pauses).compareTo(timings.maxBackoff()) <= 0);
        assertEquals(ms(1_200), PollTimings.LOCAL_AGENT.pauseAfterFailure(20, 20));
    }

    @Test
    void pollCycleIsWithinThePropagationDelayForAllTimings() {
        int checkedTimings = 0;
        for (Random random : RANDOMS) {
            for (Duration pollInterval : POLL_INTERVALS) {
                PollTimings serverTimings = PollTimings.discoveryServer(pollInterval, random);
                assertTrue(
                        worstCycleMillis(serverTimings) <= MAX_CYCLE_MILLIS,
                        pollInterval + ": " + worstCycleMillis(serverTimings));
                for (int failures = 1; failures <= 200; failures++) {
                    long pause = serverTimings.backoff().apply(failures).toMillis();
                    assertTrue(
                            pause >= 100,
                            pollInterval + ": pause too short to spread routers: " + pause);
                    assertTrue(
                            pause <= serverTimings.maxBackoff().toMillis(),
                            pollInterval + ": pause of " + pause + " ms");
                }
                assertTrue(
                        serverTimings.firstByteTimeout().compareTo(serverTimings.responseTimeout())
                                <= 0);
                // The first pause is at most 750 ms, whatever the settings say: the polls of a
                // hundred routers are spread, and polls resume soon after an outage of 1 s.
                assertTrue(serverTimings.backoff().apply(1).compareTo(ms(750)) <= 0);
                checkedTimings++;
            }
        }
        assertTrue(
                worstCycleMillis(PollTimings.LOCAL_AGENT) <= MAX_CYCLE_MILLIS,
                "local agent: " + worstCycleMillis(PollTimings.LOCAL_AGENT));
        assertTrue(
                cycleOfPromptServerMillis(PollTimings.LOCAL_AGENT, 1) <= MAX_CYCLE_MILLIS,
                "local agent: " + cycleOfPromptServerMillis(PollTimings.LOCAL_AGENT, 1));
        for (int failures = 0; failures <= 200; failures++) {
            assertEquals(
                    PollTimings.LOCAL_AGENT.maxBackoff(),
                    PollTimings.LOCAL_AGENT.backoff().apply(failures));
        }
        assertTrue(
                PollTimings.LOCAL_AGENT
                                .firstByteTimeout()
                                .compareTo(PollTimings.LOCAL_AGENT.responseTimeout())
                        <= 0);
        assertEquals(45, checkedTimings);
    }

    /**
     * A router detects that the agent is back within a grace period of 500 ms, however long the
     * outage was, since a poll is followed by another after at most 400 ms.
     */
    @Test
    void returnOfAgentIsDetectedWithinShortestGracePeriod() {
        for (int failures = 0; failures <= 200; failures++) {
            long pollAndPause =
                    PollTimings.LOCAL_AGENT
                            .firstByteTimeout()
                            .plus(PollTimings.LOCAL_AGENT.backoff().apply(failures))
                            .toMillis();
            assertTrue(pollAndPause <= 400, pollAndPause + " ms after " + failures + " failures");
        }
    }

    /**
     * Longest poll cycle in the simulator: a poll without a response, a pause, and a poll that
     * takes 2 s.
     */
    @Test
    void scheduleStaysWithinMaxPollCycleForAllSettings() {
        for (Random random : RANDOMS) {
            for (Duration pollInterval : POLL_INTERVALS) {
                PollSchedule simulatedSchedule = new PollSchedule(true, pollInterval, random);
                Duration now = Duration.ZERO;
                for (int failures = 1; failures <= 200; failures++) {
                    assertTrue(simulatedSchedule.startPollIfDue(now));
                    Duration unanswered = simulatedSchedule.nextPollAt().minus(now);
                    now = simulatedSchedule.nextPollAt();
                    simulatedSchedule.onPollResult(now, true);
                    Duration pause = simulatedSchedule.nextPollAt().minus(now);
                    long cycleMillis = unanswered.plus(pause).toMillis() + 2_000;
                    assertTrue(
                            cycleMillis <= MAX_CYCLE_MILLIS,
                            pollInterval + ": " + cycleMillis + " after " + failures);
                    assertTrue(
                            pause.toMillis() >= 100,
                            pollInterval + ": pause too short to spread routers: " + pause);
                    assertTrue(unanswered.toMillis() > 2_000, "discovery may take 2 s to respond");
                    now = simulatedSchedule.nextPollAt();
                }
            }
        }
    }
}
