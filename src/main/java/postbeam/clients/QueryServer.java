package postbeam.clients;

import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.xnio.ChannelPipe;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.Channels;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.PendingQuery;
import postbeam.dispatch.ReusedRequestIdException;
import postbeam.errors.OperatorErrorException;
import postbeam.slices.UnroutableQueryException;

/**
 * The HTTP server for clients, based on Undertow. It creates and owns the listening socket ({@link
 * ClientListener}), the open connections ({@link ClientConnections}) and the query threads.
 *
 * <p>Connections are read and written only on the worker's I/O thread. Each query is served on a
 * thread of its own; there are at most two threads per connection.
 */
public final class QueryServer {
    /** Size of the HTTP library's buffers; a usual head or response fits into one. */
    static final int BUFFER_BYTES = 1024;

    /** Limit for a request head; heads of queries have a few hundred bytes. */
    static final int MAX_HEAD_BYTES = 8 << 10;

    /**
     * Limits for the header fields and the parameters of the path. Each becomes several objects of
     * a few hundred bytes, so that a head of many short ones would take far more than its length.
     */
    private static final int MAX_HEADER_FIELDS = 64;

    private static final int MAX_PATH_PARAMETERS = 16;

    /** Pooled buffers; a connection uses one only while it holds bytes of a request. */
    private static final int POOLED_BUFFERS = 64;

    /** Delay after which a check of the connections counts as late. */
    private static final Duration MAX_CHECK_DELAY = Duration.ofMillis(50);

    /** Time after which an unused query thread ends. */
    private static final Duration THREAD_KEEP_ALIVE = Duration.ofSeconds(30);

    /** Accepts queries. */
    public interface QueryHandler {
        /**
         * Accepts a query. Called on the I/O thread.
         *
         * @param age time since the head of the request was read
         * @return null if a query with the same id is open
         * @throws UnroutableQueryException if the requested slices can't be translated to the
         *     current layout
         * @throws ReusedRequestIdException if attempts were made for an earlier query with this id
         */
        PendingQuery submit(ClientRequest request, Duration age)
                throws UnroutableQueryException, ReusedRequestIdException;

        /** Returns whether queries can be served; reported to health checks. */
        boolean isReady();

        /**
         * Returns what operators should know of a handler that may be ready all the same; health
         * checks report it after the state. A clause without a full stop.
         */
        default Optional<String> warning() {
            return Optional.empty();
        }
    }

    /** Handles requests other than queries. Runs on a query thread. */
    public interface RequestHandler {
        /**
         * Handles a request and returns the JSON body of the response.
         *
         * @throws IOException if the body is invalid; the message is sent with status 400
         * @throws OperatorErrorException if the subsystem rejects the request; the message is sent
         *     with status 400
         */
        byte[] handle(byte[] body) throws IOException, OperatorErrorException;
    }

    private final XnioWorker worker;
    private final XnioIoThread ioThread;
    private final QueryCodec codec;
    private final ServerLifecycle lifecycle = new ServerLifecycle();
    private final ExecutorService queryThreads;
    private final ClientConnections connections;
    private final ClientListener listener;
    private final RequestDispatcher dispatcher;

    /** Used only on the I/O thread. */
    private final BacklogDrain backlogDrain =
            new BacklogDrain(ClientConnections.REAP_INTERVAL.plus(MAX_CHECK_DELAY));

    /** Whether no connection is left between requests. Used only on the I/O thread. */
    private boolean idleConnectionsClosed;

    /**
     * Creates a server that does not listen yet.
     *
     * @param worker provides the single I/O thread of all connections
     * @param listenAddress null for a server that is only warmed up and never started
     * @param queries serves the queries
     * @param defaultTimeouts timeouts by query class for requests that state none; a value is null
     *     if the settings state none either
     * @param tenants tenants that requests may name; empty if tenants are not distinguished
     * @param shardCount number of shards; requests name them from 0
     * @param limits limits of connections and memory
     */
    public QueryServer(
            XnioWorker worker,
            InetSocketAddress listenAddress,
            QueryHandler queries,
            Map<String, Duration> defaultTimeouts,
            Set<String> tenants,
            int shardCount,
            ClientLimits limits) {
        this.worker = worker;
        this.ioThread = worker.getIoThread();
        this.codec = new QueryCodec(defaultTimeouts, tenants, shardCount);
        this.queryThreads = newQueryThreads(limits.maxConnections());
        HttpOpenListener httpListener = newHttpListener();
        this.connections = new ClientConnections(ioThread, httpListener, lifecycle, limits);
        this.listener =
                new ClientListener(worker, listenAddress, limits.maxConnections(), connections);
        this.dispatcher =
                new RequestDispatcher(
                        new ServerContext(
                                queries, codec, lifecycle, connections, ioThread, queryThreads));
        httpListener.setRootHandler(dispatcher);
    }

