package postbeam.policy;

import java.time.Duration;

/** Durations that several modules share. */
final class PolicyTiming {
    /** Interval between reviews of the open queries; short compared with latency objectives. */
    static final Duration REVIEW_INTERVAL = Duration.ofMillis(20);

    /**
     * Time before the deadline of its client at which a query is ended: three review intervals, of
     * which one is a safety margin.
     */
    static final Duration FINAL_ANSWER_MARGIN = REVIEW_INTERVAL.multipliedBy(3);

    private PolicyTiming() {}
}
