package postbeam.discovery;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.util.Locale;

/** Reads one HTTP/1.1 response, bounded in head and body. */
final class HttpResponseReader {
    /** Bytes: a head here holds a hundred or two, and so does a line between chunks. */
    private static final int MAX_HEAD_BYTES = 8 << 10;

    private static final String STATUS_OK = "200";
    private static final int UNKNOWN_LENGTH = -1;

    private final DeadlineInput input;
    private final int maxBodyBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private long contentLength = UNKNOWN_LENGTH;
    private boolean chunked;
    private boolean keepAlive = true;

    HttpResponseReader(DeadlineInput input, int maxBodyBytes) {
        this.input = input;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Reads it to its end.
     *
     * @return the body
     * @throws IOException if it has another status, breaks off, is malformed or longer than it may
     *     be
     */
    byte[] read() throws IOException {
        readStatus();
        readHeaders();
        if (chunked) {
            readChunks();
        } else if (contentLength >= 0) {
            readBody(contentLength);
        } else {
            readUntilClosed();
        }
        return body.toByteArray();
    }

    /** Whether the connection may be used again, once the response is read. */
    boolean isConnectionReusable() {
        return keepAlive && input.isBufferEmpty();
    }

    private void readStatus() throws IOException {
        String[] status = readLine().split(" ", 3);
        if (!status[0].startsWith("HTTP/1.") || status.length < 2) {
            throw new IOException("not an answer of HTTP/1.1");
        }
        if (!status[1].equals(STATUS_OK)) {
            throw new IOException("status " + status[1]);
        }
    }

    private void readHeaders() throws IOException {
        int headBytes = 0;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            headBytes += line.length();
            if (headBytes > MAX_HEAD_BYTES) {
                throw new IOException("a head of over " + MAX_HEAD_BYTES + " bytes");
            }
            int colon = line.indexOf(':');
            String name = line.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT);
            processHeader(name, line.substring(colon + 1).strip());
        }
    }

    private void processHeader(String name, String value) throws IOException {
        switch (name) {
            case "content-length" -> contentLength = parseLength(value, 10);
            case "transfer-encoding" -> chunked = value.equalsIgnoreCase("chunked");
            case "connection" -> keepAlive = !value.equalsIgnoreCase("close");
            default -> {
                // Nothing else matters here.
            }
        }
    }

    private void readChunks() throws IOException {
        long length;
        while ((length = readChunkLength()) > 0) {
            readBody(length);
            if (!readLine().isEmpty()) {
                throw new IOException("a chunk that is longer than it says");
            }
        }
        if (!readLine().isEmpty()) {
            // Trailers are not read: what follows them could not be told from them.
            keepAlive = false;
        }
    }

    private long readChunkLength() throws IOException {
        return parseLength(readLine().replaceFirst(";.*", "").strip(), 16);
    }

    private void readUntilClosed() throws IOException {
        keepAlive = false;
        while (input.hasMore()) {
            readBody(input.buffered());
        }
    }

    private void readBody(long length) throws IOException {
        if (length > maxBodyBytes - body.size()) {
            throw new IOException("an answer of over " + maxBodyBytes + " bytes");
        }
        input.copyTo(body, (int) length);
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        int next;
        while ((next = input.next()) != '\n') {
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

    private static long parseLength(String digits, int radix) throws IOException {
        try {
            long length = Long.parseLong(digits, radix);
            if (length >= 0) {
                return length;
            }
        } catch (NumberFormatException e) {
            // Reported below, as a negative length is.
        }
        throw new IOException("a length that can't be read");
    }
}
