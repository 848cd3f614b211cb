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

/** The service's state while its journal fails and while it stops. */
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
        controller.onEndpointUpdate(listed("n1"));
        moves = new Thread(controller::runMoves, "moves");
        moves.setDaemon(true);
        moves.start();
    }

    private static EndpointUpdate listed(String node) {
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
    void stop() throws IOException {
        controller.stop();
        controller.closeConnections();
        controller.closeJournal();
    }

    private String split() throws Exception {
        return controller.handle(
                new OperatorRequest(
                        "POST /v1/start",
                        Map.of(),
                        "{\"split\": 0, \"at\": [100]}".getBytes(StandardCharsets.UTF_8)));
    }

    /** A write fails as its thread is interrupted, which closes the journal's file. */
    private <E extends Exception> E failWrite(Class<E> failure) {
        Thread.currentThread().interrupt();
        try {
            return assertThrows(failure, this::split);
        } finally {
            Thread.interrupted();
        }
    }

    /** A request that waits for a newer layout, and what it is answered. */
    private BlockingQueue<String> watch(Duration wait) {
        BlockingQueue<String> answers = new LinkedBlockingQueue<>();
        LayoutRequest request =
                new LayoutRequest(
                        1,
                        wait.toMillis(),
                        Optional.of("r1"),
                        1,
                        new LayoutRequest.Responder() {
                            @Override
                            public void sendLayout(byte[] json) {
                                answers.add("layout");
                            }

                            @Override
                            public void sendUnavailable(String reason) {
                                answers.add(reason);
                            }

                            @Override
                            public void sendOverloaded(String reason) {
                                answers.add(reason);
                            }
                        });
        if (!controller.answerLayoutRequest(request)) {
            controller.awaitNewerLayout(request);
        }
        return answers;
    }

    private static String next(BlockingQueue<String> answers) throws InterruptedException {
        return answers.poll(5, TimeUnit.SECONDS);
    }

    /** Guards against a failed write that an operator takes for a mistake of his own. */
    @Test
    void failedWriteIsAnErrorOfTheServiceAndLeavesAJournalThatReadsBack() throws Exception {
        start(null);
        assertInstanceOf(IOException.class, failWrite(JournalWriteException.class).getCause());
        RequestRejectedException next = assertThrows(RequestRejectedException.class, this::split);
        assertEquals(503, next.status());
        controller.closeJournal();
        MoveJournalState state = new MoveJournalState(4);
        MoveJournal.open(dir.resolve("moves.log"), state, null).close();
        assertTrue(state.activeMoves().size() <= 1);
    }

    /** Guards against watchers that wait for ever once the journal has failed. */
    @Test
    void watcherIsAnsweredInItsTimeThoughTheJournalHasFailed() throws Exception {
        start(null);
        BlockingQueue<String> before = watch(Duration.ofMillis(200));
        failWrite(IOException.class);
        assertEquals("layout", next(before));
        assertEquals("layout", next(watch(Duration.ofMillis(200))));
    }

    /** Guards against routers that wait for the renewal of a lease that can't come. */
    @Test
    void watcherUnderALeaseIsToldAtOnceThatTheServiceHasFailed() throws Exception {
        start(migrationLimits());
        BlockingQueue<String> before = watch(NEVER);
        failWrite(IOException.class);
        assertEquals("this service grants no leases any more", next(before));
        assertEquals("this service grants no leases any more", next(watch(NEVER)));
    }

    @Test
    void watcherIsToldThatTheServiceStops() throws Exception {
        start(null);
        BlockingQueue<String> before = watch(NEVER);
        controller.stop();
        assertEquals("the service stops", next(before));
        assertEquals("the service stops", next(watch(NEVER)));
        moves.join();
    }

    /** Guards against a journal that a late list of nodes opens again. */
    @Test
    void stoppedServiceTakesNoList() throws Exception {
        start(null);
        controller.stop();
        controller.closeJournal();
        controller.onEndpointUpdate(listed("n2"));
        MoveJournal.open(dir.resolve("moves.log"), new MoveJournalState(4), null).close();
    }
}
