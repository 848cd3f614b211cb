package postbeam.discovery;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;

/**
 * Buffered input of one connection at a time, with a deadline for a whole response and earlier ones
 * for its parts. Used by one thread.
 *
 * <p>What has come is read before time is judged, as the thread may have waited for its core
 * meanwhile: past a deadline a limited number of reads is left, of which each may still wait 1 ms.
 */
final class DeadlineInput {
    private static final int BUFFER_BYTES = 4 << 10;

    /**
     * Late reads for a head, the parts of a response, and its end; there are as many more as the
     * longest body fills the buffer. A response that trickles in faster than a read a millisecond
     * is given up that much late: some 70 ms for 256 KiB.
     */
    private static final int MIN_LATE_READS = 6;

    private final byte[] buffer = new byte[BUFFER_BYTES];
    private int position;
    private int limit;
    private Socket socket;
    private InputStream input;

    /** By when the complete response has to be there, on the clock of {@link System#nanoTime}. */
    private long totalDeadlineNanos;

    /** By when what is read next has to be there. */
    private long readDeadlineNanos;

    private int lateReadsLeft;

    /** Reads from this connection from now on. */
    void attach(Socket connected) throws IOException {
        socket = connected;
        input = connected.getInputStream();
        position = 0;
        limit = 0;
    }

    /** A new response is due, of at most so many bytes of body. */
    void begin(Duration total, int maxBodyBytes) {
        totalDeadlineNanos = System.nanoTime() + total.toNanos();
        lateReadsLeft = MIN_LATE_READS + maxBodyBytes / BUFFER_BYTES;
    }

    /** What is read next has to be there by then, and before the complete response's deadline. */
    void setTimeout(Duration timeout) {
        readDeadlineNanos = Math.min(totalDeadlineNanos, System.nanoTime() + timeout.toNanos());
    }

    /** Until the deadline of what is read next, in ms; at least 1, also when it has passed. */
    int millisLeft() {
        return (int) Math.max(1, (readDeadlineNanos - System.nanoTime()) / 1_000_000 + 1);
    }

    /** Whether nothing that was read is still to be taken. */
    boolean isBufferEmpty() {
        return position == limit;
    }

    /** Waits for a byte; false at the end of the input. */
    boolean hasMore() throws IOException {
        return position < limit || fill();
    }

    /** The next byte, or -1 at the end. */
    int next() throws IOException {
        return hasMore() ? buffer[position++] & 0xff : -1;
    }

    /** Moves exactly so many bytes to the output. */
    void copyTo(OutputStream output, int count) throws IOException {
        int missing = count;
        while (missing > 0) {
            if (!hasMore()) {
                throw new EOFException("closed before the answer's end");
            }
            missing -= copyBuffered(output, missing);
        }
    }

    /** Moves what is buffered to the output, at most so many bytes; how many it was. */
    private int copyBuffered(OutputStream output, int max) throws IOException {
        int count = Math.min(max, buffered());
        output.write(buffer, position, count);
        position += count;
        return count;
    }

    /** Bytes that can be taken without reading. */
    int buffered() {
        return limit - position;
    }

    private boolean fill() throws IOException {
        boolean late = readDeadlineNanos - System.nanoTime() <= 0;
        if (late && lateReadsLeft-- == 0) {
            throw new SocketTimeoutException();
        }
        socket.setSoTimeout(millisLeft());
        position = 0;
        limit = 0;
        limit = Math.max(0, input.read(buffer));
        return limit > 0;
    }
}
