package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.migration.MigrationScenario.FIRST;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import postbeam.slices.KeyRange;

class MoveVerifierTest {
    private final MigrationScenario run = new MigrationScenario();

    @Test
    void differenceStopsTheSwitchAndIsNarrowedToItsKeys() throws Exception {
        run.differing.add("e");
        run.create("acme", FIRST);
        run.run(Duration.ofSeconds(20));
        assertEquals(MigrationState.VERIFYING, run.migration(1).state());
        assertEquals(PauseReason.DIGEST_MISMATCH, run.migration(1).pauseReason());
        String detail = run.migration(1).pauseDetail();
        assertTrue(detail.contains("keys 0-") && detail.contains("3 rows at a, 2 at e"), detail);
        long smallest =
                run.digestRequests.stream()
                        .flatMap(request -> request.ranges().stream())
                        .mapToLong(KeyRange::size)
                        .min()
                        .orElse(0);
        assertTrue(smallest <= MigrationScenario.LIMITS.minRangeSize(), smallest + " keys");
        // A resume never skips the difference: the slice is copied and compared again.
        run.resume(1);
        run.run(Duration.ofSeconds(20));
        assertEquals(PauseReason.DIGEST_MISMATCH, run.migration(1).pauseReason());
        assertNull(run.migration(1).openCheckpoint());
        run.differing.clear();
        run.resume(1);
        run.run(Duration.ofSeconds(20));
        assertEquals(MigrationState.SWITCH_CHECKPOINT, run.migration(1).state());
    }
}
