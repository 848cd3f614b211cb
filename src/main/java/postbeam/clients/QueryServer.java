package postbeam.clients;

import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.xnio.ChannelListener;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.channels.Channels;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.PendingQuery;
import postbeam.dispatch.QueryAction;
import postbeam.errors.OperatorErrorException;
import postbeam.slices.UnroutableQueryException;

/**
 * Where clients connect: reads queries, gives each a thread, writes answers, and notices clients
 * that leave.
 */
public final class QueryServer implements HttpHandler {
    private static final System.Logger LOG = System.getLogger(QueryServer.class.getName());

    /** Bytes: the protocol's limit for a body. */
    private static final long MAX_BODY_BYTES = 64 << 10;

    private static final String TOO_LARGE = "the body is over 64 KiB";

    /** Bytes: heads here hold a few hundred; what is longer is no query. */
    private static final int MAX_HEAD_BYTES = 8 << 10;

    /** Bytes in a buffer of the HTTP library: a usual head or answer fits into one. */
    private static final int BUFFER_BYTES = 1024;

    /**
     * Buffers kept for the next request; a buffer is held only while bytes of a request are in it.
     */
    private static final int POOLED_BUFFERS = 64;

    /**
     * How long a connection may be without a whole request, from its opening or its last answer:
     * the clients' page lets one go after 2 s, and owes a bad client its end within 3 s of
     * connecting. Silent connections, heads that never end and bodies that don't come all end by
     * it; it could hurt a client that sends a query that slowly.
     */
    private static final Duration MAX_IDLE = Duration.ofMillis(2200);

    /**
     * Between looks for such connections: fine beside what is left of the 3 s, coarse beside a
     * turn.
     */
    private static final Duration REAP_INTERVAL = Duration.ofMillis(100);

    /**
     * Connections kept free, so that a client soon finds room while another one only stands idle.
     */
    private static final int RESERVED_CONNECTIONS = 8;

    /**
     * How long each is left to ask, however many connect: a client's first bytes follow its
     * connecting.
     */
    private static final Duration MIN_IDLE = Duration.ofMillis(200);

    /** Connections that the machine holds until they are accepted. */
    private static final int BACKLOG = 1000;

    /**
     * When a client may ask again that is ahead of the layout known here: watches tell it sooner,
     * mostly.
     */
    private static final Duration LAYOUT_RETRY_AFTER = Duration.ofMillis(200);

    /** How long a query's thread is kept for the next. */
    private static final Duration THREAD_KEEP_ALIVE = Duration.ofSeconds(30);

    /** What stands behind the door. */
    public interface QueryHandler {
        /** Takes a query so long after its first byte; null where one of its id is open. */
        PendingQuery submit(ClientRequest clientRequest, Duration age)
                throws UnroutableQueryException;

        boolean isReady();
    }

    /**
     * Answers a request that is no query, on a thread of the door's own; what can't be answered is
     * told in a line.
     */
    public interface RequestHandler {
        byte[] handle(byte[] body) throws IOException, OperatorErrorException;
    }

    private final QueryHandler queries;

    /** By path; empty where our own settings switch nothing on. */
    private Map<String, RequestHandler> handlersByPath = Map.of();

    private final Map<String, Duration> defaultTimeouts;
    private final Set<String> tenants;
    private final int shardCount;
    private final int maxConnections;
    private final XnioWorker worker;
    private final XnioIoThread ioThread;
    private final InetSocketAddress listenAddress;
    private final HttpOpenListener httpListener;

    /** The most rows of a page; 0 where no pages are given. */
    private int maxPageRows;

    private AcceptingChannel<StreamConnection> server;
    private final ExecutorService queryThreads;

    /** On the I/O thread alone: all that are open, those that have waited longest first. */
    private final Set<ClientConnection> connections = new LinkedHashSet<>();

    private volatile boolean draining;
    private volatile long drainDeadlineNanos;
    private volatile boolean closing;

    /** On the I/O thread alone: no connection is left that is between requests. */
    private boolean idleConnectionsClosed;

