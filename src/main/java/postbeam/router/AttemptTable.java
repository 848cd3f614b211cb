package postbeam.router;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.Readiness;

/**
 * The attempts whose outcome is not reported yet, each with the timer that ends it. Guarded by the
 * lock of {@link PolicyExecutor}.
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

    /** Null where the attempt has ended. */
    DispatchedAttempt get(Attempt attempt) {
        Entry entry = inFlight.get(attempt);
        return entry == null ? null : entry.dispatched();
    }

    /** Ends the attempt; false where it had ended before. */
    boolean end(Attempt attempt) {
        Entry entry = inFlight.remove(attempt);
        if (entry == null) {
            return false;
        }
        // The timeout may be hours away, as clients set deadlines: it must not hold the attempt.
        timers.cancel(entry.timeout());
        entry.dispatched().abandon();
        return true;
    }

    /** The attempt ends as cancelled once the policy has finished deciding. */
    void markCancelled(Attempt attempt) {
        cancelled.add(attempt);
    }

    List<Attempt> removeCancelled() {
        List<Attempt> removed = List.copyOf(cancelled);
        cancelled.clear();
        return removed;
    }

    /** Attempts to nodes that are not ready, if not written by this time, never will be. */
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
