package postbeam.layoutservice;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import postbeam.config.RouterConfig;

/**
 * The connection to one data node, with its thread and its queue of requests. Requests are sent one
 * at a time, each after the previous one was answered. A request that fails is dropped, and the
 * next one opens a new connection. If the response to a command is overdue, its connection stays
 * open beside that, so that a late response is noticed.
 */
final class HandoffConnection implements Closeable {
    private static final System.Logger LOG = System.getLogger(HandoffConnection.class.getName());

    /** Nodes respond immediately, with "busy" while the work is in progress. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    private static final int MAX_QUEUED_REQUESTS = 256;

    /** How often overdue connections are checked for responses. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    /**
     * A request.
     *
     * @param maxResponseBytes limit for the response
     * @param changesNode whether the request has an effect at the node
     */
    record Request(
            String frame, int maxResponseBytes, boolean changesNode, ResponseReader reader) {}

    /** Checks a node's response and decides how its result is delivered. */
    interface ResponseReader {
        /**
         * Checks that the response belongs to the request.
         *
         * @return delivers the response to its listener
         * @throws IOException the response belongs to another request
         */
        Completion read(String response) throws IOException;
    }

    /** Delivers a checked response to its listener. */
    interface Completion {
        void run() throws IOException;
    }

    private final String node;
    private final String address;
    private final BlockingQueue<Request> queue = new ArrayBlockingQueue<>(MAX_QUEUED_REQUESTS);
    private final Thread thread;
    private final Runnable onLateResponse;

    /** Used by the thread only. */
    private final OverdueConnections overdueConnections = new OverdueConnections();

    /** Used by the thread only; null while there is no connection. */
    private Socket socket;

    /** Used by the thread only: the last request failed and the failure was logged. */
    private boolean failing;

    /**
     * Starts the thread; the connection is opened with the first request.
     *
     * @param onLateResponse run when the node has answered a request that changes it, and that was
     *     given up before
     */
    HandoffConnection(String node, String address, Runnable onLateResponse) {
        this.node = node;
        this.address = address;
        this.onLateResponse = onLateResponse;
        thread = new Thread(this::run, "orders-" + node);
        thread.setDaemon(true);
        thread.start();
    }

    /** HOST:PORT of the node. */
    String address() {
        return address;
    }

    /**
     * Queues a request; drops it if the queue is full, since the coordinator resends unanswered
     * requests.
     */
    void offer(Request request) {
        queue.offer(request);
    }

    @Override
    public void close() {
        thread.interrupt();
    }

    private void run() {
        try {
            while (!Thread.interrupted()) {
                Request request = nextRequest();
                if (overdueConnections.takeResponses()) {
                    onLateResponse.run();
                }
                if (request != null) {
                    exchange(request);
                }
            }
        } catch (InterruptedException e) {
            // The connection was closed.
        } finally {
            IoUtils.safeClose(socket);
            overdueConnections.close();
        }
    }

    /** Waits for a request; returns null when it is time to check overdue connections. */
    private Request nextRequest() throws InterruptedException {
        return overdueConnections.isEmpty()
                ? queue.take()
                : queue.poll(CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void exchange(Request request) {
        boolean sent = false;
        try {
            if (socket == null) {
                connect();
            }
            send(socket.getOutputStream(), request.frame());
            sent = true;
            String response =
                    receive(
                            new DataInputStream(socket.getInputStream()),
                            request.maxResponseBytes());
            Completion completion = request.reader().read(response);
            failing = false;
            completion.run();
        } catch (IOException | RuntimeException e) {
            if (sent && request.changesNode() && e instanceof SocketTimeoutException) {
                overdueConnections.add(socket);
            } else {
                IoUtils.safeClose(socket);
            }
            socket = null;
            if (!failing) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "handoff request to node {0} at {1} failed and will be sent again: {2}",
                        node,
                        address,
                        e.toString());
            }
            failing = true;
        }
    }

    private void connect() throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(RouterConfig.socketAddress(address), (int) RESPONSE_TIMEOUT.toMillis());
        socket.setSoTimeout((int) RESPONSE_TIMEOUT.toMillis());
    }

    private static void send(OutputStream out, String frame) throws IOException {
        byte[] bytes = frame.getBytes(StandardCharsets.UTF_8);
        out.write(
                ByteBuffer.allocate(Integer.BYTES + bytes.length)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .putInt(bytes.length)
                        .put(bytes)
                        .array());
    }

    private static String receive(DataInputStream in, int maxBytes) throws IOException {
        int length = Integer.reverseBytes(in.readInt());
        if (length < 1 || length > maxBytes) {
            throw new IOException(
                    "response frame has a length of "
                            + length
                            + " bytes, expected 1 to "
                            + maxBytes);
        }
        byte[] bytes = new byte[length];
        in.readFully(bytes);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (CharacterCodingException e) {
            throw new IOException("response frame is not valid UTF-8: " + length + " bytes", e);
        }
    }
}
