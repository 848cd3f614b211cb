package postbeam.layoutservice;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import postbeam.config.RouterConfig;
import postbeam.errors.OperatorErrorException;

/**
 * The HTTP interface of the layout service: {@code GET /v1/layout}, which supports long polling,
 * and the requests of operators. Translates between HTTP and {@link LayoutController}; its only
 * state is the HTTP server.
 */
final class LayoutHttpServer implements Closeable {
    /** Large enough for a target layout of about 50,000 slices. */
    private static final long MAX_BODY_BYTES = 8L << 20;

    private static final int IO_THREADS = 1;
    private static final int WORKER_THREADS = 4;

    private final String listen;
    private final LayoutController controller;

    /** Null until the server is started. */
    private Undertow server;

    /** Creates a server that listens on HOST:PORT once it is {@link #start started}. */
    LayoutHttpServer(String listen, LayoutController controller) {
        this.listen = listen;
        this.controller = controller;
    }

    void start() {
        InetSocketAddress address = RouterConfig.socketAddress(listen);
        server =
                Undertow.builder()
                        .addHttpListener(address.getPort(), address.getHostString())
                        .setIoThreads(IO_THREADS)
                        .setWorkerThreads(WORKER_THREADS)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                        .setHandler(this::handle)
                        .build();
        server.start();
    }

    /** The HOST:PORT that the server listens on. */
    String address() {
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    public void close() {
        if (server != null) {
            server.stop();
        }
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        String route = exchange.getRequestMethod() + " " + exchange.getRequestPath();
        if (route.equals("GET /v1/layout")) {
            handleLayoutRequest(exchange);
        } else {
            new BlockingHandler(blocking -> handleOperatorRequest(blocking, route))
                    .handleRequest(exchange);
        }
    }

    // ---- requests for the layout

    private void handleLayoutRequest(HttpServerExchange exchange) {
        Map<String, Deque<String>> parameters = exchange.getQueryParameters();
        LayoutRequest request =
                new LayoutRequest(
                        QueryParameters.longValue(parameters, "index", 0),
                        QueryParameters.longValue(parameters, "wait", 0),
                        Optional.ofNullable(
                                QueryParameters.text(parameters, LayoutWatch.ROUTER_PARAMETER)),
                        QueryParameters.longValue(
                                parameters, LayoutWatch.HELD_VERSION_PARAMETER, 1),
                        new ExchangeResponder(exchange));
        if (!controller.answerLayoutRequest(request)) {
            exchange.dispatch(() -> controller.awaitNewerLayout(request));
        }
    }

    private record ExchangeResponder(HttpServerExchange exchange)
            implements LayoutRequest.Responder {
        @Override
        public void sendLayout(byte[] json) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            exchange.getResponseSender().send(ByteBuffer.wrap(json));
        }

        @Override
        public void sendUnavailable(String reason) {
            sendText(exchange, 503, reason);
        }

        @Override
        public void sendOverloaded(String reason) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
            sendText(exchange, 503, reason);
        }
    }

    // ---- requests of operators

    private void handleOperatorRequest(HttpServerExchange exchange, String route) {
        try {
            byte[] body = exchange.getInputStream().readAllBytes();
            sendText(
                    exchange,
                    200,
                    controller.handle(
                            new OperatorRequest(route, exchange.getQueryParameters(), body)));
        } catch (OperatorErrorException e) {
            sendText(exchange, 409, e.getMessage());
        } catch (RequestRejectedException e) {
            sendText(exchange, e.status(), e.getMessage());
        } catch (JournalWriteException e) {
            sendText(exchange, 500, e.getMessage());
        } catch (MoveJournal.LeadershipLostException e) {
            sendText(exchange, 503, e.getMessage());
        } catch (IllegalArgumentException | IOException e) {
            sendText(exchange, 400, String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    private static void sendText(HttpServerExchange exchange, int status, String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(text + "\n", StandardCharsets.UTF_8);
    }
}
