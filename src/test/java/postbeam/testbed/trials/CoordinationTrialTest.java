package postbeam.testbed.trials;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class CoordinationTrialTest {
    private final CoordinationTrial trial = new CoordinationTrial();

    @Test
    void allBoundsHoldWhateverFails() {
        assertEquals(
                List.of(),
                LongStream.rangeClosed(1, 60)
                        .parallel()
                        .mapToObj(seed -> trial.run(seed, null).violations())
                        .flatMap(List::stream)
                        .toList());
    }

    @Test
    void aSeedRunsTheSameAgain() {
        assertEquals(trial.run(7, null), trial.run(7, null));
    }

    @Test
    void eachPlantedDefectIsCaught() {
        for (String defect : trial.defects()) {
            assertTrue(
                    LongStream.rangeClosed(1, 400)
                            .parallel()
                            .anyMatch(seed -> !trial.run(seed, defect).violations().isEmpty()),
                    defect);
        }
    }
}
