package postbeam.model;

import java.time.Duration;

/** Arithmetic on {@link Duration}. */
public final class Durations {
    private static final double NANOS_PER_SECOND = 1e9;

    private Durations() {}

    /** The shorter of two durations. */
    public static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    /** The longer of two durations. */
    public static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    /** The duration multiplied by the factor, rounded to nanoseconds. */
    public static Duration scale(Duration duration, double factor) {
        return Duration.ofNanos(Math.round(duration.toNanos() * factor));
    }

    /** The duration in seconds. */
    public static double seconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }
}
