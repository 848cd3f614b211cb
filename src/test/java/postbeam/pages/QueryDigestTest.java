package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class QueryDigestTest {
    private static final SortOrder ORDER =
            new SortOrder(List.of(new SortKey("fare", false, false)));
    private static final SortOrder DESCENDING =
            new SortOrder(List.of(new SortKey("fare", true, false)));
    private static final byte[] PAYLOAD = "payload".getBytes(StandardCharsets.UTF_8);
    private static final byte[] OTHER_PAYLOAD = "other".getBytes(StandardCharsets.UTF_8);

    @Test
    void digestDependsOnEachPartOfTheQuery() {
        assertEquals(
                5,
                Set.of(
                                QueryDigest.of("a", "c", PAYLOAD, ORDER),
                                QueryDigest.of("b", "c", PAYLOAD, ORDER),
                                QueryDigest.of("a", "d", PAYLOAD, ORDER),
                                QueryDigest.of("a", "c", OTHER_PAYLOAD, ORDER),
                                QueryDigest.of("a", "c", PAYLOAD, DESCENDING))
                        .size());
    }
}
