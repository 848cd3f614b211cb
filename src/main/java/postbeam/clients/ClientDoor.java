package postbeam.clients;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.conduits.StreamSourceConduit;
import postbeam.router.Asked;
import postbeam.router.OpenQuery;
import postbeam.router.Step;

/** Where clients connect: reads queries, gives each a thread, writes answers, and notices clients that leave. */
public final class ClientDoor implements HttpHandler {
    private static final System.Logger LOG = System.getLogger(ClientDoor.class.getName());
    /** Bytes: the protocol's limit for a body. */
    private static final long LONGEST_BODY = 64 << 10;
    /** How long a query's thread is kept for the next. */
    private static final Duration THREAD_KEPT = Duration.ofSeconds(30);
    /** How long a body may take to come where the settings state no wait for its vertical. */
    private static final Duration LONGEST_READ = Duration.ofSeconds(60);

    /** What stands behind the door. */
    public interface Queries {
        /** Takes a query so long after its first byte; null where one of its id is open. */
        OpenQuery take(Asked asked, Duration age);

        /** Serves it to its end, on the calling thread. */
        Step serve(OpenQuery q) throws InterruptedException;

        void left(OpenQuery q);

        boolean ready();
    }

    private final Queries queries;
    private final Map<String, Duration> usualWaits;
    private final Set<String> owners;
    private final int shards;
    private final int connectionsMost;
    private final XnioIoThread io;
    private final Undertow server;
    private final ExecutorService threads;
    /** On the I/O thread alone: the connections that have brought a request, and those that are at one. */
    private final Set<ServerConnection> connections = new HashSet<>();
    private final Set<ServerConnection> busy = new HashSet<>();
    private volatile boolean leaving;

