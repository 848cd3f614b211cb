package postbeam.cli;

import java.time.Duration;
import java.util.logging.Filter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Limits the rate of log records, including those of libraries, so that a fault that is logged over
 * and over does not fill the disk or use up a core. The counts are guarded by this object's lock.
 */
final class LogRateLimiter implements Filter {
    /** Maximum number of records in an interval: enough to see how a fault begins. */
    private static final int MAX_RECORDS = 40;

    private static final Duration INTERVAL = Duration.ofSeconds(10);

    /** Strong references: the log manager drops unreferenced loggers together with their levels. */
    private static final Logger[] LIBRARY_LOGGERS = {
        Logger.getLogger("org.xnio"), Logger.getLogger("io.undertow")
    };

    private long intervalStartNanos = System.nanoTime();
    private int passed;
    private int dropped;

    private LogRateLimiter() {}

    /** Makes each log record one line on standard error, and limits the rate of records. */
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
