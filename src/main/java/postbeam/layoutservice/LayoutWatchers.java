package postbeam.layoutservice;

import java.util.ArrayList;
import java.util.List;

/**
 * The bounded list of requests that wait for a newer layout. Not thread-safe: {@link
 * LayoutController} guards it with its lock.
 */
final class LayoutWatchers {
    private static final int MAX_WATCHERS = 1000;

    private record Watcher(LayoutRequest request, long deadlineNanos) {}

    private final List<Watcher> watchers = new ArrayList<>();

    boolean isFull() {
        return watchers.size() >= MAX_WATCHERS;
    }

    int size() {
        return watchers.size();
    }

    /** Adds a request with its deadline on the clock of {@link System#nanoTime}. */
    void add(LayoutRequest request, long deadlineNanos) {
        watchers.add(new Watcher(request, deadlineNanos));
    }

    /** Removes and returns all requests. */
    List<LayoutRequest> removeAll() {
        List<LayoutRequest> requests = watchers.stream().map(Watcher::request).toList();
        watchers.clear();
        return requests;
    }

    /** Removes and returns the requests whose deadline has passed. */
    List<LayoutRequest> removeExpired(long nowNanos) {
        List<Watcher> expired =
                watchers.stream().filter(watcher -> watcher.deadlineNanos - nowNanos <= 0).toList();
        watchers.removeAll(expired);
        return expired.stream().map(Watcher::request).toList();
    }
}
