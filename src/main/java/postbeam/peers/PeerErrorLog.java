package postbeam.peers;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import postbeam.errors.OperatorError;

/** Logs errors among peers, each kind about each router once in a while. Thread-safe. */
final class PeerErrorLog {
    private static final System.Logger LOG = System.getLogger(PeerErrorLog.class.getName());
    private static final Duration INTERVAL = Duration.ofSeconds(30);

    private record Subject(String router, Class<? extends OperatorError> kind) {}

    private final Map<Subject, Long> lastLoggedNanos = new ConcurrentHashMap<>();

    /**
     * Logs the error, unless one of its kind was logged lately.
     *
     * @param router that it is about
     */
    void log(String router, OperatorError error) {
        Subject subject = new Subject(router, error.getClass());
        long now = System.nanoTime();
        Long last = lastLoggedNanos.get(subject);
        if (last == null || now - last > INTERVAL.toNanos()) {
            lastLoggedNanos.put(subject, now);
            LOG.log(System.Logger.Level.WARNING, error.message());
        }
    }
}