    /** The usual wait of a vertical is null where the settings state none. */
    public QueryServer(
            XnioWorker worker,
            InetSocketAddress listen,
            QueryHandler queries,
            Map<String, Duration> usualWaits,
            Set<String> owners,
            int shards,
            int connectionsMost) {
        this.queries = queries;
        this.worker = worker;
        this.ioThread = worker.getIoThread();
        this.listenAddress = listen;
        this.defaultTimeouts = usualWaits;
        this.tenants = owners;
        this.shardCount = shards;
        this.maxConnections = connectionsMost;
        // One for each connection, and as many again that are just ending: no query ever waits for
        // a thread.
        this.queryThreads =
                new ThreadPoolExecutor(
                        0,
                        2 * connectionsMost,
                        THREAD_KEEP_ALIVE.toMillis(),
                        TimeUnit.MILLISECONDS,
                        new SynchronousQueue<>(),
                        run -> new Thread(run, "query"));
        this.httpListener =
                new HttpOpenListener(
                        new DefaultByteBufferPool(false, BUFFER_BYTES, POOLED_BUFFERS, 0),
                        OptionMap.builder()
                                .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                                .set(UndertowOptions.MAX_ENTITY_SIZE, -1L)
                                .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .getMap());
        httpListener.setRootHandler(this);
    }

    /** Lets clients ask for pages of so many rows at most; to be called before it starts. */
    public void enablePages(int rowsMost) {
        maxPageRows = rowsMost;
    }

    /** Adds a form; to be called before it starts. */
    public void addHandler(String path, RequestHandler form) {
        Map<String, RequestHandler> more = new LinkedHashMap<>(handlersByPath);
        more.put(path, form);
        handlersByPath = more;
    }

