package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static postbeam.migration.MigrationScenario.SLICE_0_A_TO_E;
import static postbeam.migration.MigrationScenario.SLICE_1_B_TO_E;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.slices.JournalRecord;

class MigrationRecoveryTest {
    private final MigrationScenario scenario = new MigrationScenario();

    @Test
    void recoveryFromAnyJournalPrefixCanBeRolledBack() throws Exception {
        scenario.createMigration("acme", SLICE_0_A_TO_E, SLICE_1_B_TO_E);
        scenario.runFor(Duration.ofSeconds(8));
        scenario.passCheckpoint(1);
        scenario.runFor(Duration.ofSeconds(20));
        scenario.rollBack(1, "looks bad");
        scenario.runFor(Duration.ofSeconds(8));
        assertEquals(MigrationState.ROLLED_BACK, scenario.migration(1).state());
        List<JournalRecord> journalRecords = List.copyOf(scenario.records);
        int created = 0;
        while (!(journalRecords.get(created) instanceof MigrationRecord.Created)) {
            created++;
        }
        for (int end = created + 1; end <= journalRecords.size(); end++) {
            scenario.restartFrom(journalRecords.subList(0, end));
            if (scenario.migration(1).state().allowsRollback()) {
                scenario.rollBack(1, "looks bad");
            }
            scenario.runFor(Duration.ofSeconds(12));
            assertEquals(
                    MigrationState.ROLLED_BACK,
                    scenario.migration(1).state(),
                    "restarted after the record " + journalRecords.get(end - 1));
            assertEquals(List.of("a", "b", "c"), holdersOf(0));
            assertEquals(List.of("b", "c", "d"), holdersOf(1));
        }
    }

    private List<String> holdersOf(int slice) {
        return scenario.layout().slice(slice).nodes().stream().sorted().toList();
    }
}
