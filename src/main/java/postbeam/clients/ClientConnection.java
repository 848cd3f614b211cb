package postbeam.clients;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.Option;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * A client's connection with a lingering close. Used only on the I/O thread. Closing a socket while
 * its client still sends resets the connection, and the client's machine then discards a response
 * that the client has not read yet. Therefore a close first ends the output, then reads and
 * discards input for a while. Only {@link #closeImmediately} closes the socket.
 */
final class ClientConnection extends StreamConnection {
    /**
     * Time for which input is discarded after a close: enough for a client to read its response,
     * and within the protocol's 3 s for cutting off a misbehaving client.
     */
    private static final Duration LINGER = Duration.ofSeconds(2);

    /** Bytes discarded per read; a head and a body of the maximum size take three reads. */
    private static final int DRAIN_CHUNK_BYTES = 32 << 10;

    /**
     * Bytes that may arrive between a request and its response: more than a further request has,
     * although clients send one at a time. They are read without a pause, as the end of the input,
     * which tells that the client has disconnected, comes after them.
     */
    private static final int MAX_PIPELINED_BYTES = 256 << 10;

    /**
     * Bytes discarded without a pause after a close. Further reads are paced, so that a client that
     * sends without end does not use up the I/O thread's core.
     */
    private static final int UNPACED_DRAIN_BYTES = 1 << 20;

    /**
     * Interval between paced reads. It allows about 3 MB/s, so that the end of the input is found
     * soon after a client has sent everything at once.
     */
    private static final Duration DRAIN_INTERVAL = Duration.ofMillis(10);

    /**
     * Shared by all connections, as its content is never used. Direct, as only the I/O thread uses
     * it.
     */
    private static final ByteBuffer DISCARD_BUFFER = ByteBuffer.allocateDirect(DRAIN_CHUNK_BYTES);

    /** What a check of the connection found while a query is served. */
    enum ClientStatus {
        /** The client is connected, as far as its input tells. */
        CONNECTED,
        /** The client has closed or reset the connection. */
        DISCONNECTED,
        /**
         * The client has sent more than it may before it gets the response. A disconnect behind
         * these bytes can't be noticed in time.
         */
        FLOODING
    }

    private final StreamConnection socket;
    private final RequestMemory.Reservation requestMemory;
    private final StreamSourceConduit input;
    private final ClientInput clientInput;
    private final StreamSinkConduit output;
    private XnioExecutor.Key lingerTimer;
    private boolean closing;

    /** Whether an error response was sent outside the HTTP library. */
    private boolean rejected;

    private int drainedBytes;
    private long nextDrainAtNanos = System.nanoTime();

    /** Whether bytes were received, and discarded, between a request and its response. */
    private boolean pipelined;

    private long idleSinceNanos = System.nanoTime();

    /** Whether the last check found the connection idle; the next one closes it. */
    private boolean markedForClose;

    private boolean sentRequest;
    private boolean requestInProgress;

    /**
     * Creates the connection of an accepted socket.
     *
     * @param requestMemory memory for its requests, which it gives back when it closes
     */
    ClientConnection(StreamConnection socket, RequestMemory.Reservation requestMemory) {
        super(socket.getIoThread());
        this.socket = socket;
        this.requestMemory = requestMemory;
        this.input = socket.getSourceChannel().getConduit();
        this.clientInput = new ClientInput(input, () -> closing);
        setSourceConduit(clientInput);
        this.output = socket.getSinkChannel().getConduit();
        setSinkConduit(new ClientOutput(output, () -> closing));
    }

    /** Returns the connection that a request was received on. */
    static ClientConnection of(HttpServerExchange exchange) {
        return (ClientConnection) ((HttpServerConnection) exchange.getConnection()).getChannel();
    }

    // ---- requests

    /** Memory that the current request holds. */
    RequestMemory.Reservation requestMemory() {
        return requestMemory;
    }

    /**
     * Records that the head of a request was read. This restarts the idle time for the rest of the
     * request, except for the first request of the connection.
     */
    void headReceived(long nowNanos) {
        markedForClose = false;
        if (sentRequest) {
            idleSinceNanos = nowNanos;
        }
    }

    /** Records that a request has been answered or given up, whether or not it was complete. */
    void requestEnded() {
        clientInput.requestEnded();
    }

    /** Records that a complete request was read. */
    void requestStarted() {
        requestInProgress = true;
        sentRequest = true;
    }

    /** Records that the last byte of the response was written. */
    void requestFinished() {
        requestInProgress = false;
        requestMemory.release();
        idleSinceNanos = System.nanoTime();
    }

    boolean isRequestInProgress() {
        return requestInProgress;
    }

    /** Returns whether the client has ever sent a complete request. */
    boolean hasSentRequest() {
        return sentRequest;
    }

    /** Returns whether the connection has been idle since before this time. */
    boolean isIdleSince(long nanos) {
        return !requestInProgress && idleSinceNanos - nanos < 0;
    }

    /**
     * Marks the connection to be closed; the head of a further request removes the mark.
     *
     * @return whether it was already marked
     */
    boolean markForClose() {
        boolean marked = markedForClose;
        markedForClose = true;
        return marked;
    }

    /** Returns whether bytes were received and discarded between a request and its response. */
    boolean hasPipelined() {
        return pipelined;
    }

    /** Returns whether the connection was closed; it may linger. */
    boolean isClosing() {
        return closing;
    }

    // ---- closing

    /** Closes the socket without lingering. */
    void closeImmediately() {
        if (lingerTimer != null) {
            lingerTimer.remove();
        }
        IoUtils.safeClose(socket);
        IoUtils.safeClose(this);
    }

    /**
     * Sends an error response and closes; only the first call has an effect. Bypasses the HTTP
     * library, which would wait for the rest of the request, and which may have closed this
     * connection already, as it does for malformed chunks.
     */
    void rejectAndClose(int status, String reason) {
        if (rejected) {
            return;
        }
        rejected = true;
        String response =
                "HTTP/1.1 "
                        + status
                        + " "
                        + reason
                        + "\r\n"
                        + "Content-Type: text/plain\r\n"
                        + "Connection: close\r\n"
                        + "Content-Length: "
                        + (reason.length() + 1)
                        + "\r\n\r\n"
                        + reason
                        + "\n";
        try {
            // The socket buffer is empty, so the response fits. Otherwise it is truncated and the
            // client notices only the close.
            output.write(ByteBuffer.wrap(response.getBytes(StandardCharsets.ISO_8859_1)));
        } catch (IOException e) {
            closeImmediately();
        }
        IoUtils.safeClose(this);
    }

    /**
     * Starts to linger after the current event, as the HTTP library may still register listeners
     * during it.
     */
    @Override
    protected void closeAction() {
        closing = true;
        requestMemory.close();
        getIoThread().execute(this::linger);
    }

    private void linger() {
        try {
            output.terminateWrites();
            if (!output.flush()) {
                getSinkChannel()
                        .setWriteListener(
                                ChannelListeners.flushingChannelListener(
                                        null, (channel, e) -> closeImmediately()));
                output.resumeWrites();
            }
        } catch (IOException e) {
            closeImmediately();
            return;
        }
        lingerTimer =
                getIoThread()
                        .executeAfter(
                                this::closeImmediately, LINGER.toMillis(), TimeUnit.MILLISECONDS);
        getSourceChannel().setReadListener(channel -> drainUntilClosed());
        input.resumeReads();
        drainUntilClosed();
    }

    private void drainUntilClosed() {
        try {
            if (drain() < 0) {
                closeImmediately();
            }
        } catch (IOException e) {
            closeImmediately();
        }
    }

    // closeAction closes both directions, so the notifications for one direction do nothing.
    @Override
    protected void notifyReadClosed() {}

    @Override
    protected void notifyWriteClosed() {}

    // ---- discarding input

    /** Reads and discards input while a query is served, up to what may arrive meanwhile. */
    ClientStatus checkClient() {
        try {
            int count = 1;
            while (count > 0 && drainedBytes <= MAX_PIPELINED_BYTES) {
                count = readAndDiscard();
            }
            if (count < 0) {
                return ClientStatus.DISCONNECTED;
            }
        } catch (IOException e) {
            // The connection was reset or is already closed.
            return ClientStatus.DISCONNECTED;
        }
        return drainedBytes > MAX_PIPELINED_BYTES ? ClientStatus.FLOODING : ClientStatus.CONNECTED;
    }

    /**
     * Reads and discards input after a close, paced beyond a limit; returns the number of bytes, or
     * -1 at the end of the input.
     */
    private int drain() throws IOException {
        return drainedBytes > UNPACED_DRAIN_BYTES && !isNextDrainDue() ? 0 : readAndDiscard();
    }

    private int readAndDiscard() throws IOException {
        int count = input.read(DISCARD_BUFFER.clear());
        drainedBytes += Math.max(0, count);
        pipelined |= count > 0;
        return count;
    }

    /** Returns whether a paced read is due; if not, suspends reading until it is. */
    private boolean isNextDrainDue() {
        long waitNanos = nextDrainAtNanos - System.nanoTime();
        if (waitNanos > 0) {
            input.suspendReads();
            long waitMillis = TimeUnit.NANOSECONDS.toMillis(waitNanos) + 1;
            getIoThread().executeAfter(this::resumeDraining, waitMillis, TimeUnit.MILLISECONDS);
            return false;
        }
        nextDrainAtNanos = System.nanoTime() + DRAIN_INTERVAL.toNanos();
        return true;
    }

    private void resumeDraining() {
        if (socket.isOpen()) {
            input.resumeReads();
        }
    }

    // ---- delegated to the socket

    @Override
    public SocketAddress getPeerAddress() {
        return socket.getPeerAddress();
    }

    @Override
    public SocketAddress getLocalAddress() {
        return socket.getLocalAddress();
    }

    @Override
    public boolean supportsOption(Option<?> option) {
        return socket.supportsOption(option);
    }

    @Override
    public <T> T getOption(Option<T> option) throws IOException {
        return socket.getOption(option);
    }

    @Override
    public <T> T setOption(Option<T> option, T value) throws IOException {
        return socket.setOption(option, value);
    }
}