    /** The usual wait of a vertical is null where the settings state none. */
    public ClientDoor(XnioWorker worker, String host, int port, Queries queries, Map<String, Duration> usualWaits,
            Set<String> owners, int shards, int connectionsMost) {
        this.queries = queries;
        this.io = worker.getIoThread();
        this.usualWaits = usualWaits;
        this.owners = owners;
        this.shards = shards;
        this.connectionsMost = connectionsMost;
        // One for each connection, and as many again that are just ending: no query ever waits for a thread.
        this.threads = new ThreadPoolExecutor(0, 2 * connectionsMost, THREAD_KEPT.toMillis(), TimeUnit.MILLISECONDS,
                new SynchronousQueue<>(), run -> new Thread(run, "query"));
        this.server = Undertow.builder().setWorker(worker).addHttpListener(port, host).setHandler(this)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, connectionsMost)
                .setSocketOption(Options.CONNECTION_LOW_WATER, connectionsMost)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, LONGEST_BODY)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .build();
    }

    /** Starts to listen; a RuntimeException tells why it can't. */
    public void start() {
        server.start();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long begun = System.nanoTime();
        begin(exchange);
        String path = exchange.getRequestPath();
        if (path.equals("/healthz")) {
            boolean ready = queries.ready() && !leaving;
            say(exchange, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
            return;
        }
        int end = path.indexOf('/', 1);
        String vertical = path.isEmpty() ? "" : path.substring(1, end < 0 ? path.length() : end);
        if (!usualWaits.containsKey(vertical)) {
            say(exchange, 404, "no such vertical\n");
        } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, "POST");
            say(exchange, 405, "queries are POSTed\n");
        } else {
            Duration usual = usualWaits.get(vertical);
            XnioExecutor.Key slow = exchange.getIoThread().executeAfter(
                    () -> IoUtils.safeClose(exchange.getConnection()),
                    (usual == null ? LONGEST_READ : usual).toMillis(), TimeUnit.MILLISECONDS);
            exchange.getRequestReceiver().receiveFullBytes((read, body) -> {
                slow.remove();
                take(read, body, vertical, begun);
            }, (failed, e) -> {
                slow.remove();
                unread(failed, e);
            });
        }
    }

    /** Counts the request until its answer is written. */
    private void begin(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        busy.add(connection);
        if (connections.add(connection)) {
            if (connections.size() == connectionsMost) {
                LOG.log(System.Logger.Level.WARNING, "as many client connections as descriptors and memory allow: "
                        + "{0}; further ones wait to be accepted", connectionsMost);
            }
            connection.addCloseListener(closed -> {
                connections.remove(closed);
                busy.remove(closed);
            });
        }
        exchange.addExchangeCompleteListener((done, next) -> {
            busy.remove(connection);
            next.proceed();
        });
        if (leaving) {
            exchange.setPersistent(false);
        }
    }

    private void unread(HttpServerExchange exchange, IOException e) {
        if (e instanceof RequestTooBigException) {
            exchange.setPersistent(false);
            say(exchange, 413, "the body is over 64 KiB\n");
        } else {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    /** The last byte has been read: the decisions see the query now, on this thread. */
    private void take(HttpServerExchange exchange, byte[] body, String vertical, long begun) {
        Asked asked;
        try {
            asked = QueryForm.read(exchange, body, vertical, owners, shards, usualWaits.get(vertical));
        } catch (IOException e) {
            say(exchange, 400, e.getMessage().lines().findFirst().orElse("") + "\n");
            return;
        }
        OpenQuery q = queries.take(asked, Duration.ofNanos(System.nanoTime() - begun));
        if (q == null) {
            say(exchange, 400, "a query of this Req-Id is open\n");
            return;
        }
        exchange.dispatch(threads, () -> serve(exchange, q));
        // Once this event is over: until then Undertow sets up and stops reading by itself.
        io.execute(() -> watch(exchange, q));
    }

    /** Notices that the client closes its connection while its query is served. */
    private void watch(HttpServerExchange exchange, OpenQuery q) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        if (exchange.isComplete()) {
            return;
        }
        if (!connection.isOpen()) {
            queries.left(q);
            return;
        }
        ByteBuffer one = ByteBuffer.allocate(1);
        // The socket itself: the channel over it ends with the request's body, and then tells no more.
        StreamSourceConduit socket = connection.getOriginalSourceConduit();
        connection.getChannel().getSourceChannel().setReadListener(channel -> {
            try {
                int got = socket.read(one);
                if (got == 0) {
                    return;
                }
                if (got > 0) {
                    // A client that sends on before its answer is in: its bytes can't be kept in order.
                    LOG.log(System.Logger.Level.WARNING, "a client sent on before its answer; it is cut off");
                }
            } catch (IOException e) {
                LOG.log(System.Logger.Level.DEBUG, "a client''s connection broke: {0}", e.getMessage());
            }
            socket.suspendReads();
            IoUtils.safeClose(connection);
            queries.left(q);
        });
        socket.resumeReads();
    }

    private void serve(HttpServerExchange exchange, OpenQuery q) {
        Step last;
        try {
            last = queries.serve(q);
        } catch (InterruptedException | RuntimeException | Error e) {
            LOG.log(System.Logger.Level.ERROR, "serving a query failed", e);
            queries.left(q);
            last = new Step.Abort();
        }
        Step end = last;
        exchange.dispatch(exchange.getIoThread(), () -> end(exchange, end));
    }

    private void end(HttpServerExchange exchange, Step last) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        connection.getOriginalSourceConduit().suspendReads();
        if (last instanceof Step.Over || !connection.isOpen()) {
            IoUtils.safeClose(connection);
            exchange.endExchange();
            return;
        }
        if (leaving) {
            exchange.setPersistent(false);
        }
        if (last instanceof Step.Answer answer) {
            try {
                exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
                exchange.getResponseSender().send(ByteBuffer.wrap(QueryForm.write(answer)));
            } catch (IOException e) {
                LOG.log(System.Logger.Level.ERROR, "an answer can't be encoded", e);
                say(exchange, 500, "the answer can't be encoded\n");
            }
        } else if (last instanceof Step.Reject reject) {
            if (!reject.comeBack().isZero()) {
                exchange.getResponseHeaders().put(Headers.RETRY_AFTER,
                        String.valueOf(reject.comeBack().toMillis() / 1000.0));
            }
            say(exchange, 503, "rejected; asking again is harmless\n");
        } else {
            say(exchange, 504, "aborted\n");
        }
    }

    private static void say(HttpServerExchange exchange, int status, String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(text, StandardCharsets.UTF_8);
    }

    // ---- the way out

    /** From now on each connection is closed after its answer. */
    public void leave() {
        leaving = true;
    }

    /** Whether all requests are answered to their last byte; to be asked on the I/O thread. */
    public boolean idle() {
        return busy.isEmpty();
    }

    /** Takes no new connection, and closes those that are between requests. */
    public void close() {
        server.stop();
        io.execute(() -> List.copyOf(connections).stream().filter(connection -> !busy.contains(connection))
                .forEach(IoUtils::safeClose));
    }

    /** Gives the threads back, once all is answered. */
    public void stop() {
        threads.shutdown();
    }
}