    /**
     * Creates the pool with one thread per connection and the same number for threads that are just
     * ending, so that no query waits for a thread.
     */
    private static ExecutorService newQueryThreads(int maxConnections) {
        return new ThreadPoolExecutor(
                0,
                2 * maxConnections,
                THREAD_KEEP_ALIVE.toMillis(),
                TimeUnit.MILLISECONDS,
                new SynchronousQueue<>(),
                task -> new Thread(task, "query"));
    }

    private static HttpOpenListener newHttpListener() {
        return new HttpOpenListener(
                new DefaultByteBufferPool(false, BUFFER_BYTES, POOLED_BUFFERS, 0),
                OptionMap.builder()
                        .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                        .set(UndertowOptions.MAX_ENTITY_SIZE, -1L)
                        .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                        .set(UndertowOptions.MAX_HEADERS, MAX_HEADER_FIELDS)
                        .set(UndertowOptions.MAX_PARAMETERS, MAX_PATH_PARAMETERS)
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .getMap());
    }

    /** Enables ordered pages of at most this number of rows. Call before the server starts. */
    public void enablePages(int maxRows) {
        codec.enablePages(maxRows);
    }

    /** Adds a handler for requests to a path. Call before the server starts. */
    public void addHandler(String path, RequestHandler handler) {
        dispatcher.addHandler(path, handler);
    }

    /**
     * Starts to listen.
     *
     * @throws IOException if the address can't be bound
     */
    public void start() throws IOException {
        listener.open();
        connections.startReaping();
    }

    /** Returns the bound address as HOST:PORT. */
    public String address() {
        return listener.address();
    }

    /**
     * Sends requests through a pipe within the process, one after the other, so that the JIT
     * compiler has compiled the serving code before the first client connects.
     *
     * @param request creates the bytes of a request with a given id
     * @param count number of requests
     * @param maxTime time after which no further request is sent
     */
    public void warmUp(Function<String, byte[]> request, int count, Duration maxTime)
            throws IOException {
        ChannelPipe<StreamConnection, StreamConnection> pipe =
                worker.createFullDuplexPipeConnection();
        long endNanos = System.nanoTime() + maxTime.toNanos();
        try (StreamConnection client = pipe.getRightSide()) {
            ioThread.execute(() -> connections.register(pipe.getLeftSide()));
            ByteBuffer response = ByteBuffer.allocate(MAX_HEAD_BYTES);
            for (int i = 0; i < count && System.nanoTime() < endNanos; i++) {
                Channels.writeBlocking(
                        client.getSinkChannel(), ByteBuffer.wrap(request.apply("rehearsal" + i)));
                Channels.readBlocking(
                        client.getSourceChannel(),
                        response.clear(),
                        maxTime.toMillis(),
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    // ---- shutdown

    /**
     * Makes health checks fail and limits the timeouts of further queries to this time from now.
     */
    public void beginDraining(Duration timeout) {
        lifecycle.beginDraining(timeout);
    }

    /** Returns whether no client is connected. Call on the I/O thread. */
    public boolean hasNoConnections() {
        return connections.isEmpty();
    }

    /**
     * Returns whether the server is closed and the last byte of each response was written. Call on
     * the I/O thread.
     */
    public boolean isDrained() {
        return idleConnectionsClosed && !connections.hasRequestInProgress();
    }

    /**
     * Stops listening once no connection waits to be accepted. Closes connections between requests
     * at once and the others after their response.
     */
    public void close() {
        lifecycle.beginClosing();
        ioThread.execute(this::closeIdleConnections);
    }

    /**
     * Checks every {@link ClientConnections#REAP_INTERVAL} until the listening socket and the
     * connections between requests are closed.
     */
    private void closeIdleConnections() {
        if (listener.isOpen()) {
            closeListenerIfBacklogEmpty();
        }
        boolean noneIdle = connections.closeAllIdle();
        idleConnectionsClosed = noneIdle && !listener.isOpen();
        if (!idleConnectionsClosed) {
            // Waits in two steps. If the thread is so late that the first step is due at once, it
            // reads the sockets that are ready before the second step.
            long half = ClientConnections.REAP_INTERVAL.toMillis() / 2;
            ioThread.executeAfter(
                    () ->
                            ioThread.executeAfter(
                                    this::closeIdleConnections, half, TimeUnit.MILLISECONDS),
                    half,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void closeListenerIfBacklogEmpty() {
        listener.acceptWaiting();
        if (backlogDrain.isEmpty(
                System.nanoTime(), listener.acceptedCount(), connections.isFull())) {
            listener.close();
        }
    }

    /** Shuts down the query threads. Call once the server is drained. */
    public void stop() {
        queryThreads.shutdown();
    }
}
