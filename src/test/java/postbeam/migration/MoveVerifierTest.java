package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.migration.MigrationScenario.SLICE_0_A_TO_E;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import postbeam.slices.KeyRange;

class MoveVerifierTest {
    private final MigrationScenario scenario = new MigrationScenario();

    @Test
    void digestMismatchPausesMigrationAndIsNarrowedToDifferingKeys() throws Exception {
        scenario.differingNodes.add("e");
        scenario.createMigration("acme", SLICE_0_A_TO_E);
        scenario.runFor(Duration.ofSeconds(20));
        assertEquals(MigrationState.VERIFYING, scenario.migration(1).state());
        assertEquals(PauseReason.DIGEST_MISMATCH, scenario.migration(1).pauseReason());
        String detail = scenario.migration(1).pauseDetail();
        assertTrue(detail.contains("keys 0-") && detail.contains("3 rows at a, 2 at e"), detail);
        long smallest =
                scenario.digestRequests.stream()
                        .flatMap(request -> request.ranges().stream())
                        .mapToLong(KeyRange::size)
                        .min()
                        .orElse(0);
        assertTrue(
                smallest <= MigrationScenario.LIMITS.minRangeSize(),
                "smallest requested range has " + smallest + " keys");
        // Resuming the migration does not skip the mismatch: the slice is copied and compared
        // again.
        scenario.resume(1);
        scenario.runFor(Duration.ofSeconds(20));
        assertEquals(PauseReason.DIGEST_MISMATCH, scenario.migration(1).pauseReason());
        assertNull(scenario.migration(1).openCheckpoint());
        scenario.differingNodes.clear();
        scenario.resume(1);
        scenario.runFor(Duration.ofSeconds(20));
        assertEquals(MigrationState.SWITCH_CHECKPOINT, scenario.migration(1).state());
    }
}
