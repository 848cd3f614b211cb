package postbeam.policy;

import static postbeam.model.Durations.scale;

import java.time.Duration;
import postbeam.model.Cluster;
import postbeam.model.QueryClass;

/**
 * Limit on the attempts that this router may have in flight (called threads in the SEDPT-R paper).
 * The window is halved when a node is overloaded, narrowed by late answers, and widened by answers
 * while it is in use.
 */
final class ConcurrencyWindow {
    /** Initial size, in attempts. */
    private static final int INITIAL_SIZE = 32;

    /** Minimum size, in attempts. */
    private static final int MIN_SIZE = 4;

    /** Minimum size summed over all routers, in attempts per node. */
    private static final double MIN_ATTEMPTS_PER_NODE = 2.5;

    /** Fraction of the latency objective above which an answer is late. */
    private static final double LATE_ANSWER_SHARE = 0.25;

    /** Decrease of the size per late answer, in attempts. */
    private static final int LATE_ANSWER_DECREASE = 2;

    /** Multiple of the typical latency that must be late itself for a late answer to count. */
    private static final double LATE_TYPICAL_LATENCY_FACTOR = 2;

    /** Fraction of the window above which it counts as in use. */
    private static final double IN_USE_SHARE = 0.6;

    private final Cluster cluster;
    private final LatencyEstimator latencies;
    private final int routerCount;
    private double size = INITIAL_SIZE;
    private Duration halvedAt;
    private int inFlight;

    ConcurrencyWindow(Cluster cluster, LatencyEstimator latencies, int routerCount) {
        this.cluster = cluster;
        this.latencies = latencies;
        this.routerCount = routerCount;
    }

    /** Maximum number of attempts in flight. */
    double size() {
        return size;
    }

    /** Number of attempts in flight. */
    int inFlight() {
        return inFlight;
    }

    /** Whether it is narrower than initially, so that additional work increases queueing. */
    boolean isNarrow() {
        return size < INITIAL_SIZE;
    }

    /** Whether one more attempt fits, not counting this number of lost ones. */
    boolean hasCapacity(int lostRequests) {
        return inFlight - lostRequests < size;
    }

    /** Whether one more attempt fits and leaves capacity for others. */
    boolean hasSpareCapacity(int lostRequests) {
        return inFlight - lostRequests < size * IN_USE_SHARE;
    }

    void onAttemptSent() {
        inFlight++;
    }

    void onAttemptEnded() {
        inFlight--;
    }

    /**
     * A node that is not ejected rejected an attempt as overloaded. Attempts sent before the last
     * halving are ignored, so that one batch of rejections halves the window once.
     */
    void onOverloaded(Duration now, Duration sentAt) {
        if (halvedAt == null || sentAt.compareTo(halvedAt) > 0) {
            halvedAt = now;
            size = Math.max(minimumSize(), size / 2);
        }
    }

    /**
     * An answer arrived; its attempt is no longer in flight. Late answers narrow the window only if
     * the typical node is slow too: then all nodes are slow without rejecting anything.
     */
    void onAnswer(Duration now, QueryClass queryClass, Duration latency) {
        Duration limit = scale(queryClass.latencyObjective, LATE_ANSWER_SHARE);
        boolean late =
                latency.compareTo(limit) > 0
                        && latencies
                                        .typicalLatency(now, queryClass, LATE_TYPICAL_LATENCY_FACTOR)
                                        .compareTo(limit)
                                > 0;
        double newSize = size;
        if (late) {
            newSize = size - LATE_ANSWER_DECREASE;
        } else if (inFlight + 1 >= size * IN_USE_SHARE) {
            newSize = size + 1;
        }
        size = Math.max(minimumSize(), newSize);
    }

    /**
     * This router's share of a few attempts per node: less would leave nodes idle while queries
     * wait.
     */
    private double minimumSize() {
        return Math.max(MIN_SIZE, MIN_ATTEMPTS_PER_NODE * cluster.size() / routerCount);
    }
}
