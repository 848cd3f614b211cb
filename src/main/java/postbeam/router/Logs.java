package postbeam.router;

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
public final class Logs implements Filter {
    /** Records in a span: enough for what starts a trouble. */
    private static final int MOST = 40;

    private static final Duration SPAN = Duration.ofSeconds(10);

    /**
     * The loggers whose levels are set; kept here, for the log manager forgets those that nobody
     * holds.
     */
    private static final Logger[] LIBRARIES = {
        Logger.getLogger("org.xnio"), Logger.getLogger("io.undertow")
    };

    private long spanAt = System.nanoTime();
    private int passed;
    private int dropped;

    private Logs() {}

    /** One line a record, on standard error. */
    public static void bound() {
        System.setProperty("java.util.logging.SimpleFormatter.format", "%4$s %3$s: %5$s%6$s%n");
        Filter filter = new Logs();
        for (Handler handler : LogManager.getLogManager().getLogger("").getHandlers()) {
            handler.setFilter(filter);
        }
        for (Logger library : LIBRARIES) {
            library.setLevel(Level.WARNING);
        }
    }

    @Override
    public synchronized boolean isLoggable(LogRecord entry) {
        long now = System.nanoTime();
        if (now - spanAt > SPAN.toNanos()) {
            if (dropped > 0) {
                entry.setMessage(
                        entry.getMessage() + " (" + dropped + " records before this were dropped)");
            }
            spanAt = now;
            passed = 0;
            dropped = 0;
        }
        if (passed >= MOST) {
            dropped++;
            return false;
        }
        passed++;
        return true;
    }
}
