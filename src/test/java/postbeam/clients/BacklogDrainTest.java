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
    void backlogIsNotEmptyAtTheFirstCheck() {
        assertFalse(isEmpty(1000, 7, false));
        assertTrue(isEmpty(1100, 7, false));
    }

    @Test
    void backlogIsNotEmptyAfterAnIntervalWithAnAcceptedConnection() {
        assertFalse(isEmpty(0, 7, false));
        assertFalse(isEmpty(100, 8, false));
        assertTrue(isEmpty(200, 8, false));
    }

    @Test
    void backlogIsNotEmptyAtALateCheck() {
        assertFalse(isEmpty(0, 7, false));
        assertFalse(isEmpty(151, 7, false));
        assertTrue(isEmpty(300, 7, false));
    }

    @Test
    void backlogIsNotEmptyAtTheConnectionLimit() {
        assertFalse(isEmpty(0, 7, true));
        assertFalse(isEmpty(100, 7, true));
        assertTrue(isEmpty(200, 7, false));
    }

    @Test
    void backlogCountsAsEmptyAtFifthCheckAlthoughConnectionsKeepArriving() {
        for (int check = 0; check < 4; check++) {
            assertFalse(isEmpty(100L * check, check, false));
        }
        assertTrue(isEmpty(400, 4, false));
    }
}
