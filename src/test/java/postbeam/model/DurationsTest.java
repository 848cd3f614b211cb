package postbeam.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class DurationsTest {
    private static final Duration SHORT = Duration.ofNanos(3);
    private static final Duration LONG = Duration.ofMillis(1500);

    @Test
    void minAndMaxReturnTheShorterAndTheLongerDuration() {
        assertEquals(SHORT, Durations.min(LONG, SHORT));
        assertEquals(LONG, Durations.max(SHORT, LONG));
    }

    @Test
    void scalingRoundsToNanoseconds() {
        assertEquals(Duration.ofNanos(2), Durations.scale(SHORT, 0.5));
        assertEquals(Duration.ofSeconds(3), Durations.scale(LONG, 2));
    }

    @Test
    void secondsIncludeFractions() {
        assertEquals(1.5, Durations.seconds(LONG));
    }
}
