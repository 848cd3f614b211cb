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
 * Dispatches each request by its path and method. Runs on the I/O thread, which also responds to
 * health checks. Handlers run on a query thread, and each query is passed to a {@link
 * QueryExchange}.
 */
final class RequestDispatcher implements HttpHandler {
    private static final String HEALTH_PATH = "/healthz";

    private final ServerContext context;

    /** Handlers of the subsystems that the settings enable. */
    private Map<String, QueryServer.RequestHandler> handlersByPath = Map.of();

    RequestDispatcher(ServerContext context) {
        this.context = context;
    }

    /** Adds a handler for requests to a path. Call before the server starts. */
    void addHandler(String path, QueryServer.RequestHandler handler) {
        Map<String, QueryServer.RequestHandler> handlers = new LinkedHashMap<>(handlersByPath);
        handlers.put(path, handler);
        handlersByPath = handlers;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long receivedAtNanos = System.nanoTime();
        ClientConnection client = ClientConnection.of(exchange);
        client.headReceived(receivedAtNanos);
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    client.requestEnded();
                    next.proceed();
                });
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
            // Health checks are repeated until the router is ready. Their connections are closed so
            // that they do not use up the connection limit for clients.
            exchange.setPersistent(false);
        }
        String state = ready ? "ready" : "not ready";
        String warning = context.queries().warning().map(text -> "; " + text).orElse("");
        ResponseWriter.sendText(exchange, ready ? 200 : 503, state + firstLine(warning));
    }

    private void runHandler(
            HttpServerExchange exchange, QueryServer.RequestHandler handler, byte[] body) {
        context.connections().trackRequest(exchange);
        exchange.dispatch(context.queryThreads(), () -> respondFrom(exchange, handler, body));
    }

    /** Runs the handler on a query thread and sends the response on the I/O thread. */
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

    /** Returns the first segment of the path, which names the query class. */
    private static String queryClass(String path) {
        int end = path.indexOf('/', 1);
        return path.isEmpty() ? "" : path.substring(1, end < 0 ? path.length() : end);
    }

    /** Returns the first line of a message, as error responses are a single line. */
    static String firstLine(String message) {
        return message.lines().findFirst().orElse("");
    }
}
