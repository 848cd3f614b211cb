package postbeam.cli;

import java.time.Duration;
import java.util.logging.Filter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Bounds the rate of what is logged, by the libraries too: a trouble must not fill the disk or the
 * core.
 */
public final class LogRateLimiter implements Filter {
    /** Records in a span: enough for what starts a trouble. */
    private static final int MAX_RECORDS = 40;

    private static final Duration INTERVAL = Duration.ofSeconds(10);

    /**
     * The loggers whose levels are set; kept here, for the log manager forgets those that nobody
     * holds.
     */
    private static final Logger[] LIBRARY_LOGGERS = {
        Logger.getLogger("org.xnio"), Logger.getLogger("io.undertow")
    };

    private long intervalStartNanos = System.nanoTime();
    private int passed;
    private int dropped;

    private LogRateLimiter() {}

    /** One line a record, on standard error. */
    public static void install() {
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
