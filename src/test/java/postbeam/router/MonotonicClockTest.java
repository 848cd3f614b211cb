package postbeam.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class MonotonicClockTest {
    private final MonotonicClock clock = new MonotonicClock();

    @Test
    void policyTimeConvertsToNanoTimeAndBack() {
        Duration time = Duration.ofSeconds(7).plusNanos(3);
        assertEquals(time, clock.fromNanoTime(clock.toNanoTime(time)));
    }

    @Test
    void unixTimesInMicrosecondsAndDurationsConvertAlike() {
        long micros = 1_790_000_000_000_123L;
        assertEquals(
                clock.fromUnixTime(Duration.ofNanos(micros * 1000)), clock.fromUnixMicros(micros));
    }

    @Test
    void currentUnixTimeConvertsToCurrentPolicyTime() {
        Duration difference =
                clock.fromUnixMicros(System.currentTimeMillis() * 1000).minus(clock.now());
        assertTrue(
                difference.abs().compareTo(Duration.ofSeconds(5)) < 0, "differs by " + difference);
    }
}
