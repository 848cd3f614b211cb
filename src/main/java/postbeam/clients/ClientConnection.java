package postbeam.clients;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.Option;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * A client's socket, on the I/O thread alone, with a lingering close: closing a socket while its
 * client still sends would have the client's machine throw away a response that it has not read
 * yet. So whatever closes the connection, what the client still sends is read and dropped for a
 * while before the socket is closed, which only {@link #closeImmediately} does.
 */
final class ClientConnection extends StreamConnection {
    /**
     * How long what still comes is dropped: enough to read a response, within what a bad client is
     * owed.
     */
    private static final Duration LINGER = Duration.ofSeconds(2);

    /** Bytes dropped in one read: a body of the protocol's size and its head take three. */
    private static final int DRAIN_CHUNK_BYTES = 32 << 10;

    /**
     * Bytes dropped at full speed; beyond, reads are paced: sending without end must not take the
     * core.
     */
    private static final int UNPACED_DRAIN_BYTES = 1 << 20;

    /**
     * Between paced reads: some 3 MB a second, so that the end of what was sent at once is seen
     * soon.
     */
    private static final Duration DRAIN_INTERVAL = Duration.ofMillis(10);

    /**
     * Shared by all connections, as what is in it is thrown away; direct, for the I/O thread alone.
     */
    private static final ByteBuffer DISCARD_BUFFER = ByteBuffer.allocateDirect(DRAIN_CHUNK_BYTES);

    private final StreamConnection socket;
    private final StreamSourceConduit input;
    private final StreamSinkConduit output;
    private XnioExecutor.Key lingerTimer;
    private boolean closing;

    private int drainedBytes;
    private long nextDrainAtNanos = System.nanoTime();

    /** Bytes came after a complete request and before its response: what they ask for is lost. */
    private boolean pipelined;

    /** Its query is served, and the socket alone shows that the client disconnects. */
    private boolean watched;

    private long idleSinceNanos = System.nanoTime();

    /** It was found idle too long at the last look. */
    private boolean markedForClose;

    private boolean sentRequest;
    private boolean requestInProgress;

    ClientConnection(StreamConnection socket) {
        super(socket.getIoThread());
        this.socket = socket;
        this.input = socket.getSourceChannel().getConduit();
        setSourceConduit(new InputUntilClosed());
        this.output = socket.getSinkChannel().getConduit();
        setSinkConduit(new OutputUntilClosed());
    }

    /** The connection that a request came on. */
    static ClientConnection of(HttpServerExchange exchange) {
        return (ClientConnection) ((HttpServerConnection) exchange.getConnection()).getChannel();
    }

    // ---- requests

    /**
     * The head of a request has been read: the client has so long again for the rest of it, unless
     * it is the first.
     */
    void headReceived(long nowNanos) {
        markedForClose = false;
        if (sentRequest) {
            idleSinceNanos = nowNanos;
        }
    }

    /** A complete request has been read. */
    void requestStarted() {
        requestInProgress = true;
        sentRequest = true;
    }

    /** Its response is out, to the last byte. */
    void requestFinished() {
        requestInProgress = false;
        idleSinceNanos = System.nanoTime();
    }

    boolean isRequestInProgress() {
        return requestInProgress;
    }

    /** Whether a complete request has ever come on it. */
    boolean hasSentRequest() {
        return sentRequest;
    }

    /** Whether it has been without a complete request since before this moment. */
    boolean isIdleSince(long nanos) {
        return !requestInProgress && idleSinceNanos - nanos < 0;
    }

    /** Marks it as to be closed, until its next request; true if it was marked already. */
    boolean markForClose() {
        boolean marked = markedForClose;
        markedForClose = true;
        return marked;
    }

    /** Whether bytes came after a request and before its response. */
    boolean hasPipelined() {
        return pipelined;
    }

    /** Whether its query is being served, so that whatever comes is dropped. */
    void setWatched(boolean watched) {
        this.watched = watched;
    }

    // ---- closing

    /** Closes the socket; no bytes are owed on it any more. */
    void closeImmediately() {
        if (lingerTimer != null) {
            lingerTimer.remove();
        }
        IoUtils.safeClose(socket);
        IoUtils.safeClose(this);
    }

    /**
     * Responds in place of the HTTP library, which would wait for the rest of the request, and
     * closes.
     */
    void rejectAndClose(int status, String reason) {
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
            // Nothing else is in the socket's buffer, so this fits; if not, the close alone has to
            // tell.
            output.write(ByteBuffer.wrap(response.getBytes(StandardCharsets.ISO_8859_1)));
        } catch (IOException e) {
            closeImmediately();
        }
        IoUtils.safeClose(this);
    }

    /** Lingers once this event is over: until then the HTTP library may still set up. */
    @Override
    protected void closeAction() {
        closing = true;
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

    // closeAction closes reading and writing, each when all of it is done.
    @Override
    protected void notifyReadClosed() {}

    @Override
    protected void notifyWriteClosed() {}

    // ---- dropping input

    /**
     * Whether the client has closed or reset the connection, by a look at the socket; drops what
     * has come.
     */
    boolean isDisconnected() {
        try {
            int count = 1;
            while (count > 0) {
                count = drain();
            }
            return count < 0;
        } catch (IOException e) {
            // It is reset, or was closed before.
            return true;
        }
    }

    /** Reads what has come and drops it: how many bytes, or -1 at the end. */
    private int drain() throws IOException {
        if (drainedBytes > UNPACED_DRAIN_BYTES && !isNextDrainDue()) {
            return 0;
        }
        int count = input.read(DISCARD_BUFFER.clear());
        drainedBytes += Math.max(0, count);
        pipelined |= count > 0;
        return count;
    }

    /** Whether a paced read may happen now; if not, reading is suspended until then. */
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
        if (socket.isOpen() && (watched || closing)) {
            input.resumeReads();
        }
    }

    /**
     * The input for the HTTP library: once closed it brings nothing more, and the socket's stays
     * open.
     */
    private final class InputUntilClosed extends AbstractStreamSourceConduit<StreamSourceConduit> {
        InputUntilClosed() {
            super(input);
        }

        @Override
        public long transferTo(long position, long count, FileChannel target) throws IOException {
            return closing ? 0 : super.transferTo(position, count, target);
        }

        @Override
        public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
                throws IOException {
            return closing ? 0 : super.transferTo(count, throughBuffer, target);
        }

        @Override
        public int read(ByteBuffer target) throws IOException {
            return closing ? 0 : super.read(target);
        }

        @Override
        public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
            return closing ? 0 : super.read(targets, offset, length);
        }

        @Override
        public void terminateReads() {}
    }

    /**
     * The output for the HTTP library: once closed, whatever the library would still write is late.
     */
    private final class OutputUntilClosed extends AbstractStreamSinkConduit<StreamSinkConduit> {
        OutputUntilClosed() {
            super(output);
        }

        private void checkOpen() throws IOException {
            if (closing) {
                throw new ClosedChannelException();
            }
        }

        @Override
        public int write(ByteBuffer source) throws IOException {
            checkOpen();
            return super.write(source);
        }

        @Override
        public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
            checkOpen();
            return super.write(sources, offset, length);
        }

        @Override
        public void terminateWrites() throws IOException {
            checkOpen();
            super.terminateWrites();
        }

        @Override
        public void truncateWrites() throws IOException {
            checkOpen();
            super.truncateWrites();
        }
    }

    // ---- the socket's own

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
