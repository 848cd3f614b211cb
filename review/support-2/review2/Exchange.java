package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** One request of a client on a connection of its own, and its answer. */
final class Exchange {
    /** How a request went that was not answered. */
    static final int NOTHING = 0;

    static final int CLOSED = -1;
    static final int NOT_CONNECTED = -2;

    final String id;
    final long begun = System.nanoTime();
    private final Trace trace;
    private final boolean traced;
    private final int port;
    private final Socket socket = new Socket();

    /** When the last byte was written; 0 before. */
    long sentAt;

    /** The answer's status, or one of the constants above. */
    int status = NOTHING;

    String body = "";
    long answeredAt;

    Exchange(Trace trace, int port, String id, boolean traced) {
        this.trace = trace;
        this.port = port;
        this.id = id;
        this.traced = traced;
        try {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        } catch (IOException e) {
            status = NOT_CONNECTED;
            log("can't connect: " + e.getMessage());
        }
    }

    /** The head and body of a query in the form of PROTOCOL.md. */
    static String query(String vertical, String id, int deadlineMillis, int shard, String text) {
        return query(vertical, id, deadlineMillis, shard, text.getBytes(StandardCharsets.UTF_8));
    }

    /** The same with the bytes of a predicate as they are; one char of the result is one byte. */
    static String query(String vertical, String id, int deadlineMillis, int shard, byte[] text) {
        String body =
                "{\"ranges\":[{\"range\":"
                        + shard
                        + ",\"portion\":1}],\"predicate\":\""
                        + new String(text, StandardCharsets.ISO_8859_1)
                        + "\"}";
        return "POST /"
                + vertical
                + "?obj=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: "
                + id
                + "\r\nReq-Owner: acme\r\nReq-Deadline-Ms: "
                + deadlineMillis
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Sends the request, or a piece of it. */
    void send(String text) {
        if (status == NOT_CONNECTED) {
            return;
        }
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            sentAt = System.nanoTime();
        } catch (IOException e) {
            status = CLOSED;
            log("the connection was closed while it was sent");
        }
    }

    /** Waits for the answer, until so long after the last byte was sent. */
    Exchange await(long millis) {
        if (status != NOTHING) {
            return this;
        }
        StringBuilder text = new StringBuilder();
        byte[] buffer = new byte[4096];
        try (socket) {
            InputStream in = socket.getInputStream();
            while (!isWhole(text)) {
                long left = millis - (System.nanoTime() - sentAt) / 1_000_000;
                if (left <= 0) {
                    throw new SocketTimeoutException();
                }
                socket.setSoTimeout((int) left);
                int count = in.read(buffer);
                if (count < 0) {
                    throw new IOException("closed");
                }
                // One char for each byte, as the length counts bytes.
                text.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
            }
            answeredAt = System.nanoTime();
            status = Integer.parseInt(text.substring(9, 12));
            byte[] bytes =
                    text.substring(text.indexOf("\r\n\r\n") + 4)
                            .getBytes(StandardCharsets.ISO_8859_1);
            body = new String(bytes, StandardCharsets.UTF_8).strip();
            log("is answered " + status + " " + body);
        } catch (SocketTimeoutException e) {
            log("has no answer " + millis + " ms after its last byte");
        } catch (IOException e) {
            status = CLOSED;
            log("has its connection closed without an answer");
        }
        return this;
    }

    private static boolean isWhole(StringBuilder text) {
        int end = text.indexOf("\r\n\r\n");
        if (end < 0) {
            return false;
        }
        String head = text.substring(0, end).toLowerCase(java.util.Locale.ROOT);
        int at = head.indexOf("content-length:");
        if (at < 0) {
            return true;
        }
        int lineEnd = head.indexOf('\r', at);
        String length = head.substring(at + 15, lineEnd < 0 ? head.length() : lineEnd).strip();
        return text.length() >= end + 4 + Integer.parseInt(length);
    }

    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    private void log(String what) {
        if (traced) {
            trace.line("query " + id + " " + what);
        }
    }
}
