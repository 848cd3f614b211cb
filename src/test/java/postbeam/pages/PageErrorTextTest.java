package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.samples.SampleFile;

/**
 * Clients and operators see these messages; a reworded message must be changed in the recorded
 * file, too.
 */
class PageErrorTextTest {
    private static final List<PageError> ERRORS =
            List.of(
                    new PageError.InvalidCursor(),
                    new PageError.UnsupportedCursorFormat(9),
                    new PageError.UnknownSigningKey("0f1e2d3c"),
                    new PageError.QueryMismatch(),
                    new PageError.LayoutNoLongerKept(11, 13),
                    new PageError.LayoutNotYetKnown(14, 13),
                    new PageError.InvalidRows("3", "a row out of order"),
                    new PageError.CursorTooLarge(600, 40),
                    new PageError.NotIdempotent("booking"),
                    new PageError.InvalidRequestMember("page", "it takes 1 to 1000 rows"),
                    new PageError.InvalidSigningKey("pages.key"));

    @Test
    void messageOfEachErrorEqualsTheRecordedMessage() throws IOException {
        assertEquals(
                SampleFile.lines("errors/pages.txt"),
                ERRORS.stream().map(PageError::message).toList());
    }

    @Test
    void eachErrorNamesProblemAndRemedy() {
        assertEquals(
                PageError.class.getPermittedSubclasses().length,
                ERRORS.stream().map(Object::getClass).distinct().count(),
                "ERRORS has one instance of each type");
        for (PageError error : ERRORS) {
            assertTrue(
                    error.problem().length() > 10 && !error.problem().endsWith("."),
                    error.toString());
            assertTrue(
                    error.remedy().length() > 10 && !error.remedy().endsWith("."),
                    error.toString());
            assertEquals(error.problem() + "; " + error.remedy(), error.toException().getMessage());
        }
    }
}
