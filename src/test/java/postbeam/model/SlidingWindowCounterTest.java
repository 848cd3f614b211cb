package postbeam.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class SlidingWindowCounterTest {
    private static final Duration SPAN = Duration.ofSeconds(1);

    private final SlidingWindowCounter counter = new SlidingWindowCounter(SPAN, 10);

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    @Test
    void upperAndLowerBoundDifferByTheBucketInWhichTheSpanBegins() {
        counter.add(ms(150), 1);
        counter.add(ms(900), 2);
        assertEquals(3, counter.upperBoundSum(ms(1120), SPAN));
        assertEquals(2, counter.lowerBoundSum(ms(1120), SPAN));
    }

    @Test
    void amountsExpireAndTheirBucketsAreReused() {
        counter.add(ms(150), 1);
        counter.add(ms(900), 2);
        assertEquals(0, counter.upperBoundSum(ms(9120), SPAN));
        counter.add(ms(9120), 5);
        assertEquals(5, counter.upperBoundSum(ms(9120), SPAN));
    }
}
