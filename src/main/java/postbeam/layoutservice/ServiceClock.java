package postbeam.layoutservice;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The service's clock: time since 1970 as it was when the process started, advanced by the
 * monotonic clock. It never jumps when the system time is set, so that router leases and records
 * keep their order.
 */
final class ServiceClock {
    private static final long START_MILLIS = System.currentTimeMillis();
    private static final long START_NANOS = System.nanoTime();

    private ServiceClock() {}

    /** The time since 1970. */
    static Duration now() {
        return Duration.ofMillis(
                START_MILLIS + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NANOS));
    }
}
