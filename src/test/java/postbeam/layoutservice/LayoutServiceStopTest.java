package postbeam.layoutservice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import postbeam.slices.Layout;
import postbeam.slices.LayoutChange;
import postbeam.slices.Move;
import postbeam.slices.MoveJournalState;
import postbeam.slices.MoveLimits;
import postbeam.testbed.fakes.FakeDiscovery;

/** Checks a clean stop of the service while operators start moves. */
class LayoutServiceStopTest {
    private static final int STOPS = 15;
    private static final int SLICES = 2000;
    private static final int OPERATORS = 4;
    private static final Duration NEVER = Duration.ofDays(1);

    @TempDir private Path dir;
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<String> errors = new CopyOnWriteArrayList<>();
    private final Logger logger = Logger.getLogger(LayoutController.class.getName());
    private final Handler errorRecorder =
            new Handler() {
                @Override
                public void publish(LogRecord message) {
                    if (message.getLevel().intValue() >= Level.SEVERE.intValue()) {
                        errors.add(message.getMessage() + ": " + message.getThrown());
                    }
                }

                @Override
                public void flush() {}

                @Override
                public void close() {}
            };

    private final Random random = new Random(5);

    @BeforeEach
    void recordErrors() {
        logger.addHandler(errorRecorder);
    }

    @AfterEach
    void stopRecordingErrors() {
        logger.removeHandler(errorRecorder);
    }

    private LayoutService.Config config(Path journal, FakeDiscovery discovery) {
        return new LayoutService.Config(
                "127.0.0.1:0",
                journal,
                discovery.address(),
                4,
                new MoveLimits(
                        SLICES,
                        SLICES,
                        SLICES,
                        NEVER,
                        NEVER,
                        Duration.ZERO,
                        Duration.ofSeconds(1),
                        1,
                        1),
                SLICES,
                1);
    }

    private int startSplit(String address, int slice) throws InterruptedException {
        try {
            HttpResponse<String> response =
                    client.send(
                            HttpRequest.newBuilder(URI.create("http://" + address + "/v1/start"))
                                    .POST(
                                            HttpRequest.BodyPublishers.ofString(
                                                    "{\"split\": "
                                                            + slice
                                                            + ", \"at\": ["
                                                            + secondKeyOf(slice)
                                                            + "]}"))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            return response.statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    private static long secondKeyOf(int slice) {
        return Layout.initial(SLICES, List.of("n1"), 1).slice(slice).keys().from() + 1;
    }

    /**
     * Guards against a stop that interrupts a thread during a journal write, which leaves a torn
     * record.
     */
    @Test
    @Timeout(60)
    void requestsDuringAStopAreRecordedOrRejected() throws Exception {
        for (int stop = 0; stop < STOPS; stop++) {
            Path journal = dir.resolve("moves" + stop);
            Set<Integer> accepted = ConcurrentHashMap.newKeySet();
            Set<Integer> statuses = ConcurrentHashMap.newKeySet();
            try (FakeDiscovery discovery =
                    new FakeDiscovery(FakeDiscovery.hostEntry("n1", "127.0.0.1:1", "a", "up", 0))) {
                LayoutService service = new LayoutService(config(journal, discovery));
                service.start();
                String address = service.address();
                while (startSplit(address, SLICES - 1) != 200) {
                    Thread.sleep(5);
                }
                AtomicInteger nextSlice = new AtomicInteger();
                List<Thread> operators = new ArrayList<>();
                for (int i = 0; i < OPERATORS; i++) {
                    operators.add(
                            new Thread(() -> startMoves(address, nextSlice, accepted, statuses)));
                }
                operators.forEach(Thread::start);
                Thread.sleep(20 + random.nextInt(30));
                service.close();
                for (Thread operator : operators) {
                    operator.join();
                }
            }
            assertTrue(
                    Set.of(0, 200, 503).containsAll(statuses),
                    "stop " + stop + ", statuses " + statuses);
            assertReadsBack(journal, accepted);
            assertEquals(List.of(), errors, "stop " + stop);
        }
    }

    private void startMoves(
            String address, AtomicInteger nextSlice, Set<Integer> accepted, Set<Integer> statuses) {
        try {
            int status = 200;
            while (status == 200) {
                int slice = nextSlice.getAndIncrement();
                status = startSplit(address, slice);
                statuses.add(status);
                if (status == 200) {
                    accepted.add(slice);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void assertReadsBack(Path journal, Set<Integer> accepted) throws IOException {
        MoveJournalState state = new MoveJournalState(4);
        try (MoveJournal opened = MoveJournal.open(journal, state, null)) {
            assertEquals(0, opened.tornBytes());
        }
        Set<Integer> recorded = ConcurrentHashMap.newKeySet();
        for (Move move : state.activeMoves()) {
            recorded.add(((LayoutChange.Split) move.change).slice());
        }
        assertTrue(
                recorded.containsAll(accepted), "accepted " + accepted + ", recorded " + recorded);
    }
}
