package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, a line each, with seconds since the start. */
final class Trace implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    Trace(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
        out.flush();
    }

    /** For the record and for who runs the script. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
