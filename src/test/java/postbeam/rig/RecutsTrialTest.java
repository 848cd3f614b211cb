package postbeam.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class RecutsTrialTest {
    private final RecutsTrial trial = new RecutsTrial();

    @Test
    void allRulesHoldAcrossRecutsAndTroubles() {
        assertEquals(
                List.of(),
                LongStream.rangeClosed(1, 16)
                        .parallel()
                        .mapToObj(seed -> trial.run(seed, null).broken())
                        .flatMap(List::stream)
                        .toList());
    }

    /** Moves stand still half way, queries go on, and all comes to rest once it is back. */
    @Test
    void theLayoutServiceMayBeSilentForAMinute() {
        for (long seed = 1; seed <= 2; seed++) {
            World world =
                    new World(
                            new World.Plan(
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
            assertEquals(List.of(), world.runWithoutMoves(Duration.ofSeconds(60)));
            assertTrue(world.good() > 0.6 * world.asked(), world.good() + " of " + world.asked());
            assertTrue(world.moves.cut() > 5);
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
                            .anyMatch(seed -> !trial.run(seed, defect).broken().isEmpty()),
                    defect);
        }
    }
}
