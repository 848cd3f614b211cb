package postbeam.clients;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import org.xnio.conduits.StreamSourceConduit;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.PendingQuery;
import postbeam.dispatch.QueryAction;
import postbeam.dispatch.ReusedRequestIdException;
import postbeam.slices.UnroutableQueryException;

/**
 * One query, from the last byte of its request to the first byte of its response. It is submitted
 * on the I/O thread, served on a query thread, and its response is sent on the I/O thread. While it
 * is served, the I/O thread monitors the connection for a disconnect of the client.
 */
final class QueryExchange {
    private static final System.Logger LOG = System.getLogger(QueryExchange.class.getName());

    /**
     * Retry-After for a client that uses a newer layout than this router, which usually receives
     * that layout sooner.
     */
    private static final Duration LAYOUT_RETRY_AFTER = Duration.ofMillis(200);

    private final ServerContext context;
    private final HttpServerExchange exchange;
    private final long receivedAtNanos;
    private final ClientConnection client;

    /** Whether the query has its result or was cancelled. Used only on the I/O thread. */
    private boolean ended;

    /**
     * Creates the exchange of one query.
     *
     * @param receivedAtNanos when the request's head was read, on the clock of {@link
     *     System#nanoTime}
     */
    QueryExchange(ServerContext context, HttpServerExchange exchange, long receivedAtNanos) {
        this.context = context;
        this.exchange = exchange;
        this.receivedAtNanos = receivedAtNanos;
        this.client = ClientConnection.of(exchange);
    }

    // ---- submitting

    /** Decodes the request and submits the query to the handler on the calling thread. */
    void submit(byte[] body, String queryClass) {
        ClientRequest request;
        try {
            request = context.codec().decode(exchange, body, queryClass);
        } catch (IOException e) {
            ResponseWriter.sendText(exchange, 400, RequestDispatcher.firstLine(e.getMessage()));
            return;
        }
        ClientConnection.ClientStatus status = client.checkClient();
        if (status != ClientConnection.ClientStatus.CONNECTED) {
            // No attempt may be started for a client that disconnected before the router, being
            // late, read the request.
            closeConnection(status);
            exchange.endExchange();
            return;
        }
        if (client.hasPipelined()) {
            // The rest of a request whose beginning was discarded must not be read as a request.
            exchange.setPersistent(false);
        }
        if (context.lifecycle().isDraining()) {
            // Queries that are open when the process ends would be lost.
            request = request.withTimeoutAtMost(context.lifecycle().drainTimeLeft(receivedAtNanos));
        }
        if (!client.requestMemory().resize(request.estimatedBytes())) {
            ResponseWriter.sendText(exchange, 503, ResponseWriter.OUT_OF_MEMORY);
            return;
        }
        PendingQuery query;
        try {
            query =
                    context.queries()
                            .submit(request, Duration.ofNanos(System.nanoTime() - receivedAtNanos));
        } catch (UnroutableQueryException e) {
            client.requestMemory().release();
            respondUnroutable(e);
            return;
        } catch (ReusedRequestIdException e) {
            client.requestMemory().release();
            ResponseWriter.sendText(exchange, 400, e.getMessage());
            return;
        }
        if (query == null) {
            client.requestMemory().release();
            ResponseWriter.sendText(exchange, 400, "a query of this Req-Id is open");
            return;
        }
        startServing(query);
    }

    /**
     * Rejects a query whose slices can't be translated. No attempt was started, so the client may
     * retry with the layout that the response names or after the Retry-After time.
     */
    private void respondUnroutable(UnroutableQueryException e) {
        if (e.reason == UnroutableQueryException.Reason.LAYOUT_UNKNOWN) {
            ResponseWriter.setRetryAfter(exchange, LAYOUT_RETRY_AFTER);
        }
        int status =
                switch (e.reason) {
                    case LAYOUT_EXPIRED -> 410;
                    case LAYOUT_UNKNOWN -> 503;
                    case UNKNOWN_SLICE -> 400;
                };
        ResponseWriter.sendText(exchange, status, e.getMessage());
    }

