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
}
