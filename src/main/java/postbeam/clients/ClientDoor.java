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
import postbeam.dispatch.PendingQuery;
import postbeam.errors.ExplainedException;
import postbeam.router.Asked;
import postbeam.router.Step;
import postbeam.slices.Unroutable;

/**
 * Where clients connect: reads queries, gives each a thread, writes answers, and notices clients
 * that leave.
 */
public final class ClientDoor implements HttpHandler {
    private static final System.Logger LOG = System.getLogger(ClientDoor.class.getName());

    /** Bytes: the protocol's limit for a body. */
    private static final long LONGEST_BODY = 64 << 10;

    private static final String TOO_LARGE = "the body is over 64 KiB";

    /** Bytes: heads here hold a few hundred; what is longer is no query. */
    private static final int LONGEST_HEAD = 8 << 10;

    /** Bytes in a buffer of the HTTP library: a usual head or answer fits into one. */
    private static final int BUFFER = 1024;

    /**
     * Buffers kept for the next request; a buffer is held only while bytes of a request are in it.
     */
    private static final int BUFFERS_KEPT = 64;

    /**
     * How long a connection may be without a whole request, from its opening or its last answer:
     * the clients' page lets one go after 2 s, and owes a bad client its end within 3 s of
     * connecting. Silent connections, heads that never end and bodies that don't come all end by
     * it; it could hurt a client that sends a query that slowly.
     */
    private static final Duration WAIT_MOST = Duration.ofMillis(2200);

    /**
     * Between looks for such connections: fine beside what is left of the 3 s, coarse beside a
     * turn.
     */
    private static final Duration SWEEP = Duration.ofMillis(100);

    /**
     * Connections kept free, so that a client soon finds room while another one only stands idle.
     */
    private static final int KEPT_FREE = 8;

    /**
     * How long each is left to ask, however many connect: a client's first bytes follow its
     * connecting.
     */
    private static final Duration LEFT_TO_ASK = Duration.ofMillis(200);

    /** Connections that the machine holds until they are accepted. */
    private static final int BACKLOG = 1000;

    /**
     * When a client may ask again that is ahead of the layout known here: watches tell it sooner,
     * mostly.
     */
    private static final Duration LAYOUT_COMES = Duration.ofMillis(200);

    /** How long a query's thread is kept for the next. */
    private static final Duration THREAD_KEPT = Duration.ofSeconds(30);

    /** What stands behind the door. */
    public interface Queries {
        /** Takes a query so long after its first byte; null where one of its id is open. */
        PendingQuery take(Asked asked, Duration age) throws Unroutable;

        boolean ready();
    }

    /**
     * Answers a request that is no query, on a thread of the door's own; what can't be answered is
     * told in a line.
     */
    public interface Form {
        byte[] answer(byte[] body) throws IOException, ExplainedException;
    }

    private final Queries queries;

    /** By path; empty where our own settings switch nothing on. */
    private Map<String, Form> forms = Map.of();

    private final Map<String, Duration> usualWaits;
    private final Set<String> owners;
    private final int shards;
    private final int connectionsMost;
    private final XnioWorker worker;
    private final XnioIoThread io;
    private final InetSocketAddress listen;
    private final HttpOpenListener http;

    /** The most rows of a page; 0 where no pages are given. */
    private int pageRows;

    private AcceptingChannel<StreamConnection> server;
    private final ExecutorService threads;

    /** On the I/O thread alone: all that are open, those that have waited longest first. */
    private final Set<ClientConnection> connections = new LinkedHashSet<>();

    private volatile boolean leaving;
    private volatile long leaveAt;
    private volatile boolean closing;

    /** On the I/O thread alone: no connection is left that is between requests. */
    private boolean closed;

    /** The usual wait of a vertical is null where the settings state none. */
    public ClientDoor(
            XnioWorker worker,
            InetSocketAddress listen,
            Queries queries,
            Map<String, Duration> usualWaits,
            Set<String> owners,
            int shards,
            int connectionsMost) {
        this.queries = queries;
        this.worker = worker;
        this.io = worker.getIoThread();
        this.listen = listen;
        this.usualWaits = usualWaits;
        this.owners = owners;
        this.shards = shards;
        this.connectionsMost = connectionsMost;
        // One for each connection, and as many again that are just ending: no query ever waits for
        // a thread.
        this.threads =
                new ThreadPoolExecutor(
                        0,
                        2 * connectionsMost,
                        THREAD_KEPT.toMillis(),
                        TimeUnit.MILLISECONDS,
                        new SynchronousQueue<>(),
                        run -> new Thread(run, "query"));
        this.http =
                new HttpOpenListener(
                        new DefaultByteBufferPool(false, BUFFER, BUFFERS_KEPT, 0),
                        OptionMap.builder()
                                .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                                .set(UndertowOptions.MAX_ENTITY_SIZE, -1L)
                                .set(UndertowOptions.MAX_HEADER_SIZE, LONGEST_HEAD)
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .getMap());
        http.setRootHandler(this);
    }

