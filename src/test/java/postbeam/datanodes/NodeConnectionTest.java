package postbeam.datanodes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import postbeam.config.InstanceSettings;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.QueryAction;
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointUpdate;
import postbeam.json.Json;
import postbeam.model.Readiness;
import postbeam.router.InFlightQuery;
import postbeam.router.PolicyExecutor;

/** Calls on their way to a node that accepts connections and says nothing. */
@Timeout(30)
class NodeConnectionTest {
    private final ServerSocket node = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final XnioWorker worker =
            Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    private final PolicyExecutor decisions =
            new PolicyExecutor(
                    new InstanceSettings(
                            Json.parseObject(
                                    ("{\"zone\":\"a\",\"nInstances\":1,"
                                         + "\"domain\":{\"cells\":1,\"reach\":1},\"caps\":{\"maxAttempts\":3,\"cancelling\":true},\"classes\":["
                                         + "{\"name\":\"lookup\",\"promise\":1000000,\"effect\":\"retryable\"}]}")
                                            .getBytes(StandardCharsets.UTF_8)),
                            ""),
                    1,
                    2,
                    Duration.ofMillis(50),
                    null);
    private final DataNodeClient nodes =
            new DataNodeClient(
                    worker.getIoThread(),
                    decisions,
                    32,
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(10),
                    10,
                    false);

    private final Thread ticks =
            new Thread(
                    () -> {
                        try {
                            while (true) {
                                decisions().awaitBackgroundActions();
                            }
                        } catch (InterruptedException e) {
                            // The test is over.
                        }
                    });

    NodeConnectionTest() throws IOException {
        decisions.onEndpointUpdate(
                new EndpointUpdate(
                        1,
                        true,
                        List.of(new Endpoint("n1", "a", 0, 0, Readiness.READY)),
                        Map.of("n1", dial())));
        ticks.setDaemon(true);
        ticks.start();
    }

    private PolicyExecutor decisions() {
        return decisions;
    }

    private String dial() {
        return "127.0.0.1:" + node.getLocalPort();
    }

    @AfterEach
    void tearDown() throws IOException {
        ticks.interrupt();
        worker.shutdownNow();
        node.close();
    }

    private InFlightQuery take(String id) throws Exception {
        return decisions
                .accept(
                        new ClientRequest(
                                id,
                                "lookup",
                                null,
                                Duration.ofSeconds(5),
                                List.of(new ClientRequest.RequestedShard(0, 1, null)),
                                new byte[] {'x'}),
                        Duration.ZERO)
                .orElseThrow();
    }

    private void send(InFlightQuery q) throws InterruptedException {
        QueryAction.Send send = assertInstanceOf(QueryAction.Send.class, decisions.awaitAction(q));
        nodes.send(send.address(), send.attempts());
    }

    /** The I/O thread stands until it is let on; returns once it does. */
    private CountDownLatch held() throws InterruptedException {
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch goesOn = new CountDownLatch(1);
        worker.getIoThread()
                .execute(
                        () -> {
                            stands.countDown();
                            try {
                                goesOn.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        stands.await();
        return goesOn;
    }

    private static String part(DataInputStream in) throws IOException {
        byte[] frame = in.readNBytes(Integer.reverseBytes(in.readInt()));
        return new String(frame, StandardCharsets.UTF_8).split(" ", -1)[0];
    }

    /**
     * Its call is decided on and handed over; before its turn comes its client has closed, which
     * nobody has read yet.
     */
    @Test
    void attemptIsNotWrittenOnceItsClientHasDisconnected() throws Exception {
        InFlightQuery gone = take("gone");
        InFlightQuery stays = take("stays");
        CountDownLatch[] left = {new CountDownLatch(1)};
        gone.setClientCheck(
                () -> {
                    if (left[0].getCount() == 0) {
                        decisions.clientDisconnected(gone);
                    }
                });
        CountDownLatch goesOn = held();
        send(gone);
        left[0].countDown();
        send(stays);
        goesOn.countDown();
        try (Socket router = node.accept()) {
            assertEquals("mstays.0", part(new DataInputStream(router.getInputStream())));
        }
        assertInstanceOf(QueryAction.CancelAttempt.class, decisions.awaitAction(gone));
        assertInstanceOf(QueryAction.ClientDisconnected.class, decisions.awaitAction(gone));
    }
}
