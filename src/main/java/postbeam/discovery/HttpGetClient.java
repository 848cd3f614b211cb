package postbeam.discovery;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Proxy;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import postbeam.config.RouterConfig;

/**
 * GETs from one address, one at a time, over a connection that is kept between them. Each has one
 * deadline, for connecting, head and body together, and earlier ones for its parts: what stays
 * silent, trickles or never ends is given up then, and its connection with it. Nothing is asked a
 * second time and no redirection is followed: when to ask again is not decided here.
 *
 * <p>By hand because Undertow's own client bounds no head (its MAX_HEADER_SIZE is the listener's
 * alone): one header name without end filled a heap of 48 MB within about 1 s, from 21 MB sent, and
 * held the thread that serves clients for up to 0.9 s of it. Here it ends after 8 KiB.
 */
final class HttpGetClient implements Closeable {
    /** Bytes: a head here holds a hundred or two, and so does a line between chunks. */
    private static final int MAX_HEAD_BYTES = 8 << 10;

    private static final int BUFFER_BYTES = 4 << 10;

    /**
     * Reads: what has come is read before time is judged, as a thread may have waited for its core
     * meanwhile. So past a limit each read still has 1 ms, for as often as the longest answer fills
     * the buffer and so many times more: for a head, the parts of an answer, and its end. It could
     * hurt where an answer trickles faster than that: it is given up so many ms late, some 70 for a
     * list of 256 KiB.
     */
    private static final int MIN_LATE_READS = 6;

    /**
     * The longest that connecting may take, the beginning of an answer from its question, the rest
     * of it from there, and all of it.
     */
    record Timeouts(Duration connect, Duration firstByte, Duration remainder, Duration total) {}

    private final String address;
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private int position;
    private int bufferLimit;

    /** When the whole answer has to be there, on the clock of System.nanoTime. */
    private long totalDeadlineNanos;

    /** When what is read next has to be there. */
    private long readDeadlineNanos;

    /** How often something may still be read once that has passed. */
    private int lateReadsLeft;

    private InputStream input;
    private volatile Socket socket;
    private boolean closed;

    HttpGetClient(String address) {
        this.address = address;
    }