    private void startServing(PendingQuery query) {
        context.connections().trackRequest(exchange);
        query.setClientCheck(() -> checkClient(query));
        // Runs after the current event, during which Undertow itself changes the read listener and
        // suspends reads, and before the end of the query, which is dispatched to the same queue.
        context.ioThread().execute(() -> watchForDisconnect(query));
        exchange.dispatch(context.queryThreads(), () -> serve(query));
    }

    // ---- while it is served

    /**
     * Cancels the query and closes its connection if the client has disconnected, or if it sends so
     * much that a disconnect would be noticed late.
     */
    private void checkClient(PendingQuery query) {
        if (ended) {
            return;
        }
        ClientConnection.ClientStatus status = client.checkClient();
        if (status != ClientConnection.ClientStatus.CONNECTED) {
            ended = true;
            connection().getOriginalSourceConduit().suspendReads();
            closeConnection(status);
            query.clientDisconnected();
        }
    }

    private void closeConnection(ClientConnection.ClientStatus status) {
        if (status == ClientConnection.ClientStatus.FLOODING) {
            client.rejectAndClose(400, "too many bytes follow the request");
        } else {
            client.closeImmediately();
        }
    }

    private void watchForDisconnect(PendingQuery query) {
        if (exchange.isComplete()) {
            return;
        }
        HttpServerConnection connection = connection();
        if (!connection.isOpen()) {
            query.clientDisconnected();
            return;
        }
        // Reads the socket directly: the channel of the HTTP library ends with the request body
        // and does not report a later disconnect.
        StreamSourceConduit socket = connection.getOriginalSourceConduit();
        connection.getChannel().getSourceChannel().setReadListener(channel -> checkClient(query));
        socket.resumeReads();
    }

    private HttpServerConnection connection() {
        return (HttpServerConnection) exchange.getConnection();
    }

    /** Serves the query on a query thread and sends the result on the I/O thread. */
    private void serve(PendingQuery query) {
        QueryAction lastAction;
        try {
            lastAction = query.serve();
        } catch (InterruptedException | RuntimeException | Error e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "serving a query failed; its response is an abort",
                    e);
            query.clientDisconnected();
            lastAction = new QueryAction.Abort();
        }
        QueryAction result = lastAction;
        exchange.dispatch(exchange.getIoThread(), () -> finish(result));
    }

    // ---- responding

    private void finish(QueryAction result) {
        if (!client.isClosing()) {
            connection().getOriginalSourceConduit().suspendReads();
        }
        ended = true;
        if (result instanceof QueryAction.ClientDisconnected || !connection().isOpen()) {
            if (!client.isClosing()) {
                client.closeImmediately();
            }
            exchange.endExchange();
            return;
        }
        // Pipelined requests have been discarded while monitoring the connection, so the connection
        // is closed after this response.
        if (context.lifecycle().isClosing() || client.hasPipelined()) {
            exchange.setPersistent(false);
        }
        respond(result);
    }

    private void respond(QueryAction result) {
        if (result instanceof QueryAction.Answer answer) {
            respondWith(answer);
        } else if (result instanceof QueryAction.Reject reject) {
            if (!reject.retryAfter().isZero()) {
                ResponseWriter.setRetryAfter(exchange, reject.retryAfter());
            }
            ResponseWriter.sendText(exchange, 503, "rejected; asking again is harmless");
        } else if (result instanceof QueryAction.RejectWithReason rejection) {
            LOG.log(System.Logger.Level.WARNING, rejection.reason().message());
            ResponseWriter.sendText(exchange, 503, rejection.reason().message());
        } else {
            ResponseWriter.sendText(exchange, 504, "aborted");
        }
    }

    private void respondWith(QueryAction.Answer answer) {
        byte[] json;
        try {
            json = QueryCodec.encode(answer);
        } catch (UncheckedIOException e) {
            LOG.log(System.Logger.Level.ERROR, "can't encode the response of a query", e);
            ResponseWriter.sendText(exchange, 500, "the answer can't be encoded");
            return;
        }
        ResponseWriter.sendJson(exchange, json);
    }
}
