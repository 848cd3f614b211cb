package postbeam.policy;

import static postbeam.model.Durations.scale;

import java.time.Duration;
import postbeam.model.Cluster;
import postbeam.model.QueryClass;

/**
 * How many shard requests this router may have in flight: the paper's threads. The window is halved
 * when a node is overloaded, narrowed by late answers, and widened by answers while it is in use.
 */
final class ConcurrencyWindow {
    /** Attempts in flight: at the start, and the least it falls to. */
    private static final int INITIAL = 32;

    private static final int MIN = 4;

    /**
     * Attempts that all routers together may have in flight at each node with windows at the least.
     */
    private static final double MIN_PER_NODE = 2.5;

    /**
     * Share of the latency objective from which an answer is late, and by what it narrows the
     * window.
     */
    private static final double LATE_SHARE = 0.25;

    private static final int LATE_DECREASE = 2;

    /** Times the usual latency that is late itself, where late answers narrow the window. */
    private static final double LATE_USUAL_FACTOR = 2;

    /** Share of the window from which it is in use. */
    private static final double IN_USE_SHARE = 0.6;

    private final Cluster cluster;
    private final LatencyEstimator latencies;
    private final int routerCount;
    private double size = INITIAL;
    private Duration halvedAt;
    private int inFlight;

    ConcurrencyWindow(Cluster cluster, LatencyEstimator latencies, int routerCount) {
        this.cluster = cluster;
        this.latencies = latencies;
        this.routerCount = routerCount;
    }

    /** Attempts that may be in flight. */
    double size() {
        return size;
    }

    /** Attempts that are in flight. */
    int inFlight() {
        return inFlight;
    }

    /** Whether it is narrower than at the start, so that further work lengthens the wait. */
    boolean isNarrow() {
        return size < INITIAL;
    }

    /** Whether one more attempt fits in, where so many in flight are lost and count no more. */
    boolean hasRoom(int lost) {
        return inFlight - lost < size;
    }

    /** Whether one more attempt fits in and leaves room for others. */
    boolean hasAmpleRoom(int lost) {
        return inFlight - lost < size * IN_USE_SHARE;
    }

    void onAttemptSent() {
        inFlight++;
    }

    void onAttemptEnded() {
        inFlight--;
    }

    /**
     * A node rejected an attempt, sent then, as overloaded. What was sent before the last halving
     * tells nothing new: else a few overloaded nodes would close the window.
     */
    void onOverloaded(Duration now, Duration sentAt) {
        if (halvedAt == null || sentAt.compareTo(halvedAt) > 0) {
            halvedAt = now;
            size = Math.max(min(), size / 2);
        }
    }

    /**
     * An answer came, whose attempt is no more in flight. Guards against a wide window while every
     * node is slow, which no rejection tells: late answers narrow it where the usual node is slow
     * too.
     */
    void onAnswer(Duration now, QueryClass queryClass, Duration latency) {
        Duration limit = scale(queryClass.latencyObjective, LATE_SHARE);
        boolean late =
                latency.compareTo(limit) > 0
                        && latencies
                                        .usualLatency(now, queryClass, LATE_USUAL_FACTOR)
                                        .compareTo(limit)
                                > 0;
        double next = size;
        if (late) {
            next = size - LATE_DECREASE;
        } else if (inFlight + 1 >= size * IN_USE_SHARE) {
            next = size + 1;
        }
        size = Math.max(min(), next);
    }

    /**
     * This router's share of a few attempts a node: less would leave nodes idle while queries wait.
     */
    private double min() {
        return Math.max(MIN, MIN_PER_NODE * cluster.size() / routerCount);
    }
}
