package postbeam.cli;

import java.time.Duration;
import java.util.logging.Filter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Limits the rate of log records, those of libraries too, so that a fault fills neither the disk
 * nor the core. Its own lock guards the counts.
 */
final class LogRateLimiter implements Filter {
    /** In an interval: enough for the start of a fault. */
    private static final int MAX_RECORDS = 40;

    private static final Duration INTERVAL = Duration.ofSeconds(10);

    /** Held here, as the log manager forgets loggers that nobody holds, and their levels. */
    private static final Logger[] LIBRARY_LOGGERS = {
        Logger.getLogger("org.xnio"), Logger.getLogger("io.undertow")
    };

    private long intervalStartNanos = System.nanoTime();
    private int passed;
    private int dropped;

    private LogRateLimiter() {}

    /** Logs one line a record on standard error from now on, and limits their rate. */
    static void install() {
        System.setProperty("java.util.logging.SimpleFormatter.format", "%4$s %3$s: %5$s%6$s%n");
        Filter filter = new LogRateLimiter();
        for (Handler handler : LogManager.getLogManager().getLogger("").getHandlers()) {
            handler.setFilter(filter);
        }
        for (Logger library : LIBRARY_LOGGERS) {
            library.setLevel(Level.WARNING);
        }
    }

    @Override
    public synchronized boolean isLoggable(LogRecord entry) {
        long now = System.nanoTime();
        if (now - intervalStartNanos > INTERVAL.toNanos()) {
            if (dropped > 0) {
                entry.setMessage(
                        entry.getMessage() + " (" + dropped + " records before this were dropped)");
            }
            intervalStartNanos = now;
            passed = 0;
            dropped = 0;
        }
        if (passed >= MAX_RECORDS) {
            dropped++;
            return false;
        }
        passed++;
        return true;
    }
}
