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
    private final List<String> run = new ArrayList<>();

    @BeforeEach
    void acquire() {
        lock.lock();
    }

    @AfterEach
    void release() {
        lock.unlock();
    }

    private TimerQueue.Timer schedule(long atMillis, String name) {
        return timers.schedule(Duration.ofMillis(atMillis), () -> run.add(name));
    }

    private List<String> runDue(long nowMillis) {
        run.clear();
        timers.removeDue(Duration.ofMillis(nowMillis)).forEach(Runnable::run);
        return run;
    }

    @Test
    void dueTasksRunByTimeAndThenInTheOrderOfTheirScheduling() {
        schedule(20, "third");
        schedule(10, "first");
        schedule(10, "second");
        schedule(30, "later");
        assertEquals(List.of("first", "second", "third"), runDue(20));
        assertEquals(List.of(), runDue(29));
        assertEquals(List.of("later"), runDue(30));
    }

    @Test
    void cancelledTaskNeverRunsAndIsNotKept() {
        TimerQueue.Timer cancelled = schedule(10, "cancelled");
        schedule(10, "kept");
        timers.cancel(cancelled);
        assertEquals(1, timers.size());
        assertEquals(List.of("kept"), runDue(10));
        assertEquals(0, timers.size());
    }
}
