package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class MigrationThrottleTest {
    private static final Duration NOW = Duration.ofSeconds(100);

    private final MigrationThrottle throttle = new MigrationThrottle(10, 1000);

    @Test
    void copiesStartAtConfiguredRatesAndBytesAreCountedByMember() {
        assertTrue(throttle.canStart(NOW));
        throttle.onCopyStarted("large", 5000, NOW);
        assertFalse(throttle.canStart(NOW.plusMillis(4999)));
        assertTrue(throttle.canStart(NOW.plusSeconds(5)));
        throttle.onCopyStarted("small", 0, NOW.plusSeconds(5));
        assertFalse(throttle.canStart(NOW.plusSeconds(5).plusMillis(99)));
        assertTrue(
                throttle.copiedBytes("small") < throttle.copiedBytes("large"),
                "the member with fewer copied bytes goes first");
    }
}
