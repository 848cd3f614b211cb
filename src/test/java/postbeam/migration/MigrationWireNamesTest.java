package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against changes of names that operators' documentation and programs use. */
class MigrationWireNamesTest {
    @Test
    void stateWireNamesAreStable() {
        assertEquals(
                List.of(
                        "PLANNED",
                        "COPYING",
                        "CAUGHT_UP",
                        "VERIFYING",
                        "CHECKPOINT",
                        "SWITCHING",
                        "WATCHED",
                        "LAST_CHECKPOINT",
                        "RETIRING",
                        "RETIRED",
                        "ROLLING_BACK",
                        "ROLLED_BACK"),
                Arrays.stream(MigrationState.values()).map(MigrationState::wireName).toList());
    }

    @Test
    void pauseReasonWireNamesAreStable() {
        assertEquals(
                List.of(
                        "OPERATOR",
                        "TARGET_COLD",
                        "SHARD_THIN",
                        "UTILITY_FELL",
                        "STARVED",
                        "DIFFERS",
                        "MOVE_FAILED"),
                Arrays.stream(PauseReason.values()).map(PauseReason::wireName).toList());
    }
}
