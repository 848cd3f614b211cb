package postbeam.clients;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.function.BooleanSupplier;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Input for the HTTP library. After a close it returns no more bytes, while the input of the socket
 * stays open.
 *
 * <p>Each time the selector reports the socket as readable, the rest of one request may be read;
 * further reads return nothing until the next time. Otherwise the library would read and process a
 * client's requests for as long as more of them arrive: it wakes itself up by tasks of the I/O
 * thread, which run before the selector serves the other connections.
 */
final class ClientInput extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** A head and a body of the greatest lengths, but for the framing of chunks. */
    private static final long MAX_BYTES = QueryServer.MAX_HEAD_BYTES + RequestReader.MAX_BODY_BYTES;

    private final BooleanSupplier closing;

    /** Bytes read since the selector last reported the socket as readable. */
    private long bytesRead;

    /** Whether a request has ended since then. */
    private boolean hasRequestEnded;

    /** Whether the next notification comes from the HTTP library and not from the selector. */
    private boolean wakeupRequested;

    /**
     * Creates the input of a connection.
     *
     * @param input the socket's input
     * @param closing whether the connection was closed
     */
    ClientInput(StreamSourceConduit input, BooleanSupplier closing) {
        super(input);
        this.closing = closing;
    }

    @Override
    public void setReadReadyHandler(ReadReadyHandler handler) {
        super.setReadReadyHandler(
                new ReadReadyHandler() {
                    @Override
                    public void readReady() {
                        onReadReady();
                        handler.readReady();
                    }

                    @Override
                    public void forceTermination() {
                        handler.forceTermination();
                    }

                    @Override
                    public void terminated() {
                        handler.terminated();
                    }
                });
    }

    private void onReadReady() {
        if (!wakeupRequested) {
            bytesRead = 0;
            hasRequestEnded = false;
        }
        wakeupRequested = false;
    }

    @Override
    public void wakeupReads() {
        wakeupRequested = true;
        super.wakeupReads();
    }

    /** Records that a request has been answered or given up. */
    void requestEnded() {
        hasRequestEnded = true;
    }

    private boolean mayRead() {
        return !closing.getAsBoolean() && !hasRequestEnded && bytesRead < MAX_BYTES;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return mayRead() ? countRead(super.transferTo(position, count, target)) : 0;
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
            throws IOException {
        return mayRead() ? countRead(super.transferTo(count, throughBuffer, target)) : 0;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        return mayRead() ? (int) countRead(super.read(target)) : 0;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        return mayRead() ? countRead(super.read(targets, offset, length)) : 0;
    }

    private long countRead(long bytes) {
        bytesRead += Math.max(0, bytes);
        return bytes;
    }

    @Override
    public void terminateReads() {}
}
