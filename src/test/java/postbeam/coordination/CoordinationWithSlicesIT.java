package postbeam.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import postbeam.slices.Slice;
import postbeam.testbed.cluster.FaultProxy;
import postbeam.testbed.cluster.LoopbackCluster;
import postbeam.testbed.cluster.ProcessCluster;

/**
 * Moves slices between node processes under load while the layout service, a node or the links to
 * them fail.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CoordinationWithSlicesIT {
    private static final int NODES = 5;
    private static final int SHARDS = 6;

    private ProcessCluster cluster;
    private ProcessCluster.Clients clients;

    @BeforeEach
    void startCluster() throws Exception {
        cluster =
                new ProcessCluster(
                        new ProcessCluster.Size(
                                NODES,
                                3,
                                SHARDS,
                                true,
                                ProcessCluster.PATIENT,
                                (all, file, text) -> text),
                        1);
        clients = cluster.clients(60, 2);
        clients.allServe();
    }

    @AfterEach
    void closeCluster() throws Exception {
        cluster.close();
    }

    /** The request body for a move of the first slice from its first node to one without it. */
    private String moveOfFirstSlice() {
        Slice slice = cluster.layout().slices().get(0);
        String target = "n0";
        for (int i = 0; slice.nodes().contains(target); i++) {
            target = "n" + i;
        }
        return "{\"move\":"
                + slice.number()
                + ",\"off\":\""
                + slice.nodes().get(0)
                + "\",\"onto\":\""
                + target
                + "\"}";
    }

    private void awaitEndOfMoves() throws Exception {
        cluster.awaitCondition(
                "no move is in progress",
                () -> cluster.get(ProcessCluster.LAYOUTS, "/v1/status").contains("\"moves\":[]"));
        cluster.awaitCondition(
                "the clients have the layout of the service",
                () ->
                        cluster.get(ProcessCluster.LAYOUTS, "/v1/status")
                                .contains("\"version\":" + cluster.layout().version + ","));
    }

    private void assertSoundLayoutAndNoViolation() throws Exception {
        cluster.awaitCondition(
                "the layout is sound",
                () -> cluster.get(ProcessCluster.LAYOUTS, "/v1/verify").startsWith("sound"));
        clients.allServe();
        assertEquals(List.of(), clients.broken());
    }

    @Test
    void layoutServiceKilledDuringMovesCompletesThemAfterItsRestart() throws Exception {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
        for (int i = 0; i < 5; i++) {
            assertTrue(
                    cluster.post(ProcessCluster.LAYOUTS, "/v1/start", moveOfFirstSlice())
                            .startsWith("move"));
            // A random time in the move, so that the last record written differs between rounds.
            Thread.sleep(random.nextInt(250));
            cluster.kill(ProcessCluster.LAYOUTS);
            cluster.start(ProcessCluster.LAYOUTS);
            awaitEndOfMoves();
        }
        assertTrue(
                cluster.layout().version > 1,
                "no move was completed: layout version " + cluster.layout().version);
        assertSoundLayoutAndNoViolation();
    }

    /**
     * The layout service gets no response from n3, r0 is cut off from the layout service, and n4
     * restarts without its data.
     */
    @Test
    void movesEndDespiteFailedNodesAndLinks() throws Exception {
        cluster.proxy(ProcessCluster.LAYOUTS, "n3")
                .set(FaultProxy.Direction.FROM_TARGET, FaultProxy.Fault.CUT, Duration.ZERO);
        cluster.proxy("r0", ProcessCluster.LAYOUTS).setBoth(FaultProxy.Fault.CUT, Duration.ZERO);
        cluster.post(ProcessCluster.LAYOUTS, "/v1/start", moveOfFirstSlice());
        awaitEndOfMoves();
        cluster.post(ProcessCluster.LAYOUTS, "/v1/start", moveOfFirstSlice());
        cluster.kill("n4");
        cluster.start("n4");
        awaitEndOfMoves();
        cluster.healAll();
        assertSoundLayoutAndNoViolation();
    }

    /**
     * Two services may not use one log: the second one exits even while the first is suspended, and
     * the first continues after it is resumed.
     */
    @Test
    void secondLayoutServiceOnTheSameLogExitsWhileTheFirstIsSuspended() throws Exception {
        cluster.stop(ProcessCluster.LAYOUTS);
        Path secondSettings =
                cluster.writeFile(
                        "other.json5",
                        Files.readString(cluster.file("layouts.json5"))
                                .replace(
                                        cluster.address(ProcessCluster.LAYOUTS),
                                        LoopbackCluster.freeAddress()));
        Process second =
                new ProcessBuilder(
                                ProcessCluster.postbeamCommand(
                                        "layouts",
                                        "serve",
                                        "--settings",
                                        secondSettings.toString()))
                        .redirectErrorStream(true)
                        .start();
        try {
            String output =
                    new String(second.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(output.contains("moves.log is in use by another process"), output);
            assertTrue(second.waitFor(60, TimeUnit.SECONDS));
            assertEquals(1, second.exitValue());
        } finally {
            second.destroyForcibly().waitFor();
        }
        cluster.resume(ProcessCluster.LAYOUTS);
        long versionBefore = cluster.layout().version;
        assertTrue(
                cluster.post(ProcessCluster.LAYOUTS, "/v1/start", moveOfFirstSlice())
                        .startsWith("move"));
        cluster.awaitCondition(
                "the move is completed", () -> cluster.layout().version > versionBefore);
        assertSoundLayoutAndNoViolation();
    }
}
