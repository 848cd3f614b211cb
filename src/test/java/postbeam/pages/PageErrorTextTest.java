package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.errors.SampleLines;

/** Clients and operators see these texts: a change of wording is to be made in the sample too. */
class PageErrorTextTest {
    private static final List<PageError> ALL =
            List.of(
                    new PageError.Altered(),
                    new PageError.UnknownForm(9),
                    new PageError.UnknownKey("0f1e2d3c"),
                    new PageError.OfAnotherQuery(),
                    new PageError.TooOld(11, 13),
                    new PageError.Ahead(14, 13),
                    new PageError.Spoilt("3", "a row out of order"),
                    new PageError.TooMuchOwed(600, 40),
                    new PageError.NotRepeatable("booking"),
                    new PageError.BadRequest("page", "it takes 1 to 1000 rows"),
                    new PageError.BadKey("pages.key"));

    @Test
    void eachErrorReadsAsInTheSample() throws IOException {
        assertEquals(PageError.class.getPermittedSubclasses().length, ALL.size());
        assertEquals(
                SampleLines.of("errors/pages.txt"), ALL.stream().map(PageError::line).toList());
    }
}
