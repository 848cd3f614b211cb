package postbeam.endpoints;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Decides when polls of a watched document start and how long each may stay pending. A poll whose
 * response is overdue is not abandoned at once: it stays pending while further polls are sent
 * beside it, so that a slow server is still heard and the return of a silent one is noticed soon.
 * The first usable response ends all other polls, so no older response can follow it.
 *
 * <p>Overdue polls move through one stage for each of {@link PollTimings#latenessLimits}. A stage
 * holds one poll, which bounds the number of connections; a poll that finds the next stage occupied
 * is abandoned. Uses no I/O, clock or thread: times are durations since any fixed start.
 */
public final class PendingPolls {
    /** Stage of a poll whose response is not overdue. */
    private static final int PROMPT = 0;

    /** A poll that waits for its response. */
    public static final class Poll {
        private final PollPlan.Request request;
        private final long version;
        private final Duration startedAt;
        private int stage = PROMPT;
        private Duration deadline;

        /** When the response became overdue; null if it is not. */
        private Duration overdueAt;

        private Poll(PollPlan.Request request, long version, Duration startedAt) {
            this.request = request;
            this.version = version;
            this.startedAt = startedAt;
        }

        /** What the poll requests. */
        public PollPlan.Request request() {
            return request;
        }

        /** The version that the request names; {@link PollPlan#NO_VERSION} if it names none. */
        public long version() {
            return version;
        }

        /** When the poll started. */
        public Duration startedAt() {
            return startedAt;
        }
    }

    /**
     * Result of {@link #expire}.
     *
     * @param overdue polls whose response has become overdue, whether or not they stay pending
     * @param abandoned polls that are no longer pending
     */
    public record Expired(List<Poll> overdue, List<Poll> abandoned) {}

    private final PollTimings timings;
    private final PollPlan plan;

    /** The oldest first. At most the last one is not overdue. */
    private final List<Poll> polls = new ArrayList<>();

    /** Earliest time for the next poll. */
    private Duration nextPollAt = Duration.ZERO;

    /** When the first response became overdue since the last one arrived; null if none is. */
    private Duration overdueSince;

    /** When a poll last ended or became overdue, or the first one started; null before that. */
    private Duration lastEndAt;

    /** Creates a schedule whose first poll is due at once. */
    public PendingPolls(PollTimings timings, PollPlan plan) {
        this.timings = timings;
        this.plan = plan;
    }

    /** Starts the next poll if one is due: no poll is pending, or all of them are overdue. */
    public Optional<Poll> startIfDue(Duration now) {
        if (isPromptPollPending() || now.compareTo(nextPollAt) < 0) {
            return Optional.empty();
        }
        Poll poll = new Poll(plan.next(), plan.version(), now);
        poll.deadline = now.plus(timings.firstByteTimeout());
        polls.add(poll);
        if (lastEndAt == null) {
            lastEndAt = now;
        }
        return Optional.of(poll);
    }

    /** Returns when {@link #startIfDue} or {@link #expire} has something to do next. */
    public Duration nextEventAt() {
        Stream<Duration> deadlines = polls.stream().map(poll -> poll.deadline);
        Stream<Duration> start = isPromptPollPending() ? Stream.empty() : Stream.of(nextPollAt);
        return Stream.concat(deadlines, start).min(Duration::compareTo).orElseThrow();
    }

    private boolean isPromptPollPending() {
        return polls.stream().anyMatch(poll -> poll.stage == PROMPT);
    }

    /** Returns how long the response of a poll has been overdue; zero if it is not. */
    public Duration lateness(Poll poll, Duration now) {
        return poll.overdueAt == null ? Duration.ZERO : now.minus(poll.overdueAt);
    }

    /**
     * Returns for how long a response has been overdue and none has arrived; zero if none is
     * overdue.
     */
    public Duration silence(Duration now) {
        return overdueSince == null ? Duration.ZERO : now.minus(overdueSince);
    }

    /** Records that the poll's connection is established and its request was sent. */
    public void onRequestSent(Poll poll, Duration now) {
        limitPromptPoll(poll, now.plus(timings.firstByteTimeout(poll.request)));
    }

    /** Records that the first byte of the poll's response arrived. */
    public void onFirstByte(Poll poll, Duration now) {
        limitPromptPoll(poll, now.plus(timings.responseTimeout()));
    }

    /** Sets the deadline of a poll that is not overdue; its whole time is limited, too. */
    private void limitPromptPoll(Poll poll, Duration deadline) {
        if (poll.stage != PROMPT) {
            return;
        }
        Duration limit = poll.startedAt.plus(timings.promptTimeout(poll.request));
        poll.deadline = deadline.compareTo(limit) < 0 ? deadline : limit;
    }

    /**
     * Records a usable response.
     *
     * @param newVersion version that the response states
     * @param handlingTime how long it took to decode and apply the response
     * @return the polls that this response ends
     */
    public List<Poll> onResponse(Poll poll, long newVersion, Duration handlingTime, Duration now) {
        boolean early =
                now.minus(poll.startedAt).compareTo(timings.longPollWait().dividedBy(2)) < 0;
        boolean unchanged = newVersion == poll.version;
        plan.onUpdate(poll.request, newVersion);
        overdueSince = null;
        lastEndAt = now;
        Duration pause = timings.pauseAfterResponse(handlingTime);
        if (poll.request == PollPlan.Request.LONG_POLL && unchanged && early) {
            // A server that responds at once without changes is not polled in a loop.
            Duration minimum = timings.pauseAfterFailure(1, 0);
            pause = pause.compareTo(minimum) > 0 ? pause : minimum;
        }
        nextPollAt = now.plus(pause);
        polls.remove(poll);
        return removeAll();
    }

    /**
     * Records that a poll failed.
     *
     * @return the polls that this failure ends: all if the version that they name is void
     */
    public List<Poll> onFailure(Poll poll, PollPlan.Failure failure, Duration now) {
        polls.remove(poll);
        lastEndAt = now;
        boolean countedAsOverdue = poll.stage != PROMPT;
        if (failure == PollPlan.Failure.NO_RESPONSE && countedAsOverdue) {
            return List.of();
        }
        recordFailure(failure, now);
        return failure == PollPlan.Failure.NO_RESPONSE ? List.of() : removeAll();
    }

    /**
     * Ends all polls if the process was suspended, and makes a poll due that is answered at once:
     * the pending responses may have arrived long ago, and what they state may be out of date.
     *
     * @return the polls that are no longer pending
     */
    public List<Poll> abandonIfSuspended(Duration now) {
        boolean running =
                lastEndAt == null
                        || now.minus(lastEndAt).compareTo(timings.suspensionThreshold()) < 0;
        if (running) {
            return List.of();
        }
        plan.onFailure(PollPlan.Failure.NO_RESPONSE);
        lastEndAt = now;
        overdueSince = null;
        nextPollAt = now;
        return removeAll();
    }

    /** Moves polls whose time has passed to the next stage, or abandons them. */
    public Expired expire(Duration now) {
        List<Poll> overdue = new ArrayList<>();
        List<Poll> abandoned = new ArrayList<>();
        // The oldest first: it makes room in its stage.
        for (Poll poll : List.copyOf(polls)) {
            while (polls.contains(poll) && now.compareTo(poll.deadline) >= 0) {
                if (poll.stage == PROMPT) {
                    overdue.add(poll);
                    recordOverdue(poll, now);
                }
                if (!moveToNextStage(poll)) {
                    polls.remove(poll);
                    abandoned.add(poll);
                }
            }
        }
        return new Expired(overdue, abandoned);
    }

    private void recordOverdue(Poll poll, Duration now) {
        poll.overdueAt = now;
        lastEndAt = now;
        if (overdueSince == null) {
            overdueSince = now;
        }
        recordFailure(PollPlan.Failure.NO_RESPONSE, now);
    }

    private boolean moveToNextStage(Poll poll) {
        int nextStage = poll.stage + 1;
        boolean exists = nextStage <= timings.latenessLimits().size();
        if (!exists || polls.stream().anyMatch(other -> other.stage == nextStage)) {
            return false;
        }
        poll.stage = nextStage;
        Duration lateness = timings.latenessLimits().get(nextStage - 1);
        poll.deadline = poll.startedAt.plus(timings.wait(poll.request)).plus(lateness);
        return true;
    }

    private void recordFailure(PollPlan.Failure failure, Duration now) {
        plan.onFailure(failure);
        nextPollAt =
                now.plus(timings.pauseAfterFailure(plan.consecutiveFailures(), plan.rejections()));
    }

    private List<Poll> removeAll() {
        List<Poll> removed = List.copyOf(polls);
        polls.clear();
        return removed;
    }
}
