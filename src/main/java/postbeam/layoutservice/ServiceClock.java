package postbeam.layoutservice;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The clock of the layout service: the system time at the start of the process, advanced by the
 * monotonic clock. A change of the system time does not affect it, so that router leases and
 * records keep their order.
 */
final class ServiceClock {
    private static final long START_MILLIS = System.currentTimeMillis();
    private static final long START_NANOS = System.nanoTime();

    private ServiceClock() {}

    /** Returns the time since 1970. */
    static Duration now() {
        return Duration.ofMillis(
                START_MILLIS + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NANOS));
    }
}
