package postbeam.router;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.Readiness;

/**
 * The attempts whose outcome has not been reported yet, each with its timeout. Guarded by the lock
 * of {@link PolicyExecutor}.
 */
final class AttemptTable {
    private record Entry(DispatchedAttempt dispatched, TimerQueue.Timer timeout) {}

    private final TimerQueue timers;
    private final IdentityHashMap<Attempt, Entry> inFlight = new IdentityHashMap<>();
    private final List<Attempt> cancelled = new ArrayList<>();

    AttemptTable(TimerQueue timers) {
        this.timers = timers;
    }

    void add(DispatchedAttempt dispatched, TimerQueue.Timer timeout) {
        inFlight.put(dispatched.policyAttempt, new Entry(dispatched, timeout));
    }

    /** Returns the dispatched attempt; null if the attempt has ended. */
    DispatchedAttempt get(Attempt attempt) {
        Entry entry = inFlight.get(attempt);
        return entry == null ? null : entry.dispatched();
    }

    /** Ends the attempt; returns false if it had already ended. */
    boolean end(Attempt attempt) {
        Entry entry = inFlight.remove(attempt);
        if (entry == null) {
            return false;
        }
        // Clients may set deadlines of several hours: a pending timer would keep the ended attempt
        // in memory for that long.
        timers.cancel(entry.timeout());
        entry.dispatched().abandon();
        return true;
    }

    /** Marks the attempt to be ended as cancelled once the current decision is complete. */
    void markCancelled(Attempt attempt) {
        cancelled.add(attempt);
    }

    /** Removes and returns the attempts that were marked as cancelled. */
    List<Attempt> removeCancelled() {
        List<Attempt> removed = List.copyOf(cancelled);
        cancelled.clear();
        return removed;
    }

    /**
     * Sets a send deadline, by {@link System#nanoTime}, for all attempts to nodes that are not
     * ready. Attempts that are not written by then end as unreachable.
     */
    void requireSentByIfNodeNotReady(long deadlineNanos) {
        inFlight.forEach(
                (attempt, entry) -> {
                    if (attempt.node.readiness() != Readiness.READY) {
                        entry.dispatched().requireSentBy(deadlineNanos, AttemptOutcome.UNREACHABLE);
                    }
                });
    }

    int size() {
        return inFlight.size();
    }
}
