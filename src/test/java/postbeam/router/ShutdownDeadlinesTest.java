package postbeam.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class ShutdownDeadlinesTest {
    private static void endsBefore(Duration killed, Duration... deadlines) {
        ShutdownDeadlines times = ShutdownDeadlines.of(Arrays.asList(deadlines));
        assertTrue(times.finalAnswersBy().compareTo(killed) < 0, times + " beside " + killed);
        assertTrue(times.servingEnds().compareTo(times.finalAnswersBy()) < 0, times.toString());
    }

    @Test
    void finalAnswersComeBeforeTheProcessIsKilled() {
        endsBefore(Duration.ofMillis(2500 + 700), Duration.ofMillis(2500), Duration.ofMillis(2000));
        endsBefore(Duration.ofMillis(3000 + 700), Duration.ofMillis(7500), null);
        endsBefore(Duration.ofMillis(300 + 700), Duration.ofMillis(300));
    }

    @Test
    void withoutDeadlinesTheMaximumApplies() {
        assertEquals(Duration.ofSeconds(3), ShutdownDeadlines.of(List.of()).servingEnds());
    }
}
