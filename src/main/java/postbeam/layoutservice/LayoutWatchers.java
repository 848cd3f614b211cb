package postbeam.layoutservice;

import java.util.ArrayList;
import java.util.List;

/**
 * The bounded list of requests that wait for a newer layout. Not thread-safe: {@link
 * LayoutController} guards it with its lock.
 */
final class LayoutWatchers {
    private static final int MAX_WATCHERS = 1000;

    private record Waiting(LayoutRequest request, long deadlineNanos) {}

    private final List<Waiting> waiting = new ArrayList<>();

    boolean isFull() {
        return waiting.size() >= MAX_WATCHERS;
    }

    int size() {
        return waiting.size();
    }

    /** Adds a request with its deadline on the clock of {@link System#nanoTime}. */
    void add(LayoutRequest request, long deadlineNanos) {
        waiting.add(new Waiting(request, deadlineNanos));
    }

    /** Removes and returns all requests. */
    List<LayoutRequest> removeAll() {
        List<LayoutRequest> requests = waiting.stream().map(Waiting::request).toList();
        waiting.clear();
        return requests;
    }

    /** Removes and returns the requests whose deadline has passed. */
    List<LayoutRequest> removeExpired(long nowNanos) {
        List<Waiting> expired =
                waiting.stream().filter(one -> one.deadlineNanos - nowNanos <= 0).toList();
        waiting.removeAll(expired);
        return expired.stream().map(Waiting::request).toList();
    }
}