    /**
     * The body of a 200 of up to so many bytes; an IOException says why there is none within these
     * limits.
     */
    byte[] get(String path, int longest, Timeouts limits) throws IOException {
        totalDeadlineNanos = System.nanoTime() + limits.total().toNanos();
        lateReadsLeft = MIN_LATE_READS + longest / BUFFER_BYTES;
        boolean whole = false;
        try {
            Socket to = socket;
            if (to == null) {
                readDeadlineNanos = deadlineAfter(limits.connect());
                to = connect();
            }
            to.getOutputStream()
                    .write(
                            ("GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            readDeadlineNanos = deadlineAfter(limits.firstByte());
            if (position == bufferLimit && !fillBuffer()) {
                throw new EOFException("closed before an answer");
            }
            readDeadlineNanos = deadlineAfter(limits.remainder());
            String[] status = readLine().split(" ", 3);
            if (!status[0].startsWith("HTTP/1.") || status.length < 2) {
                throw new IOException("not an answer of HTTP/1.1");
            }
            if (!status[1].equals("200")) {
                throw new IOException("status " + status[1]);
            }
            byte[] body = readBody(longest);
            whole = position == bufferLimit;
            return body;
        } catch (SocketTimeoutException e) {
            throw new IOException("no whole answer in time", e);
        } finally {
            if (!whole) {
                closeConnection();
            }
        }
    }

    private Socket connect() throws IOException {
        Socket opening = new Socket(Proxy.NO_PROXY);
        synchronized (this) {
            if (closed) {
                throw new IOException("closed");
            }
            socket = opening;
        }
        position = 0;
        bufferLimit = 0;
        opening.connect(RouterConfig.socketAddress(address), millisUntilReadDeadline());
        input = opening.getInputStream();
        return opening;
    }

    private long deadlineAfter(Duration limit) {
        return Math.min(totalDeadlineNanos, System.nanoTime() + limit.toNanos());
    }

    /**
     * What is left until what is read next is due, in ms; at least 1, also when that has passed.
     */
    private int millisUntilReadDeadline() {
        return (int) Math.max(1, (readDeadlineNanos - System.nanoTime()) / 1_000_000 + 1);
    }

    /** The next byte, or -1 at the end. */
    private int nextByte() throws IOException {
        return position < bufferLimit || fillBuffer() ? buffer[position++] & 0xff : -1;
    }

    private boolean fillBuffer() throws IOException {
        Socket from = socket;
        if (from == null) {
            throw new IOException("closed");
        }
        if (readDeadlineNanos - System.nanoTime() <= 0 && lateReadsLeft-- == 0) {
            throw new SocketTimeoutException();
        }
        from.setSoTimeout(millisUntilReadDeadline());
        position = 0;
        bufferLimit = Math.max(0, input.read(buffer));
        return bufferLimit > 0;
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        int next;
        while ((next = nextByte()) != '\n') {
            if (next < 0) {
                throw new EOFException("closed before the answer's end");
            }
            if (line.length() == MAX_HEAD_BYTES) {
                throw new IOException("a line of over " + MAX_HEAD_BYTES + " bytes");
            }
            line.append((char) next);
        }
        return line.toString().stripTrailing();
    }

    private byte[] readBody(int longest) throws IOException {
        long length = -1;
        boolean chunked = false;
        boolean kept = true;
        int head = 0;
        String line;
        while (!(line = readLine()).isEmpty()) {
            head += line.length();
            if (head > MAX_HEAD_BYTES) {
                throw new IOException("a head of over " + MAX_HEAD_BYTES + " bytes");
            }
            int colon = line.indexOf(':');
            String name = line.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT);
            String value = line.substring(colon + 1).strip();
            switch (name) {
                case "content-length" -> length = parseLength(value, 10);
                case "transfer-encoding" -> chunked = value.equalsIgnoreCase("chunked");
                case "connection" -> kept = !value.equalsIgnoreCase("close");
                default -> {}
            }
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (chunked) {
            long chunk;
            while ((chunk = parseLength(readLine().replaceFirst(";.*", "").strip(), 16)) > 0) {
                copyBody(body, chunk, longest);
                if (!readLine().isEmpty()) {
                    throw new IOException("a chunk that is longer than it says");
                }
            }
            if (!readLine().isEmpty()) {
                kept = false;
            }
        } else if (length >= 0) {
            copyBody(body, length, longest);
        } else {
            kept = false;
            while (position < bufferLimit || fillBuffer()) {
                copyBody(body, bufferLimit - position, longest);
            }
        }
        if (!kept) {
            closeConnection();
        }
        return body.toByteArray();
    }

    private static long parseLength(String digits, int radix) throws IOException {
        try {
            long size = Long.parseLong(digits, radix);
            if (size >= 0) {
                return size;
            }
        } catch (NumberFormatException e) {
            // Told below, as what it is.
        }
        throw new IOException("a length that can't be read");
    }

    private void copyBody(ByteArrayOutputStream body, long length, int longest) throws IOException {
        if (length > longest - body.size()) {
            throw new IOException("an answer of over " + longest + " bytes");
        }
        int missing = (int) length;
        while (missing > 0) {
            if (position == bufferLimit && !fillBuffer()) {
                throw new EOFException("closed before the answer's end");
            }
            int some = Math.min(missing, bufferLimit - position);
            body.write(buffer, position, some);
            position += some;
            missing -= some;
        }
    }

    /** Gives the connection back; what is asked next gets a new one. */
    private void closeConnection() {
        Socket dropped = socket;
        socket = null;
        if (dropped != null) {
            try {
                dropped.close();
            } catch (IOException e) {
                // It is given back all the same.
            }
        }
    }

    /** Breaks off a call that is out, at once, and lets none begin; may be called on any thread. */
    @Override
    public void close() {
        synchronized (this) {
            closed = true;
        }
        closeConnection();
    }
}
