package postbeam.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.locks.Condition;

/** A queue of tasks to run at given times. Guarded by the lock of {@link PolicyExecutor}. */
final class TimerQueue {
    /**
     * A scheduled task. Timers with the same time run in the order in which they were scheduled.
     *
     * @param at when to run the task, by the policy's time
     */
    record Timer(Duration at, long sequenceNumber, Runnable task) {}

    private final Condition backgroundWork;
    private final TreeSet<Timer> timers =
            new TreeSet<>(Comparator.comparing(Timer::at).thenComparingLong(Timer::sequenceNumber));
    private long nextSequenceNumber;

    /**
     * Creates an empty queue.
     *
     * @param backgroundWork signalled when a timer is added
     */
    TimerQueue(Condition backgroundWork) {
        this.backgroundWork = backgroundWork;
    }

    Timer schedule(Duration at, Runnable task) {
        Timer timer = new Timer(at, nextSequenceNumber++, task);
        timers.add(timer);
        backgroundWork.signal();
        return timer;
    }

    void cancel(Timer timer) {
        timers.remove(timer);
    }

    /** Removes and returns the tasks that are due, the earliest first. */
    List<Runnable> removeDue(Duration now) {
        List<Runnable> due = new ArrayList<>();
        while (!timers.isEmpty() && timers.first().at().compareTo(now) <= 0) {
            due.add(timers.pollFirst().task());
        }
        return due;
    }

    /**
     * Waits until the earliest timer is due or the condition is signalled. Spurious wake-ups are
     * possible.
     */
    @SuppressWarnings("WaitNotInLoop") // The caller waits in a loop.
    void awaitNext(MonotonicClock clock) throws InterruptedException {
        if (timers.isEmpty()) {
            backgroundWork.await();
        } else {
            backgroundWork.awaitNanos(timers.first().at().minus(clock.now()).toNanos());
        }
    }

    int size() {
        return timers.size();
    }
}
