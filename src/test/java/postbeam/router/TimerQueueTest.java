package postbeam.router;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TimerQueueTest {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition backgroundWork = lock.newCondition();
    private final TimerQueue timers = new TimerQueue(backgroundWork);
    private final List<String> executed = new ArrayList<>();

    @BeforeEach
    void acquireLock() {
        lock.lock();
    }

    @AfterEach
    void releaseLock() {
        lock.unlock();
    }

    private TimerQueue.Timer schedule(long atMillis, String name) {
        return timers.schedule(Duration.ofMillis(atMillis), () -> executed.add(name));
    }

    private List<String> executeDue(long nowMillis) {
        executed.clear();
        timers.removeDue(Duration.ofMillis(nowMillis)).forEach(Runnable::run);
        return executed;
    }

    @Test
    void dueTasksRunInOrderOfTimeThenOfScheduling() {
        schedule(20, "third");
        schedule(10, "first");
        schedule(10, "second");
        schedule(30, "later");
        assertEquals(List.of("first", "second", "third"), executeDue(20));
        assertEquals(List.of(), executeDue(29));
        assertEquals(List.of("later"), executeDue(30));
    }

    @Test
    void cancelledTimerIsRemovedAndNeverRuns() {
        TimerQueue.Timer cancelled = schedule(10, "cancelled");
        schedule(10, "kept");
        timers.cancel(cancelled);
        assertEquals(1, timers.size());
        assertEquals(List.of("kept"), executeDue(10));
        assertEquals(0, timers.size());
    }
}
