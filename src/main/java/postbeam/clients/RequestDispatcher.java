package postbeam.clients;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import postbeam.errors.OperatorErrorException;

/**
 * Looks at each request's path and method on the I/O thread: health checks are answered there,
 * handlers run on a query thread, and queries become {@link QueryExchange}s.
 */
final class RequestDispatcher implements HttpHandler {
    private static final String HEALTH_PATH = "/healthz";

    private final ServerContext context;

    /** Empty unless our own settings switch a subsystem on. */
    private Map<String, QueryServer.RequestHandler> handlersByPath = Map.of();

    RequestDispatcher(ServerContext context) {
        this.context = context;
    }

    /** To be called before the server starts. */
    void addHandler(String path, QueryServer.RequestHandler handler) {
        Map<String, QueryServer.RequestHandler> handlers = new LinkedHashMap<>(handlersByPath);
        handlers.put(path, handler);
        handlersByPath = handlers;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long receivedAtNanos = System.nanoTime();
        ClientConnection.of(exchange).headReceived(receivedAtNanos);
        if (context.lifecycle().isClosing()) {
            exchange.setPersistent(false);
        }
        String path = exchange.getRequestPath();
        if (!RequestReader.lengthFits(exchange)) {
            ResponseWriter.sendText(exchange, 413, RequestReader.BODY_TOO_LARGE);
            return;
        }
        if (path.equals(HEALTH_PATH)) {
            respondToHealthCheck(exchange);
            return;
        }
        QueryServer.RequestHandler handler = handlersByPath.get(path);
        if (handler != null) {
            RequestReader.readBody(exchange, body -> runHandler(exchange, handler, body));
        } else {
            readQuery(exchange, queryClass(path), receivedAtNanos);
        }
    }

    private void respondToHealthCheck(HttpServerExchange exchange) {
        boolean ready = context.queries().isReady() && !context.lifecycle().isDraining();
        if (!ready) {
            // It is checked again and again, each time on a new connection: none is kept beside the
            // clients'.
            exchange.setPersistent(false);
        }
        ResponseWriter.sendText(exchange, ready ? 200 : 503, ready ? "ready" : "not ready");
    }

    private void runHandler(
            HttpServerExchange exchange, QueryServer.RequestHandler handler, byte[] body) {
        context.connections().trackRequest(exchange);
        exchange.dispatch(context.queryThreads(), () -> respondFrom(exchange, handler, body));
    }

    /** On a query thread: the response is sent on the I/O thread. */
    private static void respondFrom(
            HttpServerExchange exchange, QueryServer.RequestHandler handler, byte[] body) {
        Runnable response;
        try {
            byte[] json = handler.handle(body);
            response = () -> ResponseWriter.sendJson(exchange, json);
        } catch (IOException | OperatorErrorException e) {
            String message = firstLine(String.valueOf(e.getMessage()));
            response = () -> ResponseWriter.sendText(exchange, 400, message);
        }
        exchange.dispatch(exchange.getIoThread(), response);
    }

    private void readQuery(HttpServerExchange exchange, String queryClass, long receivedAtNanos) {
        if (!context.codec().hasQueryClass(queryClass)) {
            ResponseWriter.sendText(exchange, 404, "no such vertical");
        } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, "POST");
            ResponseWriter.sendText(exchange, 405, "queries are POSTed");
        } else {
            RequestReader.readBody(
                    exchange,
                    body ->
                            new QueryExchange(context, exchange, receivedAtNanos)
                                    .submit(body, queryClass));
        }
    }

    /** The first part of the path. */
    private static String queryClass(String path) {
        int end = path.indexOf('/', 1);
        return path.isEmpty() ? "" : path.substring(1, end < 0 ? path.length() : end);
    }

    /** Error texts are sent as one line, whatever the message holds. */
    static String firstLine(String message) {
        return message.lines().findFirst().orElse("");
    }
}
