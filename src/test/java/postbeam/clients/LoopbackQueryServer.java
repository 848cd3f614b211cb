package postbeam.clients;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** A query server on a free loopback port with a worker of its own. */
final class LoopbackQueryServer implements Closeable {
    final XnioWorker worker;
    final QueryServer server;

    /** Starts to listen; queries of the class {@code search} are accepted. */
    LoopbackQueryServer(QueryServer.QueryHandler handler, int maxConnections) throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        server =
                new QueryServer(
                        worker,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        handler,
                        Map.of("search", Duration.ofSeconds(3)),
                        Set.of(),
                        1,
                        new ClientLimits(maxConnections, 1 << 20));
        server.start();
    }

    Socket connect() throws IOException {
        return new Socket(
                InetAddress.getLoopbackAddress(),
                Integer.parseInt(server.address().replaceAll(".*:", "")));
    }

    @Override
    public void close() {
        server.stop();
        worker.shutdownNow();
    }
}
