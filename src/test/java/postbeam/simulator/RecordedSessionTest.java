package postbeam.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.GZIPInputStream;
import org.junit.jupiter.api.Test;

/**
 * Replays recorded simulator sessions and compares the output byte for byte. Guards against a
 * refactoring that changes a decision of the routing policy; an intended change of the policy needs
 * new recordings.
 */
class RecordedSessionTest {
    /**
     * Covers tenants' quotas, deduplicated and two-step queries, a router that stops and restarts,
     * unreachable nodes.
     */
    @Test
    void replayWithTenantQuotasAndARestartGivesTheRecordedOutput() throws IOException {
        assertMatchesRecording("tenants-and-restart");
    }

    /**
     * Covers queries with side effects, a ban on duplicates, nodes that reject for lack of
     * capacity, aborted queries.
     */
    @Test
    void replayWithSideEffectsAndFullNodesGivesTheRecordedOutput() throws IOException {
        assertMatchesRecording("side-effects-and-full-nodes");
    }

    /** Covers hedged requests within a retry budget, resets, timeouts and health probes. */
    @Test
    void replayWithHedgedRequestsAndResetsGivesTheRecordedOutput() throws IOException {
        assertMatchesRecording("hedged-requests-and-resets");
    }

    /** Covers queries that crash nodes, clients that disconnect, partial answers and rejections. */
    @Test
    void replayWithPartialAnswersAndLostClientsGivesTheRecordedOutput() throws IOException {
        assertMatchesRecording("partial-answers-and-lost-clients");
    }

    private static void assertMatchesRecording(String session) throws IOException {
        byte[] input = recorded(session + ".in.gz");
        byte[] expected = recorded(session + ".out.gz");
        ByteArrayOutputStream actual = new ByteArrayOutputStream();
        new SimulatorSession(new ByteArrayInputStream(input), actual).run();
        assertSameLines(expected, actual.toByteArray());
        assertArrayEquals(expected, actual.toByteArray());
    }

    /**
     * Fails at the first line that differs, which is easier to read than a difference of thousands
     * of lines.
     */
    private static void assertSameLines(byte[] expected, byte[] actual) {
        List<String> expectedLines = new String(expected, StandardCharsets.UTF_8).lines().toList();
        List<String> actualLines = new String(actual, StandardCharsets.UTF_8).lines().toList();
        for (int i = 0; i < Math.min(expectedLines.size(), actualLines.size()); i++) {
            assertEquals(expectedLines.get(i), actualLines.get(i), "output line " + (i + 1));
        }
        assertEquals(expectedLines.size(), actualLines.size(), "output lines");
    }

    private static byte[] recorded(String file) throws IOException {
        try (InputStream compressed =
                RecordedSessionTest.class.getResourceAsStream("/samples/simulator/" + file)) {
            assertNotNull(compressed, file);
            try (GZIPInputStream decompressed = new GZIPInputStream(compressed)) {
                return decompressed.readAllBytes();
            }
        }
    }
}
