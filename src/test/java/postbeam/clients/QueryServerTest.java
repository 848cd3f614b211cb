package postbeam.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.PendingQuery;

@Timeout(30)
class QueryServerTest {
    private LoopbackQueryServer loopback;
    private XnioWorker worker;
    private QueryServer server;
    private Socket client;
    private BufferedReader responses;

    private volatile String warning;

    @BeforeEach
    void setUp() throws IOException {
        loopback =
                new LoopbackQueryServer(
                        new QueryServer.QueryHandler() {
                            @Override
                            public PendingQuery submit(ClientRequest clientRequest, Duration age) {
                                throw new UnsupportedOperationException();
                            }

                            @Override
                            public boolean isReady() {
                                return true;
                            }

                            @Override
                            public Optional<String> warning() {
                                return Optional.ofNullable(warning);
                            }
                        },
                        8);
        worker = loopback.worker;
        server = loopback.server;
        client = loopback.connect();
        responses =
                new BufferedReader(
                        new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
    }

    @AfterEach
    void tearDown() throws IOException {
        client.close();
        loopback.close();
    }

    private void sendRequest() throws IOException {
        client.getOutputStream()
                .write(
                        "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Reads a response and returns the lines of its head, the empty line and one line of its body.
     */
    private List<String> readResponse() throws IOException {
        List<String> lines = new ArrayList<>();
        String line;
        while ((line = responses.readLine()) != null) {
            lines.add(line);
            if (line.isEmpty()) {
                lines.add(responses.readLine());
                break;
            }
        }
        return lines;
    }

    /** A router whose list was rejected reported that it was ready, and nothing else. */
    @Test
    void healthCheckReportsTheWarningOfAReadyRouter() throws IOException {
        warning = "the endpoint list is not followed: response body has 9 bytes, the limit is 8";
        sendRequest();
        List<String> response = readResponse();
        assertEquals("HTTP/1.1 200 OK", response.get(0));
        assertEquals("ready; " + warning, response.get(response.size() - 1));
    }

    /** The I/O thread is blocked: a received request is still unread when the server is closed. */
    @Test
    void requestReceivedBeforeCloseIsAnsweredAndEndsTheConnection() throws Exception {
        sendRequest();
        assertEquals("HTTP/1.1 200 OK", readResponse().get(0));
        CountDownLatch release = new CountDownLatch(1);
        worker.getIoThread()
                .execute(
                        () -> {
                            try {
                                release.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        server.close();
        sendRequest();
        release.countDown();
        List<String> response = readResponse();
        assertTrue(
                !response.isEmpty() && response.get(0).equals("HTTP/1.1 200 OK"),
                response.toString());
        assertTrue(response.contains("Connection: close"), response.toString());
        assertEquals(-1, responses.read());
    }

    /**
     * The I/O thread is blocked: established connections wait in the backlog when the server is
     * closed.
     */
    @Test
    void connectionsInTheBacklogAreServedAfterClose() throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        worker.getIoThread()
                .execute(
                        () -> {
                            blocked.countDown();
                            try {
                                release.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        blocked.await();
        client.close();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            client = loopback.connect();
            clients.add(client);
            sendRequest();
        }
        server.close();
        release.countDown();
        for (Socket socket : clients) {
            responses =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            List<String> response = readResponse();
            assertTrue(
                    !response.isEmpty() && response.get(0).equals("HTTP/1.1 200 OK"),
                    response.toString());
            assertEquals(-1, responses.read());
            socket.close();
        }
    }

    /**
     * Connections that the accepting thread takes from the backlog after the server was closed must
     * not be reset.
     */
    @Test
    void connectionsAcceptedLateFromTheBacklogAreServedAfterClose() throws Exception {
        client.close();
        CountDownLatch release = new CountDownLatch(1);
        block(acceptingThread(), release);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            client = loopback.connect();
            clients.add(client);
            sendRequest();
        }
        server.close();
        awaitIoThread();
        Thread.sleep(30);
        release.countDown();
        for (Socket socket : clients) {
            responses =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            List<String> response = readResponse();
            assertTrue(
                    !response.isEmpty() && response.get(0).equals("HTTP/1.1 200 OK"),
                    response.toString());
            assertTrue(response.contains("Connection: close"), response.toString());
            assertEquals(-1, responses.read());
            socket.close();
        }
    }

    /** Returns the thread of the I/O library that takes connections from the backlog. */
    private XnioIoThread acceptingThread() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread instanceof XnioIoThread)
                .map(XnioIoThread.class::cast)
                .filter(thread -> thread.getWorker() == worker && thread != worker.getIoThread())
                .findFirst()
                .orElseThrow();
    }

    private static void block(XnioIoThread thread, CountDownLatch release)
            throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        thread.execute(
                () -> {
                    blocked.countDown();
                    try {
                        release.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        blocked.await();
    }

    private void awaitIoThread() throws Exception {
        FutureTask<Boolean> task = new FutureTask<>(() -> true);
        worker.getIoThread().execute(task);
        task.get();
    }

    @Test
    void serverIsDrainedOnceItsIdleConnectionsAreClosed() throws Exception {
        sendRequest();
        readResponse();
        server.close();
        assertEquals(-1, responses.read());
        boolean drained = false;
        while (!drained) {
            FutureTask<Boolean> task = new FutureTask<>(server::isDrained);
            worker.getIoThread().execute(task);
            drained = task.get();
        }
    }
}
