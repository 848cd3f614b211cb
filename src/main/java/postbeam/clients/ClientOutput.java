package postbeam.clients;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.util.function.BooleanSupplier;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/** Output for the HTTP library. After a close every write of the library fails. */
final class ClientOutput extends AbstractStreamSinkConduit<StreamSinkConduit> {
    private final BooleanSupplier closing;

    /**
     * Creates the output of a connection.
     *
     * @param output the socket's output
     * @param closing whether the connection was closed
     */
    ClientOutput(StreamSinkConduit output, BooleanSupplier closing) {
        super(output);
        this.closing = closing;
    }

    private void checkOpen() throws IOException {
        if (closing.getAsBoolean()) {
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
