package postbeam.clients;

import io.undertow.server.HttpServerExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.channels.StreamSourceChannel;

/** Reads one request's body without blocking, on the I/O thread, up to the protocol's limit. */
final class RequestReader {
    /** The protocol's limit for a request body. */
    private static final long MAX_BODY_BYTES = 64 << 10;

    static final String BODY_TOO_LARGE = "the body is over 64 KiB";

    private final HttpServerExchange exchange;
    private final Consumer<byte[]> onComplete;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    private RequestReader(HttpServerExchange exchange, Consumer<byte[]> onComplete) {
        this.exchange = exchange;
        this.onComplete = onComplete;
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
        ByteBuffer buffer = ByteBuffer.allocate(QueryServer.BUFFER_BYTES);
        try {
            int count;
            while ((count = channel.read(buffer.clear())) > 0 && body.size() <= MAX_BODY_BYTES) {
                body.write(buffer.array(), 0, count);
            }
            if (body.size() > MAX_BODY_BYTES) {
                ClientConnection.of(exchange).rejectAndClose(413, BODY_TOO_LARGE);
            } else if (count < 0) {
                onComplete.accept(body.toByteArray());
            } else {
                resumeWhenReadable(channel);
            }
        } catch (IOException e) {
            ClientConnection.of(exchange).rejectAndClose(400, "the body can't be read");
        }
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
