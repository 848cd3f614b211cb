package postbeam.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class SlidingWindowCounterTest {
    @Test
    void forgetsWhatIsOlderThanTheSpanAndErrsToTheSideAsked() {
        SlidingWindowCounter ring = new SlidingWindowCounter(Duration.ofSeconds(1), 10);
        ring.add(Duration.ofMillis(150), 1);
        ring.add(Duration.ofMillis(900), 2);
        assertEquals(3, ring.upperBoundSum(Duration.ofMillis(1120), Duration.ofSeconds(1)));
        assertEquals(2, ring.lowerBoundSum(Duration.ofMillis(1120), Duration.ofSeconds(1)));
        assertEquals(0, ring.upperBoundSum(Duration.ofMillis(9120), Duration.ofSeconds(1)));
        ring.add(Duration.ofMillis(9120), 5);
        assertTrue(ring.upperBoundSum(Duration.ofMillis(9120), Duration.ofSeconds(1)) == 5);
    }
}
