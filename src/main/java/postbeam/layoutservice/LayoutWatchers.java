package postbeam.layoutservice;

import java.util.ArrayList;
import java.util.List;

/**
 * Requests that wait for a newer layout, a bounded number of them. Not thread-safe: {@link
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

    /** Keeps a request until the deadline, in the time of {@link System#nanoTime}. */
    void add(LayoutRequest request, long deadlineNanos) {
        waiting.add(new Waiting(request, deadlineNanos));
    }

    /** Takes all requests out. */
    List<LayoutRequest> removeAll() {
        List<LayoutRequest> requests = waiting.stream().map(Waiting::request).toList();
        waiting.clear();
        return requests;
    }

    /** Takes out the requests whose deadline has come. */
    List<LayoutRequest> removeExpired(long nowNanos) {
        List<Waiting> expired =
                waiting.stream().filter(one -> one.deadlineNanos - nowNanos <= 0).toList();
        waiting.removeAll(expired);
        return expired.stream().map(Waiting::request).toList();
    }
}
