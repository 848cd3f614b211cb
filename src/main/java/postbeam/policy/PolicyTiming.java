package postbeam.policy;

import java.time.Duration;

/** Times that several modules of the policy share. */
final class PolicyTiming {
    /** Time between reviews of open queries: short beside latency objectives. */
    static final Duration REVIEW_INTERVAL = Duration.ofMillis(20);

    /**
     * Time before a client's deadline at which it gets its final answer: two reviews and one to
     * spare.
     */
    static final Duration FINAL_ANSWER_MARGIN = REVIEW_INTERVAL.multipliedBy(3);

    private PolicyTiming() {}
}
