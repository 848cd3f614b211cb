package postbeam.clients;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class BacklogDrainTest {
    private final BacklogDrain drain = new BacklogDrain(Duration.ofMillis(150));

    private boolean isEmpty(long millis, long accepted, boolean full) {
        return drain.isEmpty(TimeUnit.MILLISECONDS.toNanos(millis), accepted, full);
    }

    @Test
    void oneLookIsNotEnough() {
        assertFalse(isEmpty(1000, 7, false));
        assertTrue(isEmpty(1100, 7, false));
    }

    @Test
    void acceptedConnectionMeansThatMoreMayWait() {
        assertFalse(isEmpty(0, 7, false));
        assertFalse(isEmpty(100, 8, false));
        assertTrue(isEmpty(200, 8, false));
    }

    @Test
    void lateLookShowsNothing() {
        assertFalse(isEmpty(0, 7, false));
        assertFalse(isEmpty(151, 7, false));
        assertTrue(isEmpty(300, 7, false));
    }

    @Test
    void withoutRoomNothingIsKnown() {
        assertFalse(isEmpty(0, 7, true));
        assertFalse(isEmpty(100, 7, true));
        assertTrue(isEmpty(200, 7, false));
    }

    @Test
    void clientsThatConnectForEverAreLeft() {
        for (int look = 0; look < 4; look++) {
            assertFalse(isEmpty(100L * look, look, false));
        }
        assertTrue(isEmpty(400, 4, false));
    }
}
