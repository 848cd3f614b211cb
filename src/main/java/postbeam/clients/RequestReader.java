package postbeam.clients;

import io.undertow.server.HttpServerExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.channels.StreamSourceChannel;

/** Reads one request's body on the I/O thread, as it comes, up to the protocol's limit. */
final class RequestReader {
    /** Bytes: the protocol's limit for a body. */
    private static final long MAX_BODY_BYTES = 64 << 10;

    static final String BODY_TOO_LARGE = "the body is over 64 KiB";

    private final HttpServerExchange exchange;
    private final Consumer<byte[]> onComplete;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    private RequestReader(HttpServerExchange exchange, Consumer<byte[]> onComplete) {
        this.exchange = exchange;
        this.onComplete = onComplete;
    }

    /** Whether the stated length, if any, is within the limit. */
    static boolean lengthFits(HttpServerExchange exchange) {
        try {
            return exchange.getRequestContentLength() <= MAX_BODY_BYTES;
        } catch (NumberFormatException e) {
            // Only digits get so far: more of them than any number here has.
            return false;
        }
    }

    /** Hands the body over once its last byte is in; a body that can't be read is answered here. */
    static void readBody(HttpServerExchange exchange, Consumer<byte[]> onComplete) {
        new RequestReader(exchange, onComplete).read(exchange.getRequestChannel());
    }

    /**
     * Counts by itself: the HTTP library's own limit would print a trace for each body beyond it.
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
