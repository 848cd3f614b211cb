package postbeam.peers;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import postbeam.errors.OperatorError;

/**
 * Logs errors of the coordination with peers, at most one of each type for each router in {@link
 * #MIN_LOG_INTERVAL}. Thread-safe.
 */
final class PeerErrorLog {
    private static final System.Logger LOG = System.getLogger(PeerErrorLog.class.getName());
    private static final Duration MIN_LOG_INTERVAL = Duration.ofSeconds(30);

    private record LogKey(String router, Class<? extends OperatorError> errorType) {}

    private final Map<LogKey, Long> lastLoggedNanos = new ConcurrentHashMap<>();

    /**
     * Logs the error, unless one of its type was logged for the router within the interval.
     *
     * @param router the router that the error is about
     */
    void log(String router, OperatorError error) {
        LogKey key = new LogKey(router, error.getClass());
        long now = System.nanoTime();
        Long last = lastLoggedNanos.get(key);
        if (last == null || now - last > MIN_LOG_INTERVAL.toNanos()) {
            lastLoggedNanos.put(key, now);
            LOG.log(System.Logger.Level.WARNING, error.message());
        }
    }
}
