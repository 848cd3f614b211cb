package postbeam.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class ShutdownDeadlinesTest {
    private static void assertEndsBefore(Duration killTime, Duration... deadlines) {
        ShutdownDeadlines shutdown = ShutdownDeadlines.of(Arrays.asList(deadlines));
        assertTrue(
                shutdown.finalAnswersBy().compareTo(killTime) < 0,
                shutdown + " must end before " + killTime);
        assertTrue(
                shutdown.servingEnds().compareTo(shutdown.finalAnswersBy()) < 0,
                shutdown.toString());
    }

    @Test
    void finalAnswersAreSentBeforeTheProcessIsKilled() {
        assertEndsBefore(
                Duration.ofMillis(2500 + 700), Duration.ofMillis(2500), Duration.ofMillis(2000));
        assertEndsBefore(Duration.ofMillis(3000 + 700), Duration.ofMillis(7500), null);
        assertEndsBefore(Duration.ofMillis(300 + 700), Duration.ofMillis(300));
    }

    @Test
    void maximumAppliesIfNoQueryClassHasADeadline() {
        assertEquals(Duration.ofSeconds(3), ShutdownDeadlines.of(List.of()).servingEnds());
    }
}
