package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.errors.SampleLines;

/** Operators see these texts: a change of wording is to be made in the sample too. */
class MigrationErrorTextTest {
    private static final Checkpoint NAMED = new Checkpoint(4, "ab12");
    private static final Checkpoint OPEN = new Checkpoint(5, "cd34");

    private static final List<MigrationError> ALL =
            List.of(
                    new MigrationError.NoSuch(7),
                    new MigrationError.CantPlan("acme", "it has no hop"),
                    new MigrationError.NoCheckpoint(7, Stage.COPYING),
                    new MigrationError.Stale(7, NAMED, OPEN),
                    new MigrationError.Doubled(7, NAMED),
                    new MigrationError.IsPaused(7, "by an operator"),
                    new MigrationError.NotPaused(7),
                    new MigrationError.StillSo(7, "target n3 is cold"),
                    new MigrationError.TooLate(7, Stage.RETIRING),
                    new MigrationError.BadOrder("digest is missing"),
                    new MigrationError.OfficeLost(3, "a node"),
                    new MigrationError.SwitchedOff());

    @Test
    void eachErrorReadsAsInTheSample() throws IOException {
        assertEquals(MigrationError.class.getPermittedSubclasses().length, ALL.size());
        assertEquals(
                SampleLines.of("errors/migration.txt"),
                ALL.stream().map(MigrationError::line).toList());
    }
}
