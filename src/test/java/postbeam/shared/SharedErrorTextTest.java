package postbeam.shared;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.errors.SampleLines;

/** Operators see these texts in the log: a change of wording is to be made in the sample too. */
class SharedErrorTextTest {
    private static final List<SharedError> ALL =
            List.of(
                    new SharedError.OtherTerms("r2"),
                    new SharedError.NameTwice("r2", 1000, 2000),
                    new SharedError.Stranger("r9"),
                    new SharedError.Garbled("r2", "it is from r3"),
                    new SharedError.Silent("r2", "Connection refused", 30),
                    new SharedError.Unnamed("r1"));

    @Test
    void eachErrorReadsAsInTheSample() throws IOException {
        assertEquals(SharedError.class.getPermittedSubclasses().length, ALL.size());
        assertEquals(
                SampleLines.of("errors/shared.txt"), ALL.stream().map(SharedError::line).toList());
    }
}
