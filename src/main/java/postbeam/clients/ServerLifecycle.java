package postbeam.clients;

import java.time.Duration;

/**
 * State of a {@link QueryServer}: serving, draining or closing. The thread that shuts down sets it,
 * and the I/O thread reads it. Each transition happens once and is never undone.
 */
final class ServerLifecycle {
    private volatile boolean draining;
    private volatile long drainDeadlineNanos;
    private volatile boolean closing;

    /**
     * Makes health checks fail and limits the timeouts of further queries to this time from now.
     */
    void beginDraining(Duration timeout) {
        drainDeadlineNanos = System.nanoTime() + timeout.toNanos();
        draining = true;
    }

    /**
     * Starts closing. The server stops listening once its backlog is empty, and each connection
     * closes after its current response.
     */
    void beginClosing() {
        closing = true;
    }

    boolean isDraining() {
        return draining;
    }

    boolean isClosing() {
        return closing;
    }

    /** Returns the time from {@code nowNanos} to the drain deadline; never negative. */
    Duration drainTimeLeft(long nowNanos) {
        return Duration.ofNanos(Math.max(0, drainDeadlineNanos - nowNanos));
    }
}