    /** Lets clients ask for pages of so many rows at most; to be called before it starts. */
    public void pages(int rowsMost) {
        pageRows = rowsMost;
    }

    /** Adds a form; to be called before it starts. */
    public void form(String path, Form form) {
        Map<String, Form> more = new LinkedHashMap<>(forms);
        more.put(path, form);
        forms = more;
    }

    /** Starts to listen; an IOException tells why it can't. */
    public void start() throws IOException {
        ChannelListener<AcceptingChannel<StreamConnection>> accept = this::accept;
        server =
                worker.createStreamConnectionServer(
                        listen,
                        accept,
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, BACKLOG)
                                .set(Options.CONNECTION_HIGH_WATER, connectionsMost)
                                .set(Options.CONNECTION_LOW_WATER, connectionsMost)
                                .getMap());
        server.resumeAccepts();
        io.executeAfter(this::sweep, SWEEP.toMillis(), TimeUnit.MILLISECONDS);
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
                accepted(socket);
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

    private void accepted(StreamConnection socket) {
        ClientConnection connection = new ClientConnection(socket);
        connections.add(connection);
        socket.setCloseListener(
                closed -> {
                    connections.remove(connection);
                    IoUtils.safeClose(connection);
                });
        http.handleEvent(connection);
    }

    /**
     * Takes this request so many times, one after the other, as from a client, through a pipe
     * within the program: before the first client comes, and with no socket. Each request is made
     * for an id of its own.
     */
    public void rehearse(Function<String, byte[]> request, int times, Duration most)
            throws IOException {
        ChannelPipe<StreamConnection, StreamConnection> pipe =
                worker.createFullDuplexPipeConnection();
        long end = System.nanoTime() + most.toNanos();
        try (StreamConnection client = pipe.getRightSide()) {
            io.execute(() -> accepted(pipe.getLeftSide()));
            ByteBuffer answer = ByteBuffer.allocate(LONGEST_HEAD);
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
    private void sweep() {
        io.executeAfter(this::sweep, SWEEP.toMillis(), TimeUnit.MILLISECONDS);
        cut(connections.size(), WAIT_MOST, connection -> true);
        if (connections.size() + KEPT_FREE > connectionsMost) {
            cut(connections.size(), LEFT_TO_ASK, connection -> !connection.hasAsked);
            cut(connections.size() + KEPT_FREE - connectionsMost, LEFT_TO_ASK, connection -> true);
        }
    }

    /**
     * Cuts up to so many that have waited for so long, the longest first. Each is looked at twice:
     * a request that has come but could not be read yet, because the router itself is late, is read
     * between the two looks.
     */
    private void cut(int most, Duration waited, Predicate<ClientConnection> which) {
        long since = System.nanoTime() - waited.toNanos();
        List<ClientConnection> due =
                connections.stream()
                        .filter(
                                connection ->
                                        !connection.busy
                                                && connection.waitsSince - since < 0
                                                && which.test(connection))
                        .limit(Math.max(0, most))
                        .toList();
        for (ClientConnection connection : due) {
            if (connection.lookedAt) {
                connection.cut();
            }
            connection.lookedAt = true;
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
        connection.lookedAt = false;
        if (connection.hasAsked) {
            connection.waitsSince = begun;
        }
        if (closing) {
            exchange.setPersistent(false);
        }
        String path = exchange.getRequestPath();
        if (!lengthFits(exchange)) {
            say(exchange, 413, TOO_LARGE);
            return;
        }
        if (path.equals("/healthz")) {
            boolean ready = queries.ready() && !leaving;
            if (!ready) {
                // It is asked again and again, each time on a new connection: none is kept beside
                // the clients'.
                exchange.setPersistent(false);
            }
            say(exchange, ready ? 200 : 503, ready ? "ready" : "not ready");
            return;
        }
        Form form = forms.get(path);
        if (form != null) {
            read(
                    exchange,
                    exchange.getRequestChannel(),
                    new ByteArrayOutputStream(),
                    body -> answer(exchange, form, body));
            return;
        }
        int end = path.indexOf('/', 1);
        String vertical = path.isEmpty() ? "" : path.substring(1, end < 0 ? path.length() : end);
        if (!usualWaits.containsKey(vertical)) {
            say(exchange, 404, "no such vertical");
        } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, "POST");
            say(exchange, 405, "queries are POSTed");
        } else {
            read(
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
    private static void read(
            HttpServerExchange exchange,
            StreamSourceChannel from,
            ByteArrayOutputStream body,
            Consumer<byte[]> whole) {
        ByteBuffer some = ByteBuffer.allocate(BUFFER);
        try {
            int got;
            while ((got = from.read(some.clear())) > 0 && body.size() <= LONGEST_BODY) {
                body.write(some.array(), 0, got);
            }
            if (body.size() > LONGEST_BODY) {
                connection(exchange).turnAway(413, TOO_LARGE);
            } else if (got < 0) {
                whole.accept(body.toByteArray());
            } else {
                from.getReadSetter()
                        .set(
                                channel -> {
                                    channel.suspendReads();
                                    read(exchange, channel, body, whole);
                                });
                from.resumeReads();
            }
        } catch (IOException e) {
            connection(exchange).turnAway(400, "the body can't be read");
        }
    }

    private void answer(HttpServerExchange exchange, Form form, byte[] body) {
        begin(exchange);
        exchange.dispatch(
                threads,
                () -> {
                    byte[] answer = null;
                    String wrong = "";
                    try {
                        answer = form.answer(body);
                    } catch (IOException | ExplainedException e) {
                        wrong = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
                    }
                    byte[] bytes = answer;
                    String why = wrong;
                    exchange.dispatch(
                            exchange.getIoThread(),
                            () -> {
                                if (bytes == null) {
                                    say(exchange, 400, why);
                                } else {
                                    exchange.getResponseHeaders()
                                            .put(Headers.CONTENT_TYPE, "application/json");
                                    exchange.getResponseSender().send(ByteBuffer.wrap(bytes));
                                }
                            });
                });
    }

    private static boolean lengthFits(HttpServerExchange exchange) {
        try {
            return exchange.getRequestContentLength() <= LONGEST_BODY;
        } catch (NumberFormatException e) {
            // Only digits get so far: more of them than any number here has.
            return false;
        }
    }

    /** Counts the request as open until its answer is written. */
    private void begin(HttpServerExchange exchange) {
        ClientConnection connection = connection(exchange);
        connection.busy = true;
        connection.hasAsked = true;
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    connection.busy = false;
                    connection.waitsSince = System.nanoTime();
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
        Asked asked;
        try {
            asked =
                    QueryForm.read(
                            exchange,
                            body,
                            vertical,
                            owners,
                            shards,
                            usualWaits.get(vertical),
                            pageRows);
        } catch (IOException e) {
            say(exchange, 400, e.getMessage().lines().findFirst().orElse(""));
            return;
        }
        ClientConnection connection = connection(exchange);
        if (connection.hasLeft()) {
            // It asked and went before the router, being late, came to it: nothing of it is to
            // begin.
            connection.cut();
            exchange.endExchange();
            return;
        }
        if (leaving) {
            // What is still open when the program is ended would be lost.
            asked = asked.within(Duration.ofNanos(Math.max(0, leaveAt - begun)));
        }
        PendingQuery q;
        try {
            q = queries.take(asked, Duration.ofNanos(System.nanoTime() - begun));
        } catch (Unroutable e) {
            unroutable(exchange, e);
            return;
        }
        if (q == null) {
            say(exchange, 400, "a query of this Req-Id is open");
            return;
        }
        begin(exchange);
        q.clientCheck(
                () -> {
                    if (connection.hasLeft()) {
                        connection.cut();
                        q.clientLeft();
                    }
                });
        // Once this event is over: until then Undertow sets up and stops reading by itself. And
        // before the query's end
        // can be, whose turn comes by the same queue.
        io.execute(() -> watch(exchange, q));
        exchange.dispatch(threads, () -> serve(exchange, q));
    }

    /**
     * Nothing of it has run: the client may ask again, by the layout that is told, or after a wait.
     */
    private static void unroutable(HttpServerExchange exchange, Unroutable e) {
        if (e.reason == Unroutable.Reason.NOT_KNOWN_YET) {
            exchange.getResponseHeaders()
                    .put(Headers.RETRY_AFTER, String.valueOf(LAYOUT_COMES.toMillis() / 1000.0));
        }
        say(
                exchange,
                switch (e.reason) {
                    case NO_LONGER_KEPT -> 410;
                    case NOT_KNOWN_YET -> 503;
                    case NO_SUCH_SLICE -> 400;
                },
                e.getMessage());
    }

    /** Notices that the client closes its connection while its query is served. */
    private void watch(HttpServerExchange exchange, PendingQuery q) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        if (exchange.isComplete()) {
            return;
        }
        if (!connection.isOpen()) {
            q.clientLeft();
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
                            if (client.hasLeft()) {
                                socket.suspendReads();
                                client.cut();
                                q.clientLeft();
                            }
                        });
        socket.resumeReads();
    }

    private void serve(HttpServerExchange exchange, PendingQuery q) {
        Step last;
        try {
            last = q.serve();
        } catch (InterruptedException | RuntimeException | Error e) {
            LOG.log(System.Logger.Level.ERROR, "serving a query failed", e);
            q.clientLeft();
            last = new Step.Abort();
        }
        Step end = last;
        exchange.dispatch(exchange.getIoThread(), () -> end(exchange, end));
    }

    private void end(HttpServerExchange exchange, Step last) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        connection.getOriginalSourceConduit().suspendReads();
        connection(exchange).watched = false;
        if (last instanceof Step.Over || !connection.isOpen()) {
            connection(exchange).cut();
            exchange.endExchange();
            return;
        }
        // What is sent on before the answer can't be kept in order: the query that was taken is
        // answered, and the
        // connection closed after it.
        if (closing || connection(exchange).sentOn) {
            exchange.setPersistent(false);
        }
        if (last instanceof Step.Answer answer) {
            try {
                exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
                exchange.getResponseSender().send(ByteBuffer.wrap(QueryForm.write(answer)));
            } catch (IOException e) {
                LOG.log(System.Logger.Level.ERROR, "an answer can't be encoded", e);
                say(exchange, 500, "the answer can't be encoded");
            }
        } else if (last instanceof Step.Reject reject) {
            if (!reject.comeBack().isZero()) {
                exchange.getResponseHeaders()
                        .put(
                                Headers.RETRY_AFTER,
                                String.valueOf(reject.comeBack().toMillis() / 1000.0));
            }
            say(exchange, 503, "rejected; asking again is harmless");
        } else if (last instanceof Step.Refused refused) {
            LOG.log(System.Logger.Level.WARNING, refused.why().line());
            say(exchange, 503, refused.why().line());
        } else {
            say(exchange, 504, "aborted");
        }
    }

    private static void say(HttpServerExchange exchange, int status, String text) {
        if (!exchange.isRequestComplete()
                && !(lengthFits(exchange) && exchange.getRequestContentLength() >= 0)) {
            // The library would read the rest first, however much it is.
            connection(exchange).turnAway(status, text);
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(text + "\n", StandardCharsets.UTF_8);
    }

    // ---- the way out

    /** From now on no query is to be open longer than until so long from now. */
    public void leave(Duration end) {
        leaveAt = System.nanoTime() + end.toNanos();
        leaving = true;
    }

    /** Whether no client is connected; to be asked on the I/O thread. */
    public boolean unused() {
        return connections.isEmpty();
    }

    /**
     * Whether it is closed and all requests are answered to their last byte; to be asked on the I/O
     * thread.
     */
    public boolean idle() {
        return closed && connections.stream().noneMatch(connection -> connection.busy);
    }

    /**
     * Takes no new connection, and closes those that are between requests; those in one after its
     * answer.
     */
    public void close() {
        closing = true;
        io.execute(this::closeUnused);
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
     * Each is looked at twice, as in {@link #cut}: clients send on every connection that stays
     * open, and what has come while the router is late is no crossing of its closing, but a request
     * that would get no answer.
     */
    private void closeUnused() {
        closeListener();
        boolean again = false;
        for (ClientConnection connection : List.copyOf(connections)) {
            if (!connection.busy && connection.lookedAt) {
                IoUtils.safeClose(connection);
            } else if (!connection.busy) {
                connection.lookedAt = true;
                again = true;
            }
        }
        closed = !again;
        if (again) {
            // In two steps: where the thread is so late that the first is due at once, it has read
            // by the second.
            io.executeAfter(
                    () ->
                            io.executeAfter(
                                    this::closeUnused, SWEEP.toMillis() / 2, TimeUnit.MILLISECONDS),
                    SWEEP.toMillis() / 2,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Gives the threads back, once all is answered. */
    public void stop() {
        threads.shutdown();
    }
}
