package postbeam.clients;

import java.util.concurrent.Executor;
import org.xnio.XnioIoThread;

/**
 * Components that the classes of one {@link QueryServer} share.
 *
 * @param queries accepts the queries
 * @param codec decodes requests and encodes responses
 * @param lifecycle state of the shutdown
 * @param connections the open connections
 * @param ioThread the only thread that reads and writes connections
 * @param queryThreads runs queries and handlers without queueing them
 */
record ServerContext(
        QueryServer.QueryHandler queries,
        QueryCodec codec,
        ServerLifecycle lifecycle,
        ClientConnections connections,
        XnioIoThread ioThread,
        Executor queryThreads) {}
