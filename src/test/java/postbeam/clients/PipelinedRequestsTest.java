package postbeam.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.PendingQuery;

/** Tests that a client whose next request is always there leaves the I/O thread to others. */
@Timeout(60)
class PipelinedRequestsTest {
    private static final int REQUESTS = 20_000;

    /** So many that neither connection is closed early to keep others free. */
    private static final int MAX_CONNECTIONS = 64;

    /** Part of the requests that may be answered before another client is. */
    private static final int MAX_PART_BEFORE_OTHERS = 4;

    /** Malformed, so that it is answered on the I/O thread, and in many small chunks. */
    private static final String REQUEST =
            "POST /search HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "1\r\n{\r\n".repeat(12)
                    + "0\r\n\r\n";

    private LoopbackQueryServer server;

    /** Bytes of the responses to the pipelined requests. */
    private final AtomicLong responseBytes = new AtomicLong();

    /** Value of {@link #responseBytes} at the last health check. */
    private volatile long responseBytesAtHealthCheck;

    @BeforeEach
    void setUp() throws IOException {
        server =
                new LoopbackQueryServer(
                        new QueryServer.QueryHandler() {
                            @Override
                            public PendingQuery submit(ClientRequest request, Duration age) {
                                throw new UnsupportedOperationException();
                            }

                            @Override
                            public boolean isReady() {
                                responseBytesAtHealthCheck = responseBytes.get();
                                return true;
                            }
                        },
                        MAX_CONNECTIONS);
    }

    @AfterEach
    void tearDown() {
        server.close();
    }

    private interface Task {
        void run() throws IOException;
    }

    private static Thread start(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // The test has closed the socket.
                            }
                        });
        thread.start();
        return thread;
    }

    private void countResponses(Socket client) throws IOException {
        byte[] buffer = new byte[1 << 16];
        InputStream responses = client.getInputStream();
        for (int count = 0; count >= 0; count = responses.read(buffer)) {
            responseBytes.addAndGet(count);
        }
    }

    private static void checkHealth(Socket client) throws IOException {
        client.getOutputStream()
                .write(
                        "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
        assertTrue(client.getInputStream().read(new byte[1024]) > 0);
    }

    /** A client that pipelined small requests kept others waiting until it paused, for seconds. */
    @Test
    void clientWithEndlessRequestsDoesNotDelayOthers() throws Exception {
        try (Socket flooding = server.connect();
                Socket other = server.connect()) {
            checkHealth(other);
            Thread reader = start(() -> countResponses(flooding));
            byte[] block = REQUEST.repeat(100).getBytes(StandardCharsets.US_ASCII);
            Thread writer =
                    start(
                            () -> {
                                for (int i = 0; i < REQUESTS / 100; i++) {
                                    flooding.getOutputStream().write(block);
                                }
                                flooding.shutdownOutput();
                            });
            while (responseBytes.get() == 0) {
                Thread.onSpinWait();
            }
            long sentAfter = responseBytes.get();
            checkHealth(other);
            long answeredAfter = responseBytesAtHealthCheck;
            writer.join();
            reader.join();
            long answeredMeanwhile = answeredAfter - sentAfter;
            assertEquals(0, responseBytes.get() % REQUESTS, "a request was not answered");
            assertTrue(
                    answeredMeanwhile < responseBytes.get() / MAX_PART_BEFORE_OTHERS,
                    answeredMeanwhile
                            + " of "
                            + responseBytes.get()
                            + " response bytes came first");
        }
    }
}
