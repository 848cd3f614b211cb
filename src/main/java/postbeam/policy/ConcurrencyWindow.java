package postbeam.policy;

import static postbeam.model.Durations.scale;

import java.time.Duration;
import postbeam.model.Cluster;
import postbeam.model.QueryClass;

/**
 * Limits the number of attempts that this router may have in flight (called threads in the SEDPT-R
 * paper). The window is halved when a node is overloaded, narrowed by late answers, and widened by
 * answers while it is in use.
 */
final class ConcurrencyWindow {
    /** Initial size of the window, in attempts. */
    private static final int INITIAL_SIZE = 32;

    /** Minimum size of the window, in attempts. */
    private static final int MIN_SIZE = 4;

    /** Minimum of the windows of all routers together, in attempts per data node. */
    private static final double MIN_ATTEMPTS_PER_NODE = 2.5;

    /** Fraction of the latency objective above which an answer counts as late. */
    private static final double LATE_ANSWER_SHARE = 0.25;

    /** Number of attempts by which a late answer narrows the window. */
    private static final int LATE_ANSWER_DECREASE = 2;

    /**
     * A late answer narrows the window only if this multiple of the typical latency also exceeds
     * the latency above which answers count as late.
     */
    private static final double LATE_TYPICAL_LATENCY_FACTOR = 2;

    /** Fraction of the window in flight above which the window counts as in use. */
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

    /** Returns the maximum number of attempts in flight. */
    double size() {
        return size;
    }

    /** Returns the number of attempts in flight. */
    int inFlight() {
        return inFlight;
    }

    /**
     * Returns whether the window is narrower than initially, so that more attempts would only
     * lengthen the queues of data nodes.
     */
    boolean isNarrow() {
        return size < INITIAL_SIZE;
    }

    /**
     * Returns whether one more attempt fits into the window if {@code lostRequests} of the attempts
     * in flight do not count.
     */
    boolean hasCapacity(int lostRequests) {
        return inFlight - lostRequests < size;
    }

    /** Like {@link #hasCapacity}, but keeps part of the window free for other queries. */
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
     * Called when a node that is not ejected has rejected an attempt as overloaded. Rejections of
     * attempts that were sent before the last halving are ignored, so that several rejections of
     * attempts sent at about the same time halve the window only once.
     */
    void onOverloaded(Duration now, Duration sentAt) {
        if (halvedAt == null || sentAt.compareTo(halvedAt) > 0) {
            halvedAt = now;
            size = Math.max(minimumSize(), size / 2);
        }
    }

    /**
     * Called when an answer has arrived and its attempt has been removed from those in flight. A
     * late answer narrows the window only if the typical node is slow too, as all nodes may be
     * overloaded without rejecting anything.
     */
    void onAnswer(Duration now, QueryClass queryClass, Duration latency) {
        Duration limit = scale(queryClass.latencyObjective, LATE_ANSWER_SHARE);
        boolean late =
                latency.compareTo(limit) > 0
                        && latencies
                                        .typicalLatency(
                                                now, queryClass, LATE_TYPICAL_LATENCY_FACTOR)
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
     * Returns the minimum size of this router's window, in attempts: its share of the minimum for
     * all routers together, but at least {@link #MIN_SIZE}. A smaller window would leave nodes idle
     * while queries wait.
     */
    private double minimumSize() {
        return Math.max(MIN_SIZE, MIN_ATTEMPTS_PER_NODE * cluster.size() / routerCount);
    }
}
