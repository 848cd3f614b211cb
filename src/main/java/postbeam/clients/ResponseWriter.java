package postbeam.clients;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** Writes responses, on the I/O thread alone. */
final class ResponseWriter {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private ResponseWriter() {}

    /** One line of text. */
    static void sendText(HttpServerExchange exchange, int status, String line) {
        if (!exchange.isRequestComplete() && !isRemainderWithinLimit(exchange)) {
            // The library would read the rest of the request first, however much it is.
            ClientConnection.of(exchange).rejectAndClose(status, line);
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(line + "\n", StandardCharsets.UTF_8);
    }

    /** Whether what is left of the request has a stated length within the limit. */
    private static boolean isRemainderWithinLimit(HttpServerExchange exchange) {
        return RequestReader.lengthFits(exchange) && exchange.getRequestContentLength() >= 0;
    }

    /** A body of JSON, with status 200. */
    static void sendJson(HttpServerExchange exchange, byte[] json) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(json));
    }

    /** Adds Retry-After, in decimal seconds; to be called before the response is sent. */
    static void setRetryAfter(HttpServerExchange exchange, Duration delay) {
        exchange.getResponseHeaders()
                .put(Headers.RETRY_AFTER, String.valueOf(delay.toMillis() / MILLIS_PER_SECOND));
    }
}
