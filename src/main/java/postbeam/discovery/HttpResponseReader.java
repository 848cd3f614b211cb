package postbeam.discovery;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;
import java.util.Set;

/** Reads one HTTP/1.1 response and limits the size of its head and body. */
final class HttpResponseReader {
    /** Limit for the head and for each line; usual heads and chunk lines have 100 to 200 bytes. */
    private static final int MAX_HEAD_BYTES = 8 << 10;

    /** Limit for the part of a malformed value that an error message quotes. */
    private static final int MAX_QUOTED_CHARS = 40;

    private static final String STATUS_OK = "200";

    /** Statuses of a server that rejects requests because there are too many. */
    private static final Set<String> OVERLOADED = Set.of("429", "503");

    private static final int UNKNOWN_LENGTH = -1;

    private final DeadlineInput input;
    private final int maxBodyBytes;
    private final ResponseBody body = new ResponseBody();
    private long contentLength = UNKNOWN_LENGTH;
    private boolean chunked;
    private boolean keepAlive = true;

    HttpResponseReader(DeadlineInput input, int maxBodyBytes) {
        this.input = input;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Reads the complete response.
     *
     * @return the body
     * @throws IOException if the status is not 200, or the response is incomplete, malformed or too
     *     long
     */
    InputStream read() throws IOException {
        readStatus();
        readHeaders();
        if (chunked) {
            readChunks();
        } else if (contentLength >= 0) {
            readBody(contentLength);
        } else {
            readUntilClosed();
        }
        return body.toInputStream();
    }

    /** Returns whether the connection can be reused after the response was read completely. */
    boolean isConnectionReusable() {
        return keepAlive && input.isBufferEmpty();
    }

    private void readStatus() throws IOException {
        String[] status = readLine().split(" ", 3);
        if (!status[0].startsWith("HTTP/1.") || status.length < 2) {
            throw new UnusableResponseException(
                    "response must start with an HTTP/1.x status line, but its first word is "
                            + status[0]
                                    .substring(0, Math.min(status[0].length(), MAX_QUOTED_CHARS))
                                    .replaceAll("\\p{Cc}", "?"));
        }
        if (OVERLOADED.contains(status[1])) {
            throw new IOException("the server is overloaded, HTTP status " + status[1]);
        }
        if (!status[1].equals(STATUS_OK)) {
            throw new UnusableResponseException(
                    "expected HTTP status 200, received "
                            + (status[1].matches("[0-9]{3}") ? status[1] : "a malformed status"));
        }
    }

    private void readHeaders() throws IOException {
        int headBytes = 0;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            headBytes += line.length();
            if (headBytes > MAX_HEAD_BYTES) {
                throw new UnusableResponseException(
                        "response head is longer than " + MAX_HEAD_BYTES + " bytes");
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
                // Other headers do not affect how the response is read.
            }
        }
    }

    private void readChunks() throws IOException {
        long length;
        while ((length = readChunkLength()) > 0) {
            readBody(length);
            if (!readLine().isEmpty()) {
                throw new UnusableResponseException(
                        "chunk of " + length + " bytes is not followed by a line end");
            }
        }
        if (!readLine().isEmpty()) {
            // Trailers are not parsed, so the connection is closed: the end of the response is
            // unknown.
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
            throw new UnusableResponseException(
                    "response body has "
                            + (body.size() + length)
                            + (chunked ? " bytes or more" : " bytes")
                            + ", the limit is "
                            + maxBodyBytes);
        }
        input.copyTo(body, (int) length);
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        int next;
        while ((next = input.next()) != '\n') {
            if (next < 0) {
                throw new EOFException("connection closed within a header or chunk line");
            }
            if (line.length() == MAX_HEAD_BYTES) {
                throw new UnusableResponseException(
                        "response line is longer than " + MAX_HEAD_BYTES + " bytes");
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
            // Reported below, like a negative length.
        }
        throw new UnusableResponseException(
                "content or chunk length must be an integer of 0 or more in base "
                        + radix
                        + ", not "
                        + digits.substring(0, Math.min(digits.length(), MAX_QUOTED_CHARS))
                                .replaceAll("\\p{Cc}", "?"));
    }
}
