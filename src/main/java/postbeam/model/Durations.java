package postbeam.model;

import java.time.Duration;

/** Arithmetic on {@link Duration}. */
public final class Durations {
    private static final double NANOS_PER_SECOND = 1e9;

    private Durations() {}

    /** Returns the shorter of two durations. */
    public static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    /** Returns the longer of two durations. */
    public static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    /** Returns the duration multiplied by the factor, rounded to nanoseconds. */
    public static Duration scale(Duration duration, double factor) {
        return Duration.ofNanos(Math.round(duration.toNanos() * factor));
    }

    /** Returns the duration in seconds. */
    public static double seconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }
}
