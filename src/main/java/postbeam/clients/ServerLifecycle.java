package postbeam.clients;

import java.time.Duration;

/**
 * How far the shutdown of a {@link QueryServer} has come: serving, draining, closing. Set by the
 * thread that shuts down, read on the I/O thread; each step is taken once and never undone.
 */
final class ServerLifecycle {
    private volatile boolean draining;
    private volatile long drainDeadlineNanos;
    private volatile boolean closing;

    /** Health checks fail from now on, and no query may be open for longer than the time given. */
    void beginDraining(Duration timeout) {
        drainDeadlineNanos = System.nanoTime() + timeout.toNanos();
        draining = true;
    }

    /** No new connection is taken, and each connection ends with its current answer. */
    void beginClosing() {
        closing = true;
    }

    boolean isDraining() {
        return draining;
    }

    boolean isClosing() {
        return closing;
    }

    /** What is left until the drain deadline, counted from the moment given; never negative. */
    Duration drainTimeLeft(long nowNanos) {
        return Duration.ofNanos(Math.max(0, drainDeadlineNanos - nowNanos));
    }
}
