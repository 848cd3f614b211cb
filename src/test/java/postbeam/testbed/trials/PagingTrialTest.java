package postbeam.testbed.trials;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class PagingTrialTest {
    private final PagingTrial trial = new PagingTrial();

    @Test
    void pagesAreThePlainSortThroughRecutsAndMissingShards() {
        assertEquals(
                List.of(),
                LongStream.rangeClosed(1, 600)
                        .parallel()
                        .mapToObj(seed -> trial.run(seed, null).violations())
                        .flatMap(List::stream)
                        .limit(5)
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
                    LongStream.rangeClosed(1, 100)
                            .parallel()
                            .anyMatch(seed -> !trial.run(seed, defect).violations().isEmpty()),
                    defect);
        }
    }
}
