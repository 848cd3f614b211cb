package postbeam.testbed.trials;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import postbeam.testbed.simulation.MigrationSimulation;

class MigrationTrialTest {
    private final MigrationTrial trial = new MigrationTrial();

    @Test
    void nothingIsLostAndAllEndsAcrossDeathsAtEachRecord() {
        List<MigrationSimulation> worlds =
                LongStream.rangeClosed(1, 180)
                        .parallel()
                        .mapToObj(
                                seed -> {
                                    MigrationSimulation world = trial.world(seed, null);
                                    assertEquals(
                                            List.of(), world.run().violations(), "seed " + seed);
                                    return world;
                                })
                        .toList();
        // The check is only worth something if what it is about has happened.
        TreeSet<String> died = new TreeSet<>();
        TreeSet<String> seen = new TreeSet<>();
        worlds.forEach(
                world -> {
                    died.addAll(world.diedAt);
                    seen.addAll(world.eventCounts.keySet());
                });
        assertTrue(
                died.containsAll(
                        List.of(
                                "Planned",
                                "Advanced COPYING",
                                "Advanced REPLICATING",
                                "Advanced FENCED",
                                "CutOver",
                                "Opened",
                                "Entered COPYING",
                                "Entered VERIFYING",
                                "Verified",
                                "Opening",
                                "Passed",
                                "Paused",
                                "Entered WATCHED",
                                "Advanced COMPLETED",
                                "RollingBack")),
                died.toString());
        assertTrue(
                seen.containsAll(
                        List.of(
                                "ended RETIRED",
                                "ended ROLLED_BACK",
                                "copies spoilt",
                                "paused DIFFERS",
                                "paused TARGET_COLD",
                                "paused UTILITY_FELL",
                                "paused MOVE_FAILED",
                                "successors beside a stopped one")),
                seen.toString());
    }

    /** A node that restarted served without rows that only a fenced replica had. */
    @Test
    void restartedNodeFetchesRowsOfFencedReplica() {
        assertEquals(List.of(), trial.run(50_357, null).violations());
    }

    @Test
    void aSeedRunsTheSameAgain() {
        assertEquals(trial.run(7, null), trial.run(7, null));
    }

    @Test
    void eachPlantedDefectIsCaught() {
        for (String defect : trial.defects()) {
            assertTrue(
                    LongStream.rangeClosed(1, 120)
                            .parallel()
                            .anyMatch(seed -> !trial.run(seed, defect).violations().isEmpty()),
                    defect);
        }
    }
}
