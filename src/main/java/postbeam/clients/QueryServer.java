package postbeam.clients;

import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
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
import postbeam.errors.OperatorErrorException;
import postbeam.slices.UnroutableQueryException;

/**
 * The HTTP server that clients send queries to, on Undertow. It wires and owns its parts: the
 * listening socket ({@link ClientListener}), the open connections ({@link ClientConnections}), the
 * query threads.
 *
 * <p>Connections are read and written on the worker's I/O thread alone; each query is served on a
 * thread of its own, of which there are at most two for each connection.
 */
public final class QueryServer {
    /** Bytes in a buffer of the HTTP library: a usual head or response fits into one. */
    static final int BUFFER_BYTES = 1024;

    /** Bytes: heads here hold a few hundred; what is longer is no query. */
    private static final int MAX_HEAD_BYTES = 8 << 10;

    /** Buffers kept for the next request; one is held only while bytes of a request are in it. */
    private static final int POOLED_BUFFERS = 64;

    /** A look at the connections that is later than this is late. */
    private static final Duration MAX_CHECK_DELAY = Duration.ofMillis(50);

    /** How long a query's thread is kept for the next. */
    private static final Duration THREAD_KEEP_ALIVE = Duration.ofSeconds(30);

    /** Accepts queries. */
    public interface QueryHandler {
        /**
         * Accepts a query whose head was read so long ago. Called on the I/O thread.
         *
         * @return null if a query of its id is open
         * @throws UnroutableQueryException if it names slices that can't be turned into those in
         *     force
         */
        PendingQuery submit(ClientRequest request, Duration age) throws UnroutableQueryException;

        /** Whether queries can be served: the answer to health checks. */
        boolean isReady();
    }

    /** Handles requests that are no queries, on a query thread. */
    public interface RequestHandler {
        /**
         * The response's JSON.
         *
         * @throws IOException if the body can't be used; the message is sent with status 400
         * @throws OperatorErrorException for the same, with an error of the subsystem's own
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

    /** On the I/O thread alone. */
    private final BacklogDrain backlogDrain =
            new BacklogDrain(ClientConnections.REAP_INTERVAL.plus(MAX_CHECK_DELAY));

    /** On the I/O thread alone: no connection is left that is between requests. */
    private boolean idleConnectionsClosed;

    /**
     * A server that does not listen yet.
     *
     * @param worker has the one I/O thread that all connections are on
     * @param listenAddress null for a server that is only warmed up and never started
     * @param queries serves the queries
     * @param defaultTimeouts by query class, for requests that state none; the value is null where
     *     the settings state none either
     * @param tenants that requests may name; empty if there are none to tell apart
     * @param shardCount shards that requests may name, from 0
     * @param maxConnections open at once; further clients wait in the machine's backlog
     */
    public QueryServer(
            XnioWorker worker,
            InetSocketAddress listenAddress,
            QueryHandler queries,
            Map<String, Duration> defaultTimeouts,
            Set<String> tenants,
            int shardCount,
            int maxConnections) {
        this.worker = worker;
        this.ioThread = worker.getIoThread();
        this.codec = new QueryCodec(defaultTimeouts, tenants, shardCount);
        this.queryThreads = newQueryThreads(maxConnections);
        HttpOpenListener httpListener = newHttpListener();
        this.connections = new ClientConnections(ioThread, httpListener, lifecycle, maxConnections);
        this.listener = new ClientListener(worker, listenAddress, maxConnections, connections);
        this.dispatcher =
                new RequestDispatcher(
                        new ServerContext(
                                queries, codec, lifecycle, connections, ioThread, queryThreads));
        httpListener.setRootHandler(dispatcher);
    }

    /**
     * One thread for each connection, and as many again that are just ending: no query ever waits
     * for a thread.
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
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .getMap());
    }

    /** Lets clients ask for pages of at most so many rows; to be called before it starts. */
    public void enablePages(int maxRows) {
        codec.enablePages(maxRows);
    }

    /** Has requests to this path answered by the handler; to be called before it starts. */
    public void addHandler(String path, RequestHandler handler) {
        dispatcher.addHandler(path, handler);
    }

    /**
     * Starts to listen.
     *
     * @throws IOException if it can't; the message says why
     */
    public void start() throws IOException {
        listener.open();
        connections.startReaping();
    }

    /** HOST:PORT that it listens on. */
    public String address() {
        return listener.address();
    }

    /**
     * Sends requests through a pipe within the process, one after the other, so that the code that
     * serves clients is compiled before the first of them comes. Returns early when the time is
     * over.
     *
     * @param request makes the bytes of a request with the id given
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

    /** From now on health checks fail, and no query is to be open for longer than this from now. */
    public void beginDraining(Duration timeout) {
        lifecycle.beginDraining(timeout);
    }

    /** Whether no client is connected; to be called on the I/O thread. */
    public boolean hasNoConnections() {
        return connections.isEmpty();
    }

    /**
     * Whether it is closed and all requests are answered to their last byte; to be called on the
     * I/O thread.
     */
    public boolean isDrained() {
        return idleConnectionsClosed && !connections.hasRequestInProgress();
    }

    /**
     * Stops listening once no connection waits to be accepted, and closes those between requests;
     * the others after their response.
     */
    public void close() {
        lifecycle.beginClosing();
        ioThread.execute(this::closeIdleConnections);
    }

    /**
     * Looks every {@link ClientConnections#REAP_INTERVAL}, until the listening socket and the
     * connections between requests are closed.
     */
    private void closeIdleConnections() {
        if (listener.isOpen()) {
            closeListenerIfBacklogEmpty();
        }
        boolean noneIdle = connections.closeAllIdle();
        idleConnectionsClosed = noneIdle && !listener.isOpen();
        if (!idleConnectionsClosed) {
            // In two steps: where the thread is so late that the first is due at once, it has read
            // by the second.
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
        if (backlogDrain.isEmpty(System.nanoTime(), listener.acceptedCount(), connections.isFull())) {
            listener.close();
        }
    }

    /** Ends the query threads; to be called once all is answered. */
    public void stop() {
        queryThreads.shutdown();
    }
}
