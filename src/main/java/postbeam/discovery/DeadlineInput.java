package postbeam.discovery;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;

/**
 * Buffered input of one connection at a time, with a deadline for the complete response and earlier
 * deadlines for its parts. Used by one thread.
 *
 * <p>Received bytes are read even after a deadline, as the thread may have waited for a core while
 * they arrived. After a deadline a limited number of reads is allowed, each of which may wait 1 ms.
 */
final class DeadlineInput {
    /** Few reads are needed for the longest body, as each late read may take 1 ms. */
    private static final int BUFFER_BYTES = 64 << 10;

    /**
     * Number of reads allowed after a deadline for the head, the parts and the end of a response.
     * One more is allowed for each buffer that the longest body fills. A response that trickles in
     * faster than one read per millisecond times out late by the duration of these reads: 70 ms for
     * 4 MiB.
     */
    private static final int MIN_LATE_READS = 6;

    private final byte[] buffer = new byte[BUFFER_BYTES];
    private int position;
    private int limit;
    private Socket socket;
    private InputStream input;

    /** Deadline for the complete response, on the clock of {@link System#nanoTime}. */
    private long totalDeadlineNanos;

    /** Deadline for the part of the response that is read next. */
    private long readDeadlineNanos;

    private int lateReadsLeft;

    /** Switches to a new connection and discards the buffer. */
    void attach(Socket connected) throws IOException {
        socket = connected;
        input = connected.getInputStream();
        position = 0;
        limit = 0;
    }

    /**
     * Starts a new response: sets the deadline of the complete response and the number of reads
     * allowed after a deadline.
     */
    void begin(Duration total, int maxBodyBytes) {
        totalDeadlineNanos = System.nanoTime() + total.toNanos();
        lateReadsLeft = MIN_LATE_READS + maxBodyBytes / BUFFER_BYTES;
    }

    /** Sets the timeout for the next part, limited by the deadline for the complete response. */
    void setTimeout(Duration timeout) {
        readDeadlineNanos = Math.min(totalDeadlineNanos, System.nanoTime() + timeout.toNanos());
    }

    /** Returns the milliseconds until the deadline for the next part; at least 1, even after it. */
    int millisLeft() {
        return (int) Math.max(1, (readDeadlineNanos - System.nanoTime()) / 1_000_000 + 1);
    }

    /** Returns whether all bytes that were read have been consumed. */
    boolean isBufferEmpty() {
        return position == limit;
    }

    /** Waits until a byte is available; returns false at the end of the input. */
    boolean hasMore() throws IOException {
        return position < limit || fill();
    }

    /** Returns the next byte, or -1 at the end of the input. */
    int next() throws IOException {
        return hasMore() ? buffer[position++] & 0xff : -1;
    }

    /** Copies exactly this number of bytes to the output. */
    void copyTo(OutputStream output, int count) throws IOException {
        int missing = count;
        while (missing > 0) {
            if (!hasMore()) {
                throw new EOFException(
                        "connection closed after "
                                + (count - missing)
                                + " of "
                                + count
                                + " bytes of the body or chunk");
            }
            missing -= copyBuffered(output, missing);
        }
    }

    /** Copies buffered bytes, at most this number, to the output and returns how many. */
    private int copyBuffered(OutputStream output, int max) throws IOException {
        int count = Math.min(max, buffered());
        output.write(buffer, position, count);
        position += count;
        return count;
    }

    /** Returns the number of bytes that are available without reading from the socket. */
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
