package postbeam.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import postbeam.endpoints.PendingPolls.Poll;

/** Runs the polls against a discovery that is slow and silent by turns, on a simulated clock. */
@Timeout(60)
class PendingPollsTest {
    private static final int SEEDS = 2_000;

    /** Time limit for a change: 6 s, less 500 ms for a router that is scheduled late. */
    private static final long UPDATE_MILLIS = 5_500;

    private static final long MAX_LATENESS_MILLIS = 2_000;
    private static final long RUN_MILLIS = 60_000;

    private enum Server {
        AGENT,
        DISCOVERY_SERVER;

        PollTimings timings(long seed) {
            return this == AGENT
                    ? PollTimings.LOCAL_AGENT
                    : PollTimings.discoveryServer(Duration.ofSeconds(10), new Random(seed));
        }

        /** Overdue polls and one that is not. */
        int maxConnections() {
            return this == AGENT ? 3 : 2;
        }
    }

    /** A period in which requests are received and never answered. */
    private record Silence(long from, long until) {
        boolean contains(long time) {
            return from <= time && time < until;
        }
    }

    /** A discovery with one change, and the polls that are pending there. */
    private static final class Simulation {
        private final PollTimings timings;
        private final PendingPolls polls;
        private final Map<Poll, Long> answerAt = new HashMap<>();
        private final Map<Poll, Long> versions = new HashMap<>();
        private final List<Long> startedAt = new ArrayList<>();
        private final Random random;
        private final Random handling;
        private final Silence silence;
        private final long changeAt;
        private final long maxLateness;
        private long now;
        private long held;
        private int maxConnections;

        Simulation(PollTimings timings, long seed, Silence silence, long change, long lateness) {
            this.timings = timings;
            polls = new PendingPolls(timings, new PollPlan(true));
            random = new Random(seed);
            handling = new Random(seed);
            this.silence = silence;
            changeAt = change;
            maxLateness = lateness;
        }

        /** Returns when the change was known, in milliseconds. */
        long run() {
            for (now = 0; now < RUN_MILLIS && held < 2; now++) {
                assertEquals(List.of(), polls.abandonIfSuspended(time()));
                start();
                answer();
                polls.expire(time()).abandoned().forEach(answerAt::remove);
            }
            return now;
        }

        private Duration time() {
            return Duration.ofMillis(now);
        }

        private void start() {
            Optional<Poll> started = polls.startIfDue(time());
            if (started.isEmpty()) {
                return;
            }
            Poll poll = started.get();
            startedAt.add(now);
            polls.onRequestSent(poll, time());
            answerAt.put(poll, answerTime(poll));
            maxConnections = Math.max(maxConnections, answerAt.size());
        }

        private long answerTime(Poll poll) {
            if (silence.contains(now)) {
                return Long.MAX_VALUE;
            }
            long due = now;
            if (poll.request() == PollPlan.Request.LONG_POLL && poll.version() == versionAt(now)) {
                long waitEnd = now + timings.longPollWait().toMillis();
                due = changeAt > now ? Math.min(waitEnd, changeAt) : waitEnd;
            }
            boolean lost = silence.from() < due && now < silence.until();
            versions.put(poll, versionAt(due));
            return lost ? Long.MAX_VALUE : due + lateness();
        }

        /** Any time up to that of a list of thousands of nodes on a slow machine. */
        private Duration handlingTime() {
            return Duration.ofMillis(handling.nextLong(100));
        }

        private long versionAt(long time) {
            return time >= changeAt ? 2 : 1;
        }

        private long lateness() {
            return maxLateness == 0 ? 0 : random.nextLong(maxLateness + 1);
        }

        private void answer() {
            for (Poll poll : List.copyOf(answerAt.keySet())) {
                Long due = answerAt.get(poll);
                if (due != null && due <= now) {
                    polls.onFirstByte(poll, time());
                    answerAt.remove(poll);
                    held = Math.max(held, versions.get(poll));
                    polls.onResponse(poll, versions.get(poll), handlingTime(), time())
                            .forEach(answerAt::remove);
                }
            }
        }
    }

    /** Polls were abandoned before their responses arrived, each with the same time limit. */
    @ParameterizedTest
    @EnumSource
    void changeIsKnownInTimeWhateverIsLateOrSilent(Server server) {
        for (long seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            long from = 3_000L + random.nextInt(5_000);
            Silence silence = new Silence(from, from + random.nextInt(8_000));
            long change = 3_000L + random.nextInt(15_000);
            long lateness = random.nextLong(MAX_LATENESS_MILLIS + 1);
            Simulation simulation =
                    new Simulation(server.timings(seed), seed, silence, change, lateness);
            // Nobody can learn of a change from a discovery that is silent until the time limit.
            boolean interrupted =
                    change < silence.until() && silence.from() < change + UPDATE_MILLIS;
            long since = interrupted ? silence.until() : change;
            long elapsed = simulation.run() - since;
            assertTrue(elapsed <= UPDATE_MILLIS, "seed " + seed + ": " + elapsed + " ms");
            assertTrue(simulation.maxConnections <= server.maxConnections(), "seed " + seed);
        }
    }

