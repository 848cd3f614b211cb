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
 * Feeds recorded simulator sessions to the simulator session and compares what comes out byte for
 * byte. A refactoring of the routing policy must not change a single decision; a change of the
 * policy itself needs new recordings.
 */
class RecordedSessionTest {
    /**
     * Tenants' quotas, deduplicated and two-step queries, a stopped and restarted instance,
     * unreachable nodes.
     */
    @Test
    void tenantsAndRestartMatchTheRecording() throws IOException {
        assertMatchesRecording("tenants-and-restart");
    }

    /**
     * Queries with side effects, no duplicates allowed, nodes that reject for lack of capacity,
     * aborted queries.
     */
    @Test
    void sideEffectsAndFullNodesMatchTheRecording() throws IOException {
        assertMatchesRecording("side-effects-and-full-nodes");
    }

    /** Hedged requests within a retry budget, resets, timeouts, health probes. */
    @Test
    void hedgedRequestsAndResetsMatchTheRecording() throws IOException {
        assertMatchesRecording("hedged-requests-and-resets");
    }

    /** Queries that crash nodes, clients that leave early, partial answers, rejections. */
    @Test
    void partialAnswersAndLostClientsMatchTheRecording() throws IOException {
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
     * Names the first line that differs, which says more than a difference of thousands of lines.
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
