package postbeam.clients;

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
 * A client's socket, on the I/O thread alone. Closing it while the client still sends would have
 * its machine throw away the answer before the client reads it; so whatever closes it, what the
 * client still sends is read off and dropped for a while before the socket goes. It is given back
 * in {@link #closeImmediately}, and only there.
 */
final class ClientConnection extends StreamConnection {
    /**
     * How long what still comes is read off: time enough to read an answer, and within what a bad
     * client is owed.
     */
    private static final Duration LINGER = Duration.ofSeconds(2);

    /**
     * Bytes read off at once: a whole body of the protocol's size and its head take three turns.
     */
    private static final int DRAIN_CHUNK_BYTES = 32 << 10;

    /**
     * Bytes read off at full speed; what is beyond is read at a pace: sending without end must not
     * take the core.
     */
    private static final int UNPACED_DRAIN_BYTES = 1 << 20;

    /**
     * Between reads beyond it: some 3 MB a second, so that the end behind what a client sent at
     * once is seen soon.
     */
    private static final Duration DRAIN_INTERVAL = Duration.ofMillis(10);

    /** Shared by all connections: what is in it is thrown away. */
    private static final ByteBuffer DISCARD_BUFFER = ByteBuffer.allocateDirect(DRAIN_CHUNK_BYTES);

    private final StreamConnection socket;
    private final StreamSourceConduit input;
    private final StreamSinkConduit output;
    private XnioExecutor.Key lingerTimer;
    private boolean closing;
    private int readOff;

    /** When something may be read off again, beyond what goes at full speed. */
    private long nextDrainAtNanos = System.nanoTime();

    /** Bytes came after a whole request and before its answer: what they ask for is lost. */
    boolean pipelined;

    /** Its query is served, so that only a look at the socket shows that the client leaves. */
    boolean watched;

    /** Since when it waits for its next request to be there as a whole. */
    long idleSinceNanos = System.nanoTime();

    /** Nothing had been read of it at the last look, though its time was over. */
    boolean markedForClose;

    /** A whole request has come on it. */
    boolean hasRequested;

    /** A whole request is in, and its answer not yet out. */
    boolean requestInProgress;

    ClientConnection(StreamConnection socket) {
        super(socket.getIoThread());
        this.socket = socket;
        this.input = socket.getSourceChannel().getConduit();
        setSourceConduit(new InputUntilClosed());
        this.output = socket.getSinkChannel().getConduit();
        setSinkConduit(new OutputUntilClosed());
    }

    /** Gives the socket back at once; no bytes are owed on it any more. */
    void closeImmediately() {
        if (lingerTimer != null) {
            lingerTimer.remove();
        }
        IoUtils.safeClose(socket);
        IoUtils.safeClose(this);
    }

    boolean isSocketClosed() {
        return !socket.isOpen();
    }

    /**
     * Answers in place of the HTTP library, which would wait for the rest of the request, and
     * closes.
     */
    void rejectAndClose(int status, String reason) {
        ByteBuffer answer =
                ByteBuffer.wrap(
                        ("HTTP/1.1 "
                                        + status
                                        + " "
                                        + reason
                                        + "\r\nContent-Type: text/plain\r\n"
                                        + "Connection: close\r\nContent-Length: "
                                        + (reason.length() + 1)
                                        + "\r\n\r\n"
                                        + reason
                                        + "\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
        try {
            // Nothing else is in the socket's buffer, so that this fits; if not, the close alone
            // has to tell.
            output.write(answer);
        } catch (IOException e) {
            closeImmediately();
        }
        IoUtils.safeClose(this);
    }

    /**
     * The input for the HTTP library: once closed it brings nothing more, and closing it leaves the
     * socket's open.
     */
    private final class InputUntilClosed extends AbstractStreamSourceConduit<StreamSourceConduit> {
        InputUntilClosed() {
            super(input);
        }

        @Override
        public long transferTo(long at, long count, FileChannel to) throws IOException {
            return closing ? 0 : super.transferTo(at, count, to);
        }

        @Override
        public long transferTo(long count, ByteBuffer through, StreamSinkChannel to)
                throws IOException {
            return closing ? 0 : super.transferTo(count, through, to);
        }

        @Override
        public int read(ByteBuffer to) throws IOException {
            return closing ? 0 : super.read(to);
        }

        @Override
        public long read(ByteBuffer[] to, int at, int count) throws IOException {
            return closing ? 0 : super.read(to, at, count);
        }

        @Override
        public void terminateReads() {}
    }

    /** The same for the output: once closed, whatever the library would still say is late. */
    private final class OutputUntilClosed extends AbstractStreamSinkConduit<StreamSinkConduit> {
        OutputUntilClosed() {
            super(output);
        }

        private void check() throws IOException {
            if (closing) {
                throw new ClosedChannelException();
            }
        }

        @Override
        public int write(ByteBuffer from) throws IOException {
            check();
            return super.write(from);
        }

        @Override
        public long write(ByteBuffer[] from, int at, int count) throws IOException {
            check();
            return super.write(from, at, count);
        }

        @Override
        public void terminateWrites() throws IOException {
            check();
            super.terminateWrites();
        }

        @Override
        public void truncateWrites() throws IOException {
            check();
            super.truncateWrites();
        }
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
            if (readOff() < 0) {
                closeImmediately();
            }
        } catch (IOException e) {
            closeImmediately();
        }
    }

    /** Reads what has come and drops it: how much, or -1 at the end. */
    int readOff() throws IOException {
        if (readOff > UNPACED_DRAIN_BYTES) {
            long wait = nextDrainAtNanos - System.nanoTime();
            if (wait > 0) {
                input.suspendReads();
                getIoThread()
                        .executeAfter(
                                this::resumeDraining, wait / 1_000_000 + 1, TimeUnit.MILLISECONDS);
                return 0;
            }
            nextDrainAtNanos = System.nanoTime() + DRAIN_INTERVAL.toNanos();
        }
        int got = input.read(DISCARD_BUFFER.clear());
        readOff += Math.max(0, got);
        pipelined |= got > 0;
        return got;
    }

    private void resumeDraining() {
        if (socket.isOpen() && (watched || closing)) {
            input.resumeReads();
        }
    }

    /**
     * Whether the client has closed or reset it, by a look at the socket itself; while a request of
     * it is served.
     */
    boolean isDisconnected() {
        try {
            int got = 1;
            while (got > 0) {
                got = readOff();
            }
            return got < 0;
        } catch (IOException e) {
            // It is reset, or was given back before.
            return true;
        }
    }

    // The two ways are closed by closeAction, each when its time has come.
    @Override
    protected void notifyReadClosed() {}

    @Override
    protected void notifyWriteClosed() {}

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
