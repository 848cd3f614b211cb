package postbeam.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SimulatorSessionTest {
    private static final String CREATE =
            "CREATE\t3\t5\tclasses.count=1\tclasses.0.name=a\tclasses.0.promise=2000000"
                    + "\tclasses.0.effect=retryable\tcaps.maxAttempts=3\tdomain.cells=1"
                    + "\tdomain.reach=1\tnew.key=7\n";
    private static final String LIST =
            """
            SNAPSHOT_ROWS\t0\t1
            ROW\tz\t0\t10.0.0.1:80\t1\t-\tm\t1
            REGISTRY\t3\t0\t2\t1
            """;
    private static final String QUERY =
            """
            INGRESS\t3\tq-id\ta\t-\t-\t4000000\t-\t1\t-1\t1\t0
            INGRESS\t3\tp-id\ta\t-\t-\t4000000\t-\t1\t0\t1.0\t0
            """;

    private static String reply(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] bytes = input.getBytes(StandardCharsets.UTF_8);
        new SimulatorSession(new ByteArrayInputStream(bytes), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Returns a batch of events at a time in microseconds. */
    private static String batch(long clockMicros, String... events) {
        return "SYNC\t" + clockMicros + "\n" + String.join("", events) + "EOF_BATCH\n";
    }

    private static String successReport(String requestId) {
        return "REPORT_BACK\t3\t" + requestId + "\t0\tok\t1\t100\t10.0.0.1:80\t-\n";
    }

    @Test
    void emptyBatchOfEventsIsAnsweredWithDone() throws IOException {
        assertEquals("DONE\n", reply(batch(5)));
    }

    @Test
    void requestIsSentAndItsQueryAnsweredOnce() throws IOException {
        String reply =
                reply(
                        batch(5, CREATE, LIST, QUERY)
                                + batch(105, successReport("p-id"))
                                + batch(110, "ABANDONED\t3\tq-id\n"));
        assertTrue(reply.startsWith("ATTEMPT\t3\tp-id\t10.0.0.1:80\t"), reply);
        assertEquals(reply.indexOf("WRAP_UP\t3\tq-id\t1\n"), reply.lastIndexOf("WRAP_UP"), reply);
        assertTrue(reply.contains("WRAP_UP"), reply);
    }

    @Test
    void secondStepIsSentAndAnswered() throws IOException {
        String untilSecondStep =
                batch(5, CREATE.replace("new.key=7", "domain.followUp=1"), LIST, QUERY)
                        + batch(105, successReport("p-id"))
                        + batch(110, "INGRESS\t3\tp-two\ta\t-\t-\t4000000\t-\t1\t0\t1.0\t0\n");
        String sent = reply(untilSecondStep + batch(210));
        assertTrue(sent.contains("ATTEMPT\t3\tp-two\t10.0.0.1:80\t"), sent);
        String both = reply(untilSecondStep + batch(210, successReport("p-two")));
        assertEquals(3, both.split("WRAP_UP\t3\tq-id\t1\n").length, both);
        // A query that can't complete its second step is rejected; it is not answered with the
        // results of the first step alone.
        String late = reply(untilSecondStep + batch(210) + batch(3_999_000, "RING\t3\t0\n"));
        assertTrue(late.contains("REJECT\t3\tq-id\t"), late);
    }

    @Test
    void routerCanStopAndRestartInOneBatchOfEvents() throws IOException {
        String input = batch(5, CREATE, LIST) + batch(10, "DETACH\t3\n", CREATE, LIST, QUERY);
        assertTrue(reply(input).contains("ATTEMPT\t3\tp-id"));
    }

    @Test
    void exceptionInThePolicyIsReportedAndTheSessionContinues() throws IOException {
        String unknownCell = LIST.replace("ROW\tz\t0", "ROW\tz\t5");
        String reply = reply(batch(5, CREATE, unknownCell) + batch(10));
        assertTrue(reply.startsWith("PANIC\t3\tjava.lang.IndexOutOfBoundsException: "), reply);
        assertTrue(reply.endsWith("DONE\nDONE\n"), reply);
    }

    @Test
    void malformedInputIsReportedWithTheLineNumber() {
        MalformedLineException e =
                assertThrows(MalformedLineException.class, () -> reply("SYNC\t5\nINGRESS\tx\n"));
        assertTrue(e.getMessage().startsWith("line 2: "), e.getMessage());
    }

    @Test
    void invalidFieldsAndSettingsAreReportedWithTheLine() {
        Map<String, String> problems =
                Map.of(
                        batch(5, CREATE.replace("retryable", "sometimes")),
                        "line 2: classes.0.effect must be retryable, dedup or fragile,"
                                + " not sometimes, in: ",
                        batch(5, "DETACH\t9\n"),
                        "line 2: unknown router 9, in: DETACH 9",
                        batch(5, CREATE, successReport("p-id").replace("ok", "odd")),
                        "line 3: unknown outcome odd, in: ",
                        batch(5, CREATE, "SPEAK\t3\n"),
                        "line 3: unknown event SPEAK, in: ",
                        batch(5, CREATE, "RING\t3\tx\n"),
                        "line 3: For input string: \"x\", in: ",
                        batch(5, CREATE, "ABANDONED\t3\n"),
                        "line 3: the line has too few fields, in: ",
                        batch(5, CREATE, "ABANDONED\t3\t-\n"),
                        "line 3: a required field has the value -, which means absent, in: ",
                        batch(5, CREATE, LIST.replace("REGISTRY\t3\t0", "REGISTRY\t3\t8")),
                        "line 5: unknown endpoint list 8, in: ");
        problems.forEach(
                (input, problem) -> {
                    MalformedLineException e =
                            assertThrows(MalformedLineException.class, () -> reply(input));
                    assertTrue(e.getMessage().startsWith(problem), e.getMessage());
                });
    }

    @Test
    void discoveryIsPolledOnlyInSubscribeMode() throws IOException {
        String polled =
                CREATE.replace("new.key=7", "discovery=subscribe\tobligations.askEvery=10000000");
        assertTrue(reply(batch(5, polled, LIST)).contains("OBSERVE\t3\t1\n"));
        assertEquals("DONE\n", reply(batch(5, CREATE, LIST)));
    }

    @Test
    void rejectionHasARetryAfterOnlyIfTheSettingsAllowIt() throws IOException {
        String settings = "caps.maxRetryAfter=2000000\tcaps.mostHeld=2\tcaps.retryAfter=";
        String other =
                QUERY.replace("q-id", "r-id").replace("p-id", "s-id").replace("-\t1\t", "-\t2\t");
        String timer = batch(3_999_000, "RING\t3\t0\n");
        String allowed = CREATE.replace("new.key=7", settings + "true");
        assertTrue(
                reply(batch(5, allowed, QUERY, other) + timer)
                        .contains("REJECT\t3\tq-id\t300000\n"));
        String forbidden = CREATE.replace("new.key=7", settings + "false");
        assertTrue(
                reply(batch(5, forbidden, QUERY, other) + timer).contains("REJECT\t3\tq-id\t0\n"));
    }

    @Test
    void clientRetryPastItsLatencyObjectiveIsRejected() throws IOException {
        assertTrue(replyToRetry(2_900_000).contains("REJECT\t3\tr-id\t"));
        assertTrue(replyToRetry(3_900_000).contains("ATTEMPT\t3\ts-id\t"));
    }

    /** Replies to a query with a timeout of 4 s and to its retry; the client waits 5 s in total. */
    private static String replyToRetry(long timeoutMicros) throws IOException {
        String create = CREATE.replace("new.key=7", "classes.0.deadline=5000000");
        String retry =
                QUERY.replace("q-id", "r-id")
                        .replace("p-id", "s-id")
                        .replace("4000000", Long.toString(timeoutMicros))
                        .replace("-\t1\t", "-\t2\t")
                        .replace("\t1\t0\nINGRESS", "\t1\t2\nINGRESS");
        return reply(batch(5, create, LIST, QUERY, retry));
    }
}