    /** Starts to listen; an IOException tells why it can't. */
    public void start() throws IOException {
        ChannelListener<AcceptingChannel<StreamConnection>> accept = this::accept;
        server =
                worker.createStreamConnectionServer(
                        listenAddress,
                        accept,
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, BACKLOG)
                                .set(Options.CONNECTION_HIGH_WATER, maxConnections)
                                .set(Options.CONNECTION_LOW_WATER, maxConnections)
                                .getMap());
        server.resumeAccepts();
        ioThread.executeAfter(
                this::reapIdleConnections, REAP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** HOST:PORT that it listens on. */
    public String address() {
        InetSocketAddress at = server.getLocalAddress(InetSocketAddress.class);
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    // ---- connections

    /** True where there was one. */
    private boolean accept(AcceptingChannel<StreamConnection> from) {
        try {
            StreamConnection socket = from.accept();
            if (socket != null) {
                register(socket);
                return true;
            }
        } catch (IOException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "a client can''t be accepted: {0}",
                    e.getMessage());
        }
        return false;
    }

    private void register(StreamConnection socket) {
        ClientConnection connection = new ClientConnection(socket);
        connections.add(connection);
        socket.setCloseListener(
                closed -> {
                    connections.remove(connection);
                    IoUtils.safeClose(connection);
                });
        httpListener.handleEvent(connection);
    }

    /**
     * Takes this request so many times, one after the other, as from a client, through a pipe
     * within the program: before the first client comes, and with no socket. Each request is made
     * for an id of its own.
     */
    public void warmUp(Function<String, byte[]> request, int times, Duration most)
            throws IOException {
        ChannelPipe<StreamConnection, StreamConnection> pipe =
                worker.createFullDuplexPipeConnection();
        long end = System.nanoTime() + most.toNanos();
        try (StreamConnection client = pipe.getRightSide()) {
            ioThread.execute(() -> register(pipe.getLeftSide()));
            ByteBuffer answer = ByteBuffer.allocate(MAX_HEAD_BYTES);
            for (int i = 0; i < times && System.nanoTime() < end; i++) {
                Channels.writeBlocking(
                        client.getSinkChannel(), ByteBuffer.wrap(request.apply("rehearsal" + i)));
                Channels.readBlocking(
                        client.getSourceChannel(),
                        answer.clear(),
                        most.toMillis(),
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /**
     * Gives back connections without a whole request for too long. Guards against clients that take
     * connections and do not use them, by the hundred or one by one for good: where few are free,
     * those that never asked go sooner, then as many of the others as are needed, the longest idle
     * first. Where all are busy, further clients wait to be accepted. It could hurt a client that
     * is slow to ask while hundreds connect.
     */
    private void reapIdleConnections() {
        ioThread.executeAfter(
                this::reapIdleConnections, REAP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        closeIdle(connections.size(), MAX_IDLE, connection -> true);
        if (connections.size() + RESERVED_CONNECTIONS > maxConnections) {
            closeIdle(connections.size(), MIN_IDLE, connection -> !connection.hasRequested);
            closeIdle(
                    connections.size() + RESERVED_CONNECTIONS - maxConnections,
                    MIN_IDLE,
                    connection -> true);
        }
    }

    /**
     * Cuts up to so many that have waited for so long, the longest first. Each is looked at twice:
     * a request that has come but could not be read yet, because the router itself is late, is read
     * between the two looks.
     */
    private void closeIdle(int most, Duration waited, Predicate<ClientConnection> which) {
        long since = System.nanoTime() - waited.toNanos();
        List<ClientConnection> due =
                connections.stream()
                        .filter(
                                connection ->
                                        !connection.requestInProgress
                                                && connection.idleSinceNanos - since < 0
                                                && which.test(connection))
                        .limit(Math.max(0, most))
                        .toList();
        for (ClientConnection connection : due) {
            if (connection.markedForClose) {
                connection.closeImmediately();
            }
            connection.markedForClose = true;
        }
    }

    private static ClientConnection connection(HttpServerExchange exchange) {
        return (ClientConnection) ((HttpServerConnection) exchange.getConnection()).getChannel();
    }

    // ---- requests

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long begun = System.nanoTime();
        ClientConnection connection = connection(exchange);
        connection.markedForClose = false;
        if (connection.hasRequested) {
            connection.idleSinceNanos = begun;
        }
        if (closing) {
            exchange.setPersistent(false);
        }
        String path = exchange.getRequestPath();
        if (!bodyFits(exchange)) {
            respondWithText(exchange, 413, TOO_LARGE);
            return;
        }
        if (path.equals("/healthz")) {
            boolean ready = queries.isReady() && !draining;
            if (!ready) {
                // It is asked again and again, each time on a new connection: none is kept beside
                // the clients'.
                exchange.setPersistent(false);
            }
            respondWithText(exchange, ready ? 200 : 503, ready ? "ready" : "not ready");
            return;
        }
        RequestHandler form = handlersByPath.get(path);
        if (form != null) {
            readBody(
                    exchange,
                    exchange.getRequestChannel(),
                    new ByteArrayOutputStream(),
                    body -> answer(exchange, form, body));
            return;
        }
        int end = path.indexOf('/', 1);
        String vertical = path.isEmpty() ? "" : path.substring(1, end < 0 ? path.length() : end);
        if (!defaultTimeouts.containsKey(vertical)) {
            respondWithText(exchange, 404, "no such vertical");
        } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, "POST");
            respondWithText(exchange, 405, "queries are POSTed");
        } else {
            readBody(
                    exchange,
                    exchange.getRequestChannel(),
                    new ByteArrayOutputStream(),
                    body -> take(exchange, body, vertical, begun));
        }
    }

    /**
     * Reads on as long as the body fits; the library's own limit would print a trace for each that
     * does not.
     */
    private static void readBody(
            HttpServerExchange exchange,
            StreamSourceChannel from,
            ByteArrayOutputStream body,
            Consumer<byte[]> whole) {
        ByteBuffer some = ByteBuffer.allocate(BUFFER_BYTES);
        try {
            int got;
            while ((got = from.read(some.clear())) > 0 && body.size() <= MAX_BODY_BYTES) {
                body.write(some.array(), 0, got);
            }
            if (body.size() > MAX_BODY_BYTES) {
                connection(exchange).rejectAndClose(413, TOO_LARGE);
            } else if (got < 0) {
                whole.accept(body.toByteArray());
            } else {
                from.getReadSetter()
                        .set(
                                channel -> {
                                    channel.suspendReads();
                                    readBody(exchange, channel, body, whole);
                                });
                from.resumeReads();
            }
        } catch (IOException e) {
            connection(exchange).rejectAndClose(400, "the body can't be read");
        }
    }

    private void answer(HttpServerExchange exchange, RequestHandler form, byte[] body) {
        beginRequest(exchange);
        exchange.dispatch(
                queryThreads,
                () -> {
                    byte[] answer = null;
                    String wrong = "";
                    try {
                        answer = form.handle(body);
                    } catch (IOException | OperatorErrorException e) {
                        wrong = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
                    }
                    byte[] bytes = answer;
                    String why = wrong;
                    exchange.dispatch(
                            exchange.getIoThread(),
                            () -> {
                                if (bytes == null) {
                                    respondWithText(exchange, 400, why);
                                } else {
                                    exchange.getResponseHeaders()
                                            .put(Headers.CONTENT_TYPE, "application/json");
                                    exchange.getResponseSender().send(ByteBuffer.wrap(bytes));
                                }
                            });
                });
    }

    private static boolean bodyFits(HttpServerExchange exchange) {
        try {
            return exchange.getRequestContentLength() <= MAX_BODY_BYTES;
        } catch (NumberFormatException e) {
            // Only digits get so far: more of them than any number here has.
            return false;
        }
    }

    /** Counts the request as open until its answer is written. */
    private void beginRequest(HttpServerExchange exchange) {
        ClientConnection connection = connection(exchange);
        connection.requestInProgress = true;
        connection.hasRequested = true;
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    connection.requestInProgress = false;
                    connection.idleSinceNanos = System.nanoTime();
                    if (connections.remove(connection)) {
                        connections.add(connection);
                    }
                    next.proceed();
                    if (closing) {
                        // Nothing looks at it any more; what said that it is kept was told before
                        // the close.
                        IoUtils.safeClose(connection);
                    }
                });
    }

    /** The last byte has been read: the decisions see the query now, on this thread. */
    private void take(HttpServerExchange exchange, byte[] body, String vertical, long begun) {
        ClientRequest clientRequest;
        try {
            clientRequest =
                    QueryCodec.decode(
                            exchange,
                            body,
                            vertical,
                            tenants,
                            shardCount,
                            defaultTimeouts.get(vertical),
                            maxPageRows);
        } catch (IOException e) {
            respondWithText(exchange, 400, e.getMessage().lines().findFirst().orElse(""));
            return;
        }
        ClientConnection connection = connection(exchange);
        if (connection.isDisconnected()) {
            // It asked and went before the router, being late, came to it: nothing of it is to
            // begin.
            connection.closeImmediately();
            exchange.endExchange();
            return;
        }
        if (draining) {
            // What is still open when the program is ended would be lost.
            clientRequest =
                    clientRequest.withTimeoutAtMost(
                            Duration.ofNanos(Math.max(0, drainDeadlineNanos - begun)));
        }
        PendingQuery q;
        try {
            q = queries.submit(clientRequest, Duration.ofNanos(System.nanoTime() - begun));
        } catch (UnroutableQueryException e) {
            respondUnroutable(exchange, e);
            return;
        }
        if (q == null) {
            respondWithText(exchange, 400, "a query of this Req-Id is open");
            return;
        }
        beginRequest(exchange);
        q.setClientCheck(
                () -> {
                    if (connection.isDisconnected()) {
                        connection.closeImmediately();
                        q.clientDisconnected();
                    }
                });
        // Once this event is over: until then Undertow sets up and stops reading by itself. And
        // before the query's end
        // can be, whose turn comes by the same queue.
        ioThread.execute(() -> watchForDisconnect(exchange, q));
        exchange.dispatch(queryThreads, () -> serve(exchange, q));
    }

    /**
     * Nothing of it has run: the client may ask again, by the layout that is told, or after a wait.
     */
    private static void respondUnroutable(HttpServerExchange exchange, UnroutableQueryException e) {
        if (e.reason == UnroutableQueryException.Reason.LAYOUT_UNKNOWN) {
            exchange.getResponseHeaders()
                    .put(
                            Headers.RETRY_AFTER,
                            String.valueOf(LAYOUT_RETRY_AFTER.toMillis() / 1000.0));
        }
        respondWithText(
                exchange,
                switch (e.reason) {
                    case LAYOUT_EXPIRED -> 410;
                    case LAYOUT_UNKNOWN -> 503;
                    case UNKNOWN_SLICE -> 400;
                },
                e.getMessage());
    }

    /** Notices that the client closes its connection while its query is served. */
    private void watchForDisconnect(HttpServerExchange exchange, PendingQuery q) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        if (exchange.isComplete()) {
            return;
        }
        if (!connection.isOpen()) {
            q.clientDisconnected();
            return;
        }
        // The socket itself: the channel over it ends with the request's body, and then tells no
        // more.
        StreamSourceConduit socket = connection.getOriginalSourceConduit();
        ClientConnection client = connection(exchange);
        client.watched = true;
        connection
                .getChannel()
                .getSourceChannel()
                .setReadListener(
                        channel -> {
                            if (client.isDisconnected()) {
                                socket.suspendReads();
                                client.closeImmediately();
                                q.clientDisconnected();
                            }
                        });
        socket.resumeReads();
    }

