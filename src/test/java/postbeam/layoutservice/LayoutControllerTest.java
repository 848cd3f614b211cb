package postbeam.layoutservice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointUpdate;
import postbeam.migration.MigrationLimits;
import postbeam.model.Readiness;
import postbeam.slices.MoveJournalState;
import postbeam.slices.MoveLimits;

/** Checks the controller after a failed journal write and during shutdown. */
@Timeout(30)
class LayoutControllerTest {
    private static final Duration NEVER = Duration.ofDays(1);

    @TempDir private Path dir;
    private LayoutController controller;
    private Thread moves;

    private void start(MigrationLimits migrationLimits) throws IOException {
        controller =
                new LayoutController(
                        new LayoutService.Config(
                                "127.0.0.1:0",
                                dir.resolve("moves.log"),
                                "127.0.0.1:1",
                                4,
                                new MoveLimits(
                                        3,
                                        3,
                                        3,
                                        NEVER,
                                        NEVER,
                                        Duration.ZERO,
                                        Duration.ofSeconds(1),
                                        1,
                                        1),
                                4,
                                1,
                                migrationLimits),
                        layout -> {});
        controller.onEndpointUpdate(endpointUpdate("n1"));
        moves = new Thread(controller::runMoves, "moves");
        moves.setDaemon(true);
        moves.start();
    }

    private static EndpointUpdate endpointUpdate(String node) {
        return new EndpointUpdate(
                1,
                true,
                List.of(new Endpoint(node, "a", 0, 0, Readiness.READY)),
                Map.of(node, "127.0.0.1:1"));
    }

    private static MigrationLimits migrationLimits() {
        return new MigrationLimits(
                1,
                1,
                1000,
                1L << 40,
                NEVER,
                Duration.ZERO,
                NEVER,
                0.5,
                Duration.ofSeconds(1),
                3,
                1,
                NEVER,
                Duration.ofSeconds(1));
    }

    @AfterEach
    void tearDown() throws IOException {
        controller.stop();
        controller.closeConnections();
        controller.closeJournal();
    }

    private String startSplit() throws Exception {
        return controller.handle(
                new OperatorRequest(
                        "POST /v1/start",
                        Map.of(),
                        "{\"split\": 0, \"at\": [100]}".getBytes(StandardCharsets.UTF_8)));
    }

    /** Makes a journal write fail: an interrupt of the writing thread closes the file's channel. */
    private <E extends Exception> E failJournalWrite(Class<E> failure) {
        Thread.currentThread().interrupt();
        try {
            return assertThrows(failure, this::startSplit);
        } finally {
            Thread.interrupted();
        }
    }

    /**
     * Requests a newer layout for a router.
     *
     * @return receives "layout" or the reason of a rejection
     */
    private BlockingQueue<String> awaitNewerLayout(Duration wait) {
        BlockingQueue<String> responses = new LinkedBlockingQueue<>();
        LayoutRequest request =
                new LayoutRequest(
                        1,
                        wait.toMillis(),
                        Optional.of("r1"),
                        1,
                        new LayoutRequest.Responder() {
                            @Override
                            public void sendLayout(byte[] json) {
                                responses.add("layout");
                            }

                            @Override
                            public void sendUnavailable(String reason) {
                                responses.add(reason);
                            }

                            @Override
                            public void sendOverloaded(String reason) {
                                responses.add(reason);
                            }
                        });
        if (!controller.answerLayoutRequest(request)) {
            controller.awaitNewerLayout(request);
        }
        return responses;
    }

    private static String nextResponse(BlockingQueue<String> responses)
            throws InterruptedException {
        return responses.poll(5, TimeUnit.SECONDS);
    }

    /** Guards against a failed write that is reported to the operator as a faulty request. */
    @Test
    void failedJournalWriteIsAServiceErrorAndLeavesAReadableJournal() throws Exception {
        start(null);
        assertInstanceOf(
                IOException.class, failJournalWrite(JournalWriteException.class).getCause());
        RequestRejectedException rejection =
                assertThrows(RequestRejectedException.class, this::startSplit);
        assertEquals(503, rejection.status());
        controller.closeJournal();
        MoveJournalState state = new MoveJournalState(4);
        MoveJournal.open(dir.resolve("moves.log"), state, null).close();
        assertTrue(state.activeMoves().size() <= 1);
    }

    /** Guards against requests that wait forever after a failed journal write. */
    @Test
    void withoutLeasesAWaitingRequestReceivesTheLayoutAfterAJournalFailure() throws Exception {
        start(null);
        BlockingQueue<String> waitingResponses = awaitNewerLayout(Duration.ofMillis(200));
        failJournalWrite(IOException.class);
        assertEquals("layout", nextResponse(waitingResponses));
        assertEquals("layout", nextResponse(awaitNewerLayout(Duration.ofMillis(200))));
    }

    /**
     * Guards against routers that wait for a lease renewal after the service has lost its journal.
     */
    @Test
    void withLeasesAWaitingRequestIsRejectedAtOnceAfterAJournalFailure() throws Exception {
        start(migrationLimits());
        BlockingQueue<String> waitingResponses = awaitNewerLayout(NEVER);
        failJournalWrite(IOException.class);
        assertEquals("this service no longer grants leases", nextResponse(waitingResponses));
        assertEquals("this service no longer grants leases", nextResponse(awaitNewerLayout(NEVER)));
    }

    @Test
    void waitingAndNewRequestsAreRejectedOnceTheServiceStops() throws Exception {
        start(null);
        BlockingQueue<String> waitingResponses = awaitNewerLayout(NEVER);
        controller.stop();
        assertEquals("the service is shutting down", nextResponse(waitingResponses));
        assertEquals("the service is shutting down", nextResponse(awaitNewerLayout(NEVER)));
        moves.join();
    }

    /** Guards against a closed journal that a late endpoint update opens again. */
    @Test
    void stoppedServiceIgnoresEndpointUpdates() throws Exception {
        start(null);
        controller.stop();
        controller.closeJournal();
        controller.onEndpointUpdate(endpointUpdate("n2"));
        MoveJournal.open(dir.resolve("moves.log"), new MoveJournalState(4), null).close();
    }
}
