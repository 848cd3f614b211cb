package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static postbeam.migration.MigrationScenario.FIRST;
import static postbeam.migration.MigrationScenario.SECOND;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.slices.JournalRecord;

class MigrationRecoveryTest {
    private final MigrationScenario run = new MigrationScenario();

    @Test
    void anyPrefixOfTheJournalGoesOnToTheSameEnd() throws Exception {
        run.create("acme", FIRST, SECOND);
        run.run(Duration.ofSeconds(8));
        run.pass(1);
        run.run(Duration.ofSeconds(20));
        run.rollBack(1, "looks bad");
        run.run(Duration.ofSeconds(8));
        assertEquals(MigrationState.ROLLED_BACK, run.migration(1).state());
        List<JournalRecord> all = List.copyOf(run.records);
        int created = 0;
        while (!(all.get(created) instanceof MigrationRecord.Created)) {
            created++;
        }
        for (int end = created + 1; end <= all.size(); end++) {
            run.restartFrom(all.subList(0, end));
            if (run.migration(1).state().allowsRollback()) {
                run.rollBack(1, "looks bad");
            }
            run.run(Duration.ofSeconds(12));
            assertEquals(
                    MigrationState.ROLLED_BACK,
                    run.migration(1).state(),
                    "after " + all.get(end - 1));
            assertEquals(List.of("a", "b", "c"), holdersOf(0));
            assertEquals(List.of("b", "c", "d"), holdersOf(1));
        }
    }

    private List<String> holdersOf(int slice) {
        return run.layout().slice(slice).nodes().stream().sorted().toList();
    }
}