    private void serve(HttpServerExchange exchange, PendingQuery q) {
        QueryAction last;
        try {
            last = q.serve();
        } catch (InterruptedException | RuntimeException | Error e) {
            LOG.log(System.Logger.Level.ERROR, "serving a query failed", e);
            q.clientDisconnected();
            last = new QueryAction.Abort();
        }
        QueryAction end = last;
        exchange.dispatch(exchange.getIoThread(), () -> respond(exchange, end));
    }

    private void respond(HttpServerExchange exchange, QueryAction last) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        connection.getOriginalSourceConduit().suspendReads();
        connection(exchange).watched = false;
        if (last instanceof QueryAction.ClientGone || !connection.isOpen()) {
            connection(exchange).closeImmediately();
            exchange.endExchange();
            return;
        }
        // What is sent on before the answer can't be kept in order: the query that was taken is
        // answered, and the
        // connection closed after it.
        if (closing || connection(exchange).pipelined) {
            exchange.setPersistent(false);
        }
        if (last instanceof QueryAction.Answer answer) {
            try {
                exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
                exchange.getResponseSender().send(ByteBuffer.wrap(QueryCodec.encode(answer)));
            } catch (IOException e) {
                LOG.log(System.Logger.Level.ERROR, "an answer can't be encoded", e);
                respondWithText(exchange, 500, "the answer can't be encoded");
            }
        } else if (last instanceof QueryAction.Reject reject) {
            if (!reject.retryAfter().isZero()) {
                exchange.getResponseHeaders()
                        .put(
                                Headers.RETRY_AFTER,
                                String.valueOf(reject.retryAfter().toMillis() / 1000.0));
            }
            respondWithText(exchange, 503, "rejected; asking again is harmless");
        } else if (last instanceof QueryAction.RejectWithReason refused) {
            LOG.log(System.Logger.Level.WARNING, refused.reason().message());
            respondWithText(exchange, 503, refused.reason().message());
        } else {
            respondWithText(exchange, 504, "aborted");
        }
    }

    private static void respondWithText(HttpServerExchange exchange, int status, String text) {
        if (!exchange.isRequestComplete()
                && !(bodyFits(exchange) && exchange.getRequestContentLength() >= 0)) {
            // The library would read the rest first, however much it is.
            connection(exchange).rejectAndClose(status, text);
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(text + "\n", StandardCharsets.UTF_8);
    }

    // ---- the way out

    /** From now on no query is to be open longer than until so long from now. */
    public void beginDraining(Duration end) {
        drainDeadlineNanos = System.nanoTime() + end.toNanos();
        draining = true;
    }

    /** Whether no client is connected; to be asked on the I/O thread. */
    public boolean hasNoConnections() {
        return connections.isEmpty();
    }

    /**
     * Whether it is closed and all requests are answered to their last byte; to be asked on the I/O
     * thread.
     */
    public boolean isDrained() {
        return idleConnectionsClosed
                && connections.stream().noneMatch(connection -> connection.requestInProgress);
    }

    /**
     * Takes no new connection, and closes those that are between requests; those in one after its
     * answer.
     */
    public void close() {
        closing = true;
        ioThread.execute(this::closeIdleConnections);
    }

    /**
     * Guards against requests on connections that the machine has accepted and the router, being
     * late, has not: closing the listener resets them. Bounded, as clients may connect without end.
     */
    private void closeListener() {
        for (int i = 0; server.isOpen() && i < BACKLOG && accept(server); i++) {
            // Each is looked at twice as the others are.
        }
        IoUtils.safeClose(server);
    }

    /**
     * Each is looked at twice, as in {@link #closeIdle}: clients send on every connection that
     * stays open, and what has come while the router is late is no crossing of its closing, but a
     * request that would get no answer.
     */
    private void closeIdleConnections() {
        closeListener();
        boolean again = false;
        for (ClientConnection connection : List.copyOf(connections)) {
            if (!connection.requestInProgress && connection.markedForClose) {
                IoUtils.safeClose(connection);
            } else if (!connection.requestInProgress) {
                connection.markedForClose = true;
                again = true;
            }
        }
        idleConnectionsClosed = !again;
        if (again) {
            // In two steps: where the thread is so late that the first is due at once, it has read
            // by the second.
            ioThread.executeAfter(
                    () ->
                            ioThread.executeAfter(
                                    this::closeIdleConnections,
                                    REAP_INTERVAL.toMillis() / 2,
                                    TimeUnit.MILLISECONDS),
                    REAP_INTERVAL.toMillis() / 2,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Gives the threads back, once all is answered. */
    public void stop() {
        queryThreads.shutdown();
    }
}
