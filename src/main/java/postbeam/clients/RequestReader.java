package postbeam.clients;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.function.Consumer;
import org.xnio.channels.StreamSourceChannel;

/** Reads one request's body without blocking, on the I/O thread, up to the protocol's limit. */
final class RequestReader {
    /** The protocol's limit for a request body. */
    static final long MAX_BODY_BYTES = 64 << 10;

    static final String BODY_TOO_LARGE = "the body is over 64 KiB";

    private final Consumer<byte[]> onComplete;
    private final ClientConnection client;
    private final RequestBody body;

    private RequestReader(HttpServerExchange exchange, Consumer<byte[]> onComplete) {
        this.onComplete = onComplete;
        this.client = ClientConnection.of(exchange);
        this.body = new RequestBody(client.requestMemory());
    }

    /** Returns whether the Content-Length is within the limit; true if none is stated. */
    static boolean lengthFits(HttpServerExchange exchange) {
        try {
            return exchange.getRequestContentLength() <= MAX_BODY_BYTES;
        } catch (NumberFormatException e) {
            // Undertow accepts only digits in Content-Length, so the number is too large for a
            // long.
            return false;
        }
    }

    /**
     * Reads the body and passes it to the consumer once it is complete. If it is too large or can't
     * be read, sends an error response instead.
     */
    static void readBody(HttpServerExchange exchange, Consumer<byte[]> onComplete) {
        new RequestReader(exchange, onComplete).read(exchange.getRequestChannel());
    }

    /**
     * Reads the available bytes and continues when more arrive. The size is checked here because
     * the HTTP library logs a stack trace for each body over its own limit.
     */
    private void read(StreamSourceChannel channel) {
        try {
            int count = readAvailable(channel);
            if (body.size() > MAX_BODY_BYTES) {
                reject(413, BODY_TOO_LARGE);
            } else if (count < 0) {
                onComplete.accept(body.takeBytes());
            } else if (count > 0) {
                reject(503, ResponseWriter.OUT_OF_MEMORY);
            } else {
                resumeWhenReadable(channel);
            }
        } catch (IOException e) {
            reject(400, "the body can't be read");
        }
    }

    /**
     * Reads until nothing is available or the body is too large or no memory is left for it.
     *
     * @return the result of the last read, which is positive only if reading was broken off
     */
    private int readAvailable(StreamSourceChannel channel) throws IOException {
        int count = 1;
        while (count > 0 && body.size() <= MAX_BODY_BYTES && body.ensureSpace()) {
            count = body.read(channel);
        }
        return count;
    }

    private void reject(int status, String reason) {
        // The connection lingers, and refers to this reader meanwhile.
        body.discard();
        client.rejectAndClose(status, reason);
    }

    private void resumeWhenReadable(StreamSourceChannel channel) {
        channel.getReadSetter()
                .set(
                        readable -> {
                            readable.suspendReads();
                            read(readable);
                        });
        channel.resumeReads();
    }
}