    /** The connections of polls that were sent in the silence never answer. */
    @Test
    void returnOfASilentAgentIsNoticedWithin350Millis() {
        for (long outage = 1_600; outage <= 20_000; outage += 10) {
            Silence silence = new Silence(5_000, 5_000 + outage);
            Simulation simulation = new Simulation(PollTimings.LOCAL_AGENT, 1, silence, 5_001, 0);
            long elapsed = simulation.run() - silence.until();
            assertTrue(elapsed <= 351, "outage of " + outage + ": noticed after " + elapsed);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, MAX_LATENESS_MILLIS})
    void requestsOfALongOutageAreBounded(long lateness) {
        Silence silence = new Silence(2_000, RUN_MILLIS);
        Simulation simulation =
                new Simulation(PollTimings.LOCAL_AGENT, 1, silence, 3_000, lateness);
        simulation.run();
        assertTrue(simulation.startedAt.size() <= RUN_MILLIS / 350 + 5);
        assertEquals(3, simulation.maxConnections);
    }

    /** An older response that followed a newer one would bring back removed nodes. */
    @Test
    void firstResponseEndsAllOlderAndNewerPolls() {
        PollPlan plan = new PollPlan(true);
        PendingPolls polls = new PendingPolls(PollTimings.LOCAL_AGENT, plan);
        Poll oldest = polls.startIfDue(Duration.ZERO).orElseThrow();
        assertEquals(List.of(oldest), polls.expire(Duration.ofMillis(250)).overdue());
        Poll newer = polls.startIfDue(Duration.ofMillis(350)).orElseThrow();
        assertEquals(
                List.of(oldest), polls.onResponse(newer, 7, Duration.ZERO, Duration.ofMillis(360)));
        Poll next = polls.startIfDue(Duration.ofMillis(360)).orElseThrow();
        assertEquals(PollPlan.Request.LONG_POLL, next.request());
        assertEquals(7, next.version());
    }

    @ParameterizedTest
    @EnumSource(names = {"CONNECTION_REFUSED", "REJECTED"})
    void failureThatVoidsTheVersionEndsThePollsThatNameIt(PollPlan.Failure failure) {
        PendingPolls polls = new PendingPolls(PollTimings.LOCAL_AGENT, new PollPlan(true));
        Poll oldest = polls.startIfDue(Duration.ZERO).orElseThrow();
        polls.expire(Duration.ofMillis(250));
        Poll newer = polls.startIfDue(Duration.ofMillis(350)).orElseThrow();
        assertEquals(List.of(oldest), polls.onFailure(newer, failure, Duration.ofMillis(360)));
        assertEquals(Duration.ofMillis(460), polls.nextEventAt());
    }

    /** A slow connect followed by silence took twice the limit, and the next poll came too late. */
    @ParameterizedTest
    @EnumSource
    void timeToConnectCountsTowardsTheLimitOfTheResponse(Server server) {
        PollTimings timings = server.timings(1);
        PendingPolls polls = new PendingPolls(timings, new PollPlan(true));
        Poll poll = polls.startIfDue(Duration.ZERO).orElseThrow();
        Duration connected = timings.firstByteTimeout().minusMillis(1);
        polls.onRequestSent(poll, connected);
        assertEquals(List.of(poll), polls.expire(timings.responseTimeout()).overdue());
    }

    /**
     * A response that arrived during a suspension was taken for a recent one, and queries were
     * routed by the list of that time.
     */
    @ParameterizedTest
    @EnumSource
    void pendingPollsEndIfTheProcessWasSuspended(Server server) {
        PollTimings timings = server.timings(1);
        PendingPolls polls = new PendingPolls(timings, new PollPlan(true));
        Poll first = polls.startIfDue(Duration.ZERO).orElseThrow();
        polls.onResponse(first, 7, Duration.ZERO, Duration.ofMillis(1));
        Poll pending = polls.startIfDue(Duration.ofMillis(2)).orElseThrow();
        Duration resumed = Duration.ofMillis(1).plus(timings.suspensionThreshold());
        assertEquals(List.of(), polls.abandonIfSuspended(resumed.minusMillis(1)));
        assertEquals(List.of(pending), polls.abandonIfSuspended(resumed));
        Poll next = polls.startIfDue(resumed).orElseThrow();
        assertEquals(PollPlan.Request.CATCH_UP, next.request());
        assertEquals(List.of(), polls.abandonIfSuspended(resumed.plusMillis(1)));
    }

    /** An agent that answered each watch with a list of thousands of nodes used up a core. */
    @Test
    void pollAfterCostlyResponseIsDelayed() {
        PendingPolls polls = new PendingPolls(PollTimings.LOCAL_AGENT, new PollPlan(true));
        Poll cheap = polls.startIfDue(Duration.ZERO).orElseThrow();
        polls.onResponse(cheap, 1, Duration.ZERO, Duration.ofMillis(10));
        Poll costly = polls.startIfDue(Duration.ofMillis(10)).orElseThrow();
        polls.onResponse(costly, 2, Duration.ofMillis(13), Duration.ofMillis(40));
        assertEquals(Duration.ofMillis(40 + 9 * 13), polls.nextEventAt());
        Poll mostCostly = polls.startIfDue(Duration.ofMillis(157)).orElseThrow();
        polls.onResponse(mostCostly, 3, Duration.ofMillis(50), Duration.ofMillis(210));
        assertEquals(Duration.ofMillis(410), polls.nextEventAt());
    }

    /** The layout's lease counts from its request, so its polls are not sent side by side. */
    @Test
    void overduePollIsAbandonedWhereNoStageIsLeft() {
        PendingPolls polls = new PendingPolls(PollTimings.RELAXED, new PollPlan(false));
        Poll poll = polls.startIfDue(Duration.ZERO).orElseThrow();
        assertEquals(List.of(poll), polls.expire(Duration.ofSeconds(2)).abandoned());
    }
}
