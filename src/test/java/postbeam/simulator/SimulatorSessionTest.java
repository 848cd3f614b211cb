package postbeam.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class SimulatorSessionTest {
    private static final String CREATE =
            "CREATE\t3\t5\tclasses.count=1\tclasses.0.name=a\tclasses.0.promise=2000000"
                + "\tclasses.0.effect=retryable\tcaps.maxAttempts=3\tdomain.cells=1\tdomain.reach=1"
                + "\tnew.key=7\n";
    private static final String LIST =
            "SNAPSHOT_ROWS\t0\t1\nROW\tz\t0\t10.0.0.1:80\t1\t-\tm\t1\nREGISTRY\t3\t0\t2\t1\n";
    private static final String QUERY =
            "INGRESS\t3\tq-id\ta\t-\t-\t4000000\t-\t1\t-1\t1\t0\n"
                    + "INGRESS\t3\tp-id\ta\t-\t-\t4000000\t-\t1\t0\t1.0\t0\n";

    private static String reply(String wire) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorSession(new ByteArrayInputStream(wire.getBytes(StandardCharsets.UTF_8)), out)
                .run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void anEmptyBatchIsAnswered() throws IOException {
        assertEquals("DONE\n", reply("SYNC\t5\nEOF_BATCH\n"));
    }

    @Test
    void aPartIsSentAndItsQueryAnsweredOnce() throws IOException {
        String wire =
                "SYNC\t5\n"
                        + CREATE
                        + LIST
                        + QUERY
                        + "EOF_BATCH\n"
                        + "SYNC\t105\n"
                        + "REPORT_BACK\t3\tp-id\t0\tok\t1\t100\t10.0.0.1:80\t-\n"
                        + "EOF_BATCH\n"
                        + "SYNC\t110\n"
                        + "ABANDONED\t3\tq-id\n"
                        + "EOF_BATCH\n";
        String reply = reply(wire);
        assertTrue(reply.startsWith("ATTEMPT\t3\tp-id\t10.0.0.1:80\t"), reply);
        assertEquals(reply.indexOf("WRAP_UP\t3\tq-id\t1\n"), reply.lastIndexOf("WRAP_UP"), reply);
        assertTrue(reply.contains("WRAP_UP"), reply);
    }

    @Test
    void aSecondStepIsServedAndAnsweredToo() throws IOException {
        String wire =
                "SYNC\t5\n"
                        + CREATE.replace("new.key=7", "domain.followUp=1")
                        + LIST
                        + QUERY
                        + "EOF_BATCH\n"
                        + "SYNC\t105\n"
                        + "REPORT_BACK\t3\tp-id\t0\tok\t1\t100\t10.0.0.1:80\t-\n"
                        + "EOF_BATCH\n"
                        + "SYNC\t110\n"
                        + "INGRESS\t3\tp-two\ta\t-\t-\t4000000\t-\t1\t0\t1.0\t0\n"
                        + "EOF_BATCH\n"
                        + "SYNC\t210\n";
        assertTrue(
                reply(wire + "EOF_BATCH\n").contains("ATTEMPT\t3\tp-two\t10.0.0.1:80\t"),
                reply(wire + "EOF_BATCH\n"));
        String both =
                reply(wire + "REPORT_BACK\t3\tp-two\t0\tok\t1\t100\t10.0.0.1:80\t-\nEOF_BATCH\n");
        assertEquals(3, both.split("WRAP_UP\t3\tq-id\t1\n").length, both);
        // What it gives up on in its second step gets a final answer too, and none from the first
        // step's parts alone.
        String late = reply(wire + "EOF_BATCH\nSYNC\t3999000\nRING\t3\t0\nEOF_BATCH\n");
        assertTrue(late.contains("REJECT\t3\tq-id\t"), late);
    }

    @Test
    void anInstanceMayStopAndStartInOneBatch() throws IOException {
        String wire =
                "SYNC\t5\n"
                        + CREATE
                        + LIST
                        + "EOF_BATCH\n"
                        + "SYNC\t10\nDETACH\t3\n"
                        + CREATE
                        + LIST
                        + QUERY
                        + "EOF_BATCH\n";
        assertTrue(reply(wire).contains("ATTEMPT\t3\tp-id"));
    }

    @Test
    void malformedInputNamesTheLine() {
        MalformedLineException e =
                assertThrows(MalformedLineException.class, () -> reply("SYNC\t5\nINGRESS\tx\n"));
        assertTrue(e.getMessage().startsWith("line 2: "), e.getMessage());
    }

    @Test
    void discoveryIsAskedWhereItTellsNothingUnaskedAndOnlyThere() throws IOException {
        String asked =
                CREATE.replace("new.key=7", "discovery=subscribe\tobligations.askEvery=10000000");
        assertTrue(reply("SYNC\t5\n" + asked + LIST + "EOF_BATCH\n").contains("OBSERVE\t3\t1\n"));
        assertEquals("DONE\n", reply("SYNC\t5\n" + CREATE + LIST + "EOF_BATCH\n"));
    }

    @Test
    void noTimeToComeBackIsToldWhereThatIsNotAllowed() throws IOException {
        String create =
                CREATE.replace(
                        "new.key=7",
                        "caps.maxRetryAfter=2000000\tcaps.mostHeld=2\tcaps.retryAfter=%s");
        String late =
                "SYNC\t5\n%s"
                        + QUERY
                        + QUERY.replace("q-id", "r-id")
                                .replace("p-id", "s-id")
                                .replace("-\t1\t", "-\t2\t")
                        + "EOF_BATCH\nSYNC\t3999000\nRING\t3\t0\nEOF_BATCH\n";
        assertTrue(
                reply(late.formatted(create.formatted("true")))
                        .contains("REJECT\t3\tq-id\t300000\n"));
        assertTrue(
                reply(late.formatted(create.formatted("false"))).contains("REJECT\t3\tq-id\t0\n"));
    }

    @Test
    void aRepeatWhoseSloTimeIsOverIsNotBegun() throws IOException {
        String create = CREATE.replace("new.key=7", "classes.0.deadline=5000000");
        String repeat =
                QUERY.replace("q-id", "r-id")
                        .replace("p-id", "s-id")
                        .replace("4000000", "%d")
                        .replace("-\t1\t", "-\t2\t")
                        .replace("\t1\t0\nINGRESS", "\t1\t2\nINGRESS");
        String wire = "SYNC\t5\n" + create + LIST + QUERY + repeat + "EOF_BATCH\n";
        assertTrue(reply(wire.formatted(2_900_000, 2_900_000)).contains("REJECT\t3\tr-id\t"));
        assertTrue(reply(wire.formatted(3_900_000, 3_900_000)).contains("ATTEMPT\t3\ts-id\t"));
    }
}
