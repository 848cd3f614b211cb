package postbeam.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.PendingQuery;

@Timeout(30)
class QueryServerTest {
    private XnioWorker worker;
    private QueryServer server;
    private Socket client;
    private BufferedReader responses;

    @BeforeEach
    void setUp() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        server =
                new QueryServer(
                        worker,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new QueryServer.QueryHandler() {
                            @Override
                            public PendingQuery submit(ClientRequest clientRequest, Duration age) {
                                throw new UnsupportedOperationException();
                            }

                            @Override
                            public boolean isReady() {
                                return true;
                            }
                        },
                        Map.of(),
                        Set.of(),
                        1,
                        8);
        server.start();
        client =
                new Socket(
                        InetAddress.getLoopbackAddress(),
                        Integer.parseInt(server.address().replaceAll(".*:", "")));
        responses =
                new BufferedReader(
                        new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
    }

    @AfterEach
    void tearDown() throws IOException {
        client.close();
        server.stop();
        worker.shutdownNow();
    }

    private void sendRequest() throws IOException {
        client.getOutputStream()
                .write(
                        "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
    }

    /** Its lines; what follows the empty one is left but for its one line. */
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

    /** The router is late: the request has come, and is unread when the server closes. */
    @Test
    void requestReceivedBeforeTheServerClosedIsAnsweredAndIsTheLast() throws Exception {
        sendRequest();
        assertEquals("HTTP/1.1 200 OK", readResponse().get(0));
        CountDownLatch late = new CountDownLatch(1);
        worker.getIoThread()
                .execute(
                        () -> {
                            try {
                                late.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        server.close();
        sendRequest();
        late.countDown();
        List<String> answer = readResponse();
        assertTrue(!answer.isEmpty() && answer.get(0).equals("HTTP/1.1 200 OK"), answer.toString());
        assertTrue(answer.contains("Connection: close"), answer.toString());
        assertEquals(-1, responses.read());
    }

    /**
     * The router is late: connections that its machine has accepted wait for it when the server is
     * told to close.
     */
    @Test
    void connectionsInTheBacklogAreServedWhenTheServerCloses() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch late = new CountDownLatch(1);
        worker.getIoThread()
                .execute(
                        () -> {
                            held.countDown();
                            try {
                                late.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        held.await();
        client.close();
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            client =
                    new Socket(
                            InetAddress.getLoopbackAddress(),
                            Integer.parseInt(server.address().replaceAll(".*:", "")));
            waiting.add(client);
            sendRequest();
        }
        server.close();
        late.countDown();
        for (Socket one : waiting) {
            responses =
                    new BufferedReader(
                            new InputStreamReader(one.getInputStream(), StandardCharsets.US_ASCII));
            List<String> answer = readResponse();
            assertTrue(
                    !answer.isEmpty() && answer.get(0).equals("HTTP/1.1 200 OK"),
                    answer.toString());
            assertEquals(-1, responses.read());
            one.close();
        }
    }

    /** Guards against a reset of what the accepting thread takes over after the close. */
    @Test
    void connectionsThatAreTakenFromTheBacklogLateAreServedWhenTheServerCloses() throws Exception {
        client.close();
        CountDownLatch release = new CountDownLatch(1);
        hold(acceptingThread(), release);
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            client =
                    new Socket(
                            InetAddress.getLoopbackAddress(),
                            Integer.parseInt(server.address().replaceAll(".*:", "")));
            waiting.add(client);
            sendRequest();
        }
        server.close();
        awaitIoThread();
        Thread.sleep(30);
        release.countDown();
        for (Socket one : waiting) {
            responses =
                    new BufferedReader(
                            new InputStreamReader(one.getInputStream(), StandardCharsets.US_ASCII));
            List<String> answer = readResponse();
            assertTrue(
                    !answer.isEmpty() && answer.get(0).equals("HTTP/1.1 200 OK"),
                    answer.toString());
            assertTrue(answer.contains("Connection: close"), answer.toString());
            assertEquals(-1, responses.read());
            one.close();
        }
    }

    /** The thread of the I/O library that takes connections from the backlog. */
    private XnioIoThread acceptingThread() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread instanceof XnioIoThread)
                .map(XnioIoThread.class::cast)
                .filter(thread -> thread.getWorker() == worker && thread != worker.getIoThread())
                .findFirst()
                .orElseThrow();
    }

    private static void hold(XnioIoThread thread, CountDownLatch release)
            throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        thread.execute(
                () -> {
                    held.countDown();
                    try {
                        release.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        held.await();
    }

    private void awaitIoThread() throws Exception {
        FutureTask<Boolean> asked = new FutureTask<>(() -> true);
        worker.getIoThread().execute(asked);
        asked.get();
    }

    @Test
    void serverIsDrainedOnceItsIdleConnectionsAreClosed() throws Exception {
        sendRequest();
        readResponse();
        server.close();
        assertEquals(-1, responses.read());
        boolean idle = false;
        while (!idle) {
            FutureTask<Boolean> asked = new FutureTask<>(server::isDrained);
            worker.getIoThread().execute(asked);
            idle = asked.get();
        }
    }
}
