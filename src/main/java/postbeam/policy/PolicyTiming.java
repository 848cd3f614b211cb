package postbeam.policy;

import java.time.Duration;

/** Durations that several modules share. */
final class PolicyTiming {
    /** Interval between reviews of open queries; short relative to latency objectives. */
    static final Duration REVIEW_INTERVAL = Duration.ofMillis(20);

    /**
     * Time before a client's deadline at which its query is ended: two reviews and one in reserve.
     */
    static final Duration FINAL_ANSWER_MARGIN = REVIEW_INTERVAL.multipliedBy(3);

    private PolicyTiming() {}
}
