package postbeam.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.samples.SampleFile;

/** Operators search the log for these texts, so each change of a text must be made here as well. */
class CoordinationErrorTextTest {
    private static final List<CoordinationError> ERRORS =
            List.of(
                    new CoordinationError.MismatchedFleetConfig("r2"),
                    new CoordinationError.DuplicateName("r2", 1000, 2000),
                    new CoordinationError.UnknownRouter("r9"),
                    new CoordinationError.MalformedMessage(
                            "r2", "its sender must be router r2, not r3"),
                    new CoordinationError.UnresponsiveRouter("r2", "Connection refused", 30),
                    new CoordinationError.NotAMember("r1"));

    @Test
    void messageOfEachErrorEqualsTheRecordedMessage() throws IOException {
        assertEquals(CoordinationError.class.getPermittedSubclasses().length, ERRORS.size());
        assertEquals(
                SampleFile.lines("errors/coordination.txt"),
                ERRORS.stream().map(CoordinationError::message).toList());
    }
}
