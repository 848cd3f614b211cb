package postbeam.layoutservice;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.xnio.IoUtils;
import postbeam.config.RouterConfig;

/**
 * Owner of one data node's connection, of the thread that uses it and of the queue of requests for
 * the node. Requests are sent one after the other, each once the one before is answered; one that
 * fails is dropped and the connection opened anew for the next.
 */
final class HandoffConnection implements Closeable {
    private static final System.Logger LOG = System.getLogger(HandoffConnection.class.getName());

    /** Nodes answer at once, with busy while the work goes on. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    private static final int MAX_QUEUED_REQUESTS = 256;

    /** A request and what is done with its response. */
    record Request(String frame, int maxResponseBytes, ResponseReader reader) {}

    /** Checks a response. */
    interface ResponseReader {
        /**
         * Checks that the response is one to the request.
         *
         * @return hands the response on
         * @throws IOException it is a response to something else
         */
        Completion read(String response) throws IOException;
    }

    /** Hands a response on. */
    interface Completion {
        void run() throws IOException;
    }

    private final String node;
    private final String address;
    private final BlockingQueue<Request> queue = new ArrayBlockingQueue<>(MAX_QUEUED_REQUESTS);
    private final Thread thread;

    /** Of the thread alone; null while there is no connection. */
    private Socket socket;

    /** Of the thread alone: the last request failed, which was logged. */
    private boolean failing;

    /** Starts the thread; the connection is opened with the first request. */
    HandoffConnection(String node, String address) {
        this.node = node;
        this.address = address;
        thread = new Thread(this::run, "orders-" + node);
        thread.setDaemon(true);
        thread.start();
    }

    /** HOST:PORT of the node. */
    String address() {
        return address;
    }

    /**
     * Queues a request; drops it where the queue is full, since the coordinator sends each again.
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
                exchange(queue.take());
            }
        } catch (InterruptedException e) {
            // Closed.
        } finally {
            IoUtils.safeClose(socket);
        }
    }

    private void exchange(Request request) {
        try {
            if (socket == null) {
                connect();
            }
            send(socket.getOutputStream(), request.frame());
            String response =
                    receive(
                            new DataInputStream(socket.getInputStream()),
                            request.maxResponseBytes());
            Completion completion = request.reader().read(response);
            failing = false;
            completion.run();
        } catch (IOException | RuntimeException e) {
            IoUtils.safeClose(socket);
            socket = null;
            if (!failing) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "node {0} at {1} takes no handoff commands: {2}",
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
            throw new IOException("a frame of " + length + " bytes");
        }
        byte[] bytes = new byte[length];
        in.readFully(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
