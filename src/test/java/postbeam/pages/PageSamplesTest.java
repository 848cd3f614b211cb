package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.errors.ExplainedException;
import postbeam.errors.SampleLines;
import postbeam.setup.Json;
import postbeam.slices.KeyRange;

/**
 * Cursors and messages written by an earlier build are read, and written again to the same bytes.
 */
class PageSamplesTest {
    private static final String KEY = "0f".repeat(32);
    private static final String OLD_KEY = "a7".repeat(32);
    private static final Order ORDER =
            new Order(List.of(new SortKey("fare", true, false), new SortKey("name", false, true)));
    private static final KeyRange LOW = new KeyRange(0, KeyRange.KEYS / 4);
    private static final KeyRange MIDDLE = new KeyRange(KeyRange.KEYS / 4, KeyRange.KEYS / 2);
    private static final KeyRange HIGH = new KeyRange(KeyRange.KEYS / 2 + 5, KeyRange.KEYS);
    private static final Mark FIRST = new Mark(Arrays.asList(4200L, "caf\u00e9"), 77, 1);
    private static final Mark SECOND =
            new Mark(Arrays.asList(-3L, null), KeyRange.KEYS - 1, Long.MIN_VALUE);
    private static final long QUERY = 0x123456789abcdef0L;
    private static final Cursor CURSOR =
            new Cursor(
                    300,
                    QUERY,
                    List.of(
                            new Standing(LOW, 0.25, FIRST),
                            new Standing(MIDDLE, 0.5, SECOND),
                            new Standing(HIGH, 0.25, null)));
    private static final List<Ask> ASKS =
            List.of(
                    new Ask(LOW, FIRST, 12),
                    new Ask(MIDDLE, null, 1),
                    new Ask(HIGH, FIRST, 3),
                    new Ask(KeyRange.ALL, SECOND, 1000));
    private static final List<Row> ROWS =
            List.of(
                    new Row(FIRST, "a \"quoted\"\ttext\n"),
                    new Row(new Mark(Arrays.asList(4200L, null), 78, 2), "\u00e9\ud83d\ude00"));

    private static final Lineage LINEAGE =
            new Lineage() {
                @Override
                public long version() {
                    return 300;
                }

                @Override
                public long oldest() {
                    return 1;
                }

                @Override
                public List<KeyRange> cut(KeyRange keys) {
                    return List.of(keys);
                }
            };

    private static String only(String path) throws IOException {
        List<String> lines = SampleLines.of("pages/" + path);
        assertEquals(1, lines.size(), path);
        return lines.get(0);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Test
    void cursorsUnderEachKeyAreReadAndWrittenAlike() throws IOException, ExplainedException {
        CursorSeal seal = new CursorSeal(KEY, OLD_KEY);
        CursorSeal before = new CursorSeal(OLD_KEY, null);
        assertEquals(CURSOR, seal.opened(only("cursor-signed-with-the-key.txt"), QUERY, LINEAGE));
        assertEquals(
                CURSOR, seal.opened(only("cursor-signed-with-the-old-key.txt"), QUERY, LINEAGE));
        assertEquals(only("cursor-signed-with-the-key.txt"), seal.sealed(CURSOR));
        assertEquals(only("cursor-signed-with-the-old-key.txt"), before.sealed(CURSOR));
    }

    @Test
    void aQueryHasTheSameDigest() throws IOException {
        assertEquals(
                only("query-digest.txt"),
                Long.toHexString(
                        CursorSeal.digest(
                                "flights", "acme", bytes("{\"from\":\"Z\u00fcrich\"}"), ORDER)));
    }

    @Test
    void aRequestForRowsIsReadAndWrittenAlike() throws IOException {
        String sample = only("rows-request.json");
        RowForm.Asked read = RowForm.asked(bytes(sample));
        assertEquals(new RowForm.Asked(ORDER, ASKS), read);
        assertEquals(sample, text(RowForm.asked(read.order(), read.asks())));
    }

    @Test
    void aNodesRowsAreReadAndWrittenAlike() throws IOException {
        for (Mark next : new Mark[] {null, SECOND}) {
            String sample = only(next == null ? "rows-last.json" : "rows-with-more-to-come.json");
            Partial read = RowForm.partial(LOW, bytes(sample));
            assertEquals(new Partial(LOW, ROWS, next), read);
            assertEquals(sample, text(RowForm.partial(read)));
        }
    }

    @Test
    void rowsForAClientAreWrittenAlike() throws IOException {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = Json.FACTORY.createGenerator(out)) {
            json.writeStartObject();
            RowForm.rows(json, ROWS);
            json.writeEndObject();
        }
        assertEquals(only("rows-for-a-client.json"), out.toString());
    }
}
