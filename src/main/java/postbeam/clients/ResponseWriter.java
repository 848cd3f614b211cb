package postbeam.clients;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** Writes responses. Used only on the I/O thread. */
final class ResponseWriter {
    /** Reason of a 503 response to a request that is not accepted because of its size. */
    static final String OUT_OF_MEMORY =
            "too little memory for a request of this size; asking again is harmless";

    private static final double MILLIS_PER_SECOND = 1000.0;

    private ResponseWriter() {}

    /** Sends a plain-text response of one line. */
    static void sendText(HttpServerExchange exchange, int status, String line) {
        if (!exchange.isRequestComplete() && !isRemainderWithinLimit(exchange)) {
            // The HTTP library would first read the rest of the request, without a limit.
            ClientConnection.of(exchange).rejectAndClose(status, line);
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(line + "\n", StandardCharsets.UTF_8);
    }

    /** Returns whether the request states a length, and the length is within the limit. */
    private static boolean isRemainderWithinLimit(HttpServerExchange exchange) {
        return RequestReader.lengthFits(exchange) && exchange.getRequestContentLength() >= 0;
    }

    /** Sends a JSON response with status 200. */
    static void sendJson(HttpServerExchange exchange, byte[] json) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(json));
    }

    /** Sets Retry-After in decimal seconds. Call before the response is sent. */
    static void setRetryAfter(HttpServerExchange exchange, Duration delay) {
        exchange.getResponseHeaders()
                .put(Headers.RETRY_AFTER, String.valueOf(delay.toMillis() / MILLIS_PER_SECOND));
    }
}
