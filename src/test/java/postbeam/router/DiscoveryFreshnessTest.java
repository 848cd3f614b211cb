package postbeam.router;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import postbeam.endpoints.PollTimings;

class DiscoveryFreshnessTest {
    static Stream<PollTimings> timings() {
        Duration pollInterval = Duration.ofSeconds(10);
        return Stream.of(
                PollTimings.LOCAL_AGENT, PollTimings.discoveryServer(pollInterval, new Random(1)));
    }

    /** A poll that was pending during a suspension would end the wait for a recent list. */
    @ParameterizedTest
    @MethodSource("timings")
    void pollsAreAbandonedWheneverTheListIsOutOfDate(PollTimings timings) {
        Duration threshold = timings.suspensionThreshold();
        assertTrue(threshold.compareTo(DiscoveryFreshness.STALE_AFTER) <= 0, threshold.toString());
    }
}
