package postbeam.clients;

import java.util.concurrent.Executor;
import org.xnio.XnioIoThread;

/**
 * What the parts of one {@link QueryServer} share.
 *
 * @param queries accepts the queries
 * @param codec reads requests and writes responses
 * @param lifecycle how far the shutdown has come
 * @param connections the open connections
 * @param ioThread the one thread that reads and writes on connections
 * @param queryThreads run queries and handlers; never makes one wait
 */
record ServerContext(
        QueryServer.QueryHandler queries,
        QueryCodec codec,
        ServerLifecycle lifecycle,
        ClientConnections connections,
        XnioIoThread ioThread,
        Executor queryThreads) {}
