package postbeam.clients;

import java.time.Duration;

/**
 * Decides when the listening socket may be closed: closing it resets connections that the machine
 * has accepted for it and that still wait in its backlog. Another thread takes them from there, so
 * that the I/O thread knows of an empty backlog only by a time in which none came.
 *
 * <p>The backlog counts as empty after an interval between two looks in which no connection was
 * accepted, though there was room for one, and at whose end the I/O thread was on time: where the
 * process stood still, connections may wait that no thread has seen. Clients connect no more for
 * longer than an interval when the first look is due. Not thread-safe.
 */
final class BacklogDrain {
    /** Looks after which the socket is closed whatever comes, as clients may connect for ever. */
    private static final int MAX_LOOKS = 5;

    private final Duration maxInterval;
    private int looks;
    private long previousNanos;
    private long previousAccepted;

    /**
     * Creates a drain that has not looked yet.
     *
     * @param maxInterval from one look to the next; a longer one means that the thread was late
     */
    BacklogDrain(Duration maxInterval) {
        this.maxInterval = maxInterval;
    }

    /**
     * Records a look.
     *
     * @param nowNanos of a monotonic clock
     * @param accepted connections accepted so far
     * @param full whether no further connection can be accepted
     * @return whether the backlog counts as empty
     */
    boolean isEmpty(long nowNanos, long accepted, boolean full) {
        boolean first = looks == 0;
        boolean onTime = nowNanos - previousNanos <= maxInterval.toNanos();
        boolean quiet = accepted == previousAccepted && !full;
        looks++;
        previousNanos = nowNanos;
        previousAccepted = accepted;
        return (!first && onTime && quiet) || looks >= MAX_LOOKS;
    }
}
