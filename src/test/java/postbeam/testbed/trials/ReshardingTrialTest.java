package postbeam.testbed.trials;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import postbeam.testbed.simulation.SimulatedCluster;

class ReshardingTrialTest {
    private final ReshardingTrial trial = new ReshardingTrial();

    @Test
    void allRulesHoldAcrossRecutsAndTroubles() {
        assertEquals(
                List.of(),
                LongStream.rangeClosed(1, 16)
                        .parallel()
                        .mapToObj(seed -> trial.run(seed, null).violations())
                        .flatMap(List::stream)
                        .toList());
    }

    /** A FENCE that a later SERVE had overtaken left a holder fenced for good with these seeds. */
    @ParameterizedTest
    @ValueSource(longs = {21_336, 30_771, 31_637})
    void overtakenOrdersAreNotCarriedOut(long seed) {
        assertEquals(List.of(), trial.run(seed, null).violations());
    }

    /** Moves stand still half way, queries go on, and all comes to rest once it is back. */
    @Test
    void theLayoutServiceMayBeSilentForAMinute() {
        for (long seed = 1; seed <= 2; seed++) {
            SimulatedCluster cluster =
                    new SimulatedCluster(
                            new SimulatedCluster.Plan(
                                    6,
                                    3,
                                    12,
                                    3,
                                    Duration.ofSeconds(70),
                                    60,
                                    Duration.ofMillis(150),
                                    true,
                                    null),
                            seed);
            assertEquals(List.of(), cluster.runWithoutMoves(Duration.ofSeconds(60)));
            assertTrue(
                    cluster.answeredInTime() > 0.6 * cluster.queriesSent(),
                    cluster.answeredInTime() + " of " + cluster.queriesSent());
            assertTrue(cluster.moves.movesCutOver() > 5);
        }
    }

    @Test
    void aSeedRunsTheSameAgain() {
        assertEquals(trial.run(7, null), trial.run(7, null));
    }

    @Test
    void eachPlantedDefectIsCaught() {
        for (String defect : trial.defects()) {
            assertTrue(
                    LongStream.rangeClosed(1, 300)
                            .parallel()
                            .anyMatch(seed -> !trial.run(seed, defect).violations().isEmpty()),
                    defect);
        }
    }
}
