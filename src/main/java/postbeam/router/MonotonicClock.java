package postbeam.router;

import java.time.Duration;

/**
 * The policy's time: the span since this clock was created, by {@link System#nanoTime}. The system
 * time is read once, to translate time stamps that others state.
 */
final class MonotonicClock {
    private static final int NANOS_PER_MICRO = 1000;
    private static final int MICROS_PER_MILLI = 1000;

    private final long startNanos = System.nanoTime();
    private final long startUnixMicros = System.currentTimeMillis() * MICROS_PER_MILLI;

    Duration now() {
        return fromNanoTime(System.nanoTime());
    }

    /** The policy's time at a value of {@link System#nanoTime}. */
    Duration fromNanoTime(long nanoTime) {
        return Duration.ofNanos(nanoTime - startNanos);
    }

    /** The value of {@link System#nanoTime} at a time of the policy. */
    long toNanoTime(Duration time) {
        return startNanos + time.toNanos();
    }

    /** The policy's time at a number of microseconds since 1970. */
    Duration fromUnixMicros(long unixMicros) {
        return Duration.ofNanos((unixMicros - startUnixMicros) * NANOS_PER_MICRO);
    }

    /** The policy's time at a span since 1970. */
    Duration fromUnixTime(Duration sinceEpoch) {
        return sinceEpoch.minus(Duration.ofNanos(startUnixMicros * NANOS_PER_MICRO));
    }
}
