package postbeam.model;

import java.time.Duration;

/** Arithmetic on spans of time that {@link Duration} lacks. */
public final class Durations {
    private static final double NANOS_PER_SECOND = 1e9;

    private Durations() {}

    /** The shorter of two spans. */
    public static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    /** The longer of two spans. */
    public static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    /** The span times the factor, rounded to the nanosecond. */
    public static Duration scale(Duration span, double factor) {
        return Duration.ofNanos(Math.round(span.toNanos() * factor));
    }

    /** The span in seconds. */
    public static double seconds(Duration span) {
        return span.toNanos() / NANOS_PER_SECOND;
    }
}
