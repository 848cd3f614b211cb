package postbeam.router;

import java.time.Duration;

/**
 * The policy's time: the time since this clock was created, by {@link System#nanoTime}. The system
 * time is read once, to convert time stamps that other processes state.
 */
final class MonotonicClock {
    private static final int NANOS_PER_MICRO = 1000;
    private static final int MICROS_PER_MILLI = 1000;

    private final long startNanos = System.nanoTime();
    private final long startUnixMicros = System.currentTimeMillis() * MICROS_PER_MILLI;

    Duration now() {
        return fromNanoTime(System.nanoTime());
    }

    /** Converts a value of {@link System#nanoTime} to the policy's time. */
    Duration fromNanoTime(long nanoTime) {
        return Duration.ofNanos(nanoTime - startNanos);
    }

    /** Converts the policy's time to a value of {@link System#nanoTime}. */
    long toNanoTime(Duration time) {
        return startNanos + time.toNanos();
    }

    /** Converts microseconds since 1970 to the policy's time. */
    Duration fromUnixMicros(long unixMicros) {
        return Duration.ofNanos((unixMicros - startUnixMicros) * NANOS_PER_MICRO);
    }

    /** Converts a duration since 1970 to the policy's time. */
    Duration fromUnixTime(Duration sinceEpoch) {
        return sinceEpoch.minus(Duration.ofNanos(startUnixMicros * NANOS_PER_MICRO));
    }
}
