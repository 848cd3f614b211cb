package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.samples.SampleFile;

/** Operators see these messages: a reworded message must be changed in the recorded file, too. */
class MigrationErrorTextTest {
    private static final Checkpoint REQUESTED = new Checkpoint(4, "ab12");
    private static final Checkpoint OPEN = new Checkpoint(5, "cd34");

    private static final List<MigrationError> ALL_ERRORS =
            List.of(
                    new MigrationError.NotFound(7),
                    new MigrationError.InvalidPlan("acme", "the list of hops is empty"),
                    new MigrationError.NoOpenCheckpoint(7, MigrationState.COPYING),
                    new MigrationError.StaleCheckpoint(7, REQUESTED, OPEN),
                    new MigrationError.CheckpointAlreadyPassed(7, REQUESTED),
                    new MigrationError.MigrationPaused(7, "by an operator"),
                    new MigrationError.NotPaused(7),
                    new MigrationError.PauseReasonPersists(7, "target n3 is warming up"),
                    new MigrationError.RollbackTooLate(7, MigrationState.RETIRING),
                    new MigrationError.MalformedCommand("digest is missing"),
                    new MigrationError.LeadershipLost(3, "a node"),
                    new MigrationError.MigrationsDisabled());

    @Test
    void messageOfEachErrorEqualsTheRecordedMessage() throws IOException {
        assertEquals(
                SampleFile.lines("errors/migration.txt"),
                ALL_ERRORS.stream().map(MigrationError::message).toList());
    }

    @Test
    void errorMessageJoinsProblemAndRemedy() {
        assertEquals(
                MigrationError.class.getPermittedSubclasses().length,
                ALL_ERRORS.stream().map(Object::getClass).distinct().count());
        for (MigrationError error : ALL_ERRORS) {
            assertEquals(error.problem() + "; " + error.remedy(), error.message());
            assertTrue(
                    !error.message().endsWith(".") && error.remedy().length() > 10,
                    error.message());
        }
    }
}
