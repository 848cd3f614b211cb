package postbeam.testbed.verification;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * What routers took of one cold node's budget, each within a span that was seen from outside: begun
 * and ended. Only what surely lies in a window is summed, so what it finds is a violation whatever
 * the machine was doing.
 */
public final class SlowStartUsage {
    private record Take(Duration begun, Duration ended, double work) {}

    private final List<Take> takes = new ArrayList<>();

    /** Adds work that was taken at some time within this span. */
    public synchronized void record(Duration begun, Duration ended, double work) {
        takes.add(new Take(begun, ended, work));
    }

    /** How many times work was taken. */
    public synchronized int count() {
        return takes.size();
    }

    /** The most work that any window surely holds. */
    public synchronized double maxWorkIn(Duration window) {
        double most = 0;
        for (Take first : takes) {
            Duration end = first.begun.plus(window);
            most =
                    Math.max(
                            most,
                            takes.stream()
                                    .filter(
                                            one ->
                                                    one.begun.compareTo(first.begun) >= 0
                                                            && one.ended.compareTo(end) <= 0)
                                    .mapToDouble(Take::work)
                                    .sum());
        }
        return most;
    }
}
