package postbeam.datanodes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import postbeam.dispatch.AttemptListener;
import postbeam.dispatch.AttemptResult;
import postbeam.testbed.fakes.ScriptedDataNode;

/** Tests connections to a node on loopback while the router's I/O thread is late. */
@Timeout(30)
class DataNodeClientTest {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);
    private static final Duration IO_THREAD_DELAY = Duration.ofMillis(400);

    private final BlockingQueue<Boolean> healthChecks = new LinkedBlockingQueue<>();
    private final ScriptedDataNode node = new ScriptedDataNode();
    private final XnioWorker worker =
            Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    private final DataNodeClient client =
            new DataNodeClient(
                    worker.getIoThread(),
                    new AttemptListener() {
                        @Override
                        public void onAttemptResults(List<AttemptResult> results) {}

                        @Override
                        public void onHealthCheck(String nodeName, boolean healthy) {
                            healthChecks.add(healthy);
                        }
                    },
                    1,
                    CONNECT_TIMEOUT,
                    Duration.ofSeconds(10),
                    10,
                    false);

    DataNodeClientTest() throws IOException {}

    @AfterEach
    void tearDown() {
        worker.shutdownNow();
        node.close();
    }

    private void delayIoThread() {
        worker.getIoThread()
                .execute(
                        () -> {
                            try {
                                Thread.sleep(IO_THREAD_DELAY.toMillis());
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
    }

    private boolean nextHealthCheck() throws InterruptedException {
        return Boolean.TRUE.equals(healthChecks.poll(10, TimeUnit.SECONDS));
    }

    /**
     * The connect timeout expires while the I/O thread is blocked. A connection that was
     * established in time must not be closed, which would open a second one.
     */
    @Test
    void connectionEstablishedWhileIoThreadIsLateIsUsed() throws Exception {
        client.probe("n1", node.dialAddress());
        delayIoThread();
        assertTrue(nextHealthCheck(), "the connection was established in time");
        client.probe("n1", node.dialAddress());
        assertTrue(nextHealthCheck());
        assertEquals(1, node.sockets.size());
    }

    /**
     * The node closes the idle connection, and a request is queued before the I/O thread sees that.
     * The request was written to the closed connection and counted as lost.
     */
    @Test
    void idleConnectionClosedWhileIoThreadIsLateIsNotUsed() throws Exception {
        client.probe("n1", node.dialAddress());
        assertTrue(nextHealthCheck());
        delayIoThread();
        node.sockets.get(0).close();
        client.probe("n1", node.dialAddress());
        assertTrue(nextHealthCheck(), "the request was sent on a new connection");
        assertEquals(
                2, node.history().stream().filter(event -> event.contains("accepted")).count());
    }
}
