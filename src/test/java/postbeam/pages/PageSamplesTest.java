package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.errors.OperatorErrorException;
import postbeam.json.Json;
import postbeam.samples.SampleFile;
import postbeam.slices.KeyRange;

/**
 * Decodes cursors and messages recorded from an earlier build and encodes them again to the same
 * bytes. Guards against a change of the wire format.
 */
class PageSamplesTest {
    private static final String KEY = "0f".repeat(32);
    private static final String OLD_KEY = "a7".repeat(32);
    private static final SortOrder ORDER =
            new SortOrder(
                    List.of(new SortKey("fare", true, false), new SortKey("name", false, true)));
    private static final KeyRange LOW = new KeyRange(0, KeyRange.KEY_SPACE_SIZE / 4);
    private static final KeyRange MIDDLE =
            new KeyRange(KeyRange.KEY_SPACE_SIZE / 4, KeyRange.KEY_SPACE_SIZE / 2);
    private static final KeyRange HIGH =
            new KeyRange(KeyRange.KEY_SPACE_SIZE / 2 + 5, KeyRange.KEY_SPACE_SIZE);
    private static final RowPosition FIRST =
            new RowPosition(Arrays.asList(4200L, "caf\u00e9"), 77, 1);
    private static final RowPosition SECOND =
            new RowPosition(Arrays.asList(-3L, null), KeyRange.KEY_SPACE_SIZE - 1, Long.MIN_VALUE);
    private static final long QUERY_DIGEST = 0x123456789abcdef0L;
    private static final Cursor CURSOR =
            new Cursor(
                    300,
                    QUERY_DIGEST,
                    List.of(
                            new RangeProgress(LOW, 0.25, FIRST),
                            new RangeProgress(MIDDLE, 0.5, SECOND),
                            new RangeProgress(HIGH, 0.25, null)));
    private static final List<RowFetch> FETCHES =
            List.of(
                    new RowFetch(LOW, FIRST, 12),
                    new RowFetch(MIDDLE, null, 1),
                    new RowFetch(HIGH, FIRST, 3),
                    new RowFetch(KeyRange.ALL, SECOND, 1000));
    private static final List<Row> ROWS =
            List.of(
                    new Row(FIRST, "a \"quoted\"\ttext\n"),
                    new Row(
                            new RowPosition(Arrays.asList(4200L, null), 78, 2),
                            "\u00e9\ud83d\ude00"));

    private static final LayoutHistory LAYOUTS = new UnsplitLayout(300, 1);

    private static String sample(String path) throws IOException {
        List<String> lines = SampleFile.lines("pages/" + path);
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
    void recordedCursorsOfBothKeysDecodeAndEncodeToTheSameText()
            throws IOException, OperatorErrorException {
        CursorCodec codec = new CursorCodec(KEY, OLD_KEY);
        CursorCodec oldCodec = new CursorCodec(OLD_KEY, null);
        assertEquals(
                CURSOR,
                codec.decode(sample("cursor-signed-with-the-key.txt"), QUERY_DIGEST, LAYOUTS));
        assertEquals(
                CURSOR,
                codec.decode(sample("cursor-signed-with-the-old-key.txt"), QUERY_DIGEST, LAYOUTS));
        assertEquals(sample("cursor-signed-with-the-key.txt"), codec.encode(CURSOR));
        assertEquals(sample("cursor-signed-with-the-old-key.txt"), oldCodec.encode(CURSOR));
    }

    @Test
    void queryDigestEqualsTheRecordedDigest() throws IOException {
        assertEquals(
                sample("query-digest.txt"),
                Long.toHexString(
                        QueryDigest.of(
                                "flights", "acme", bytes("{\"from\":\"Z\u00fcrich\"}"), ORDER)));
    }

    @Test
    void recordedFetchRequestDecodesAndEncodesToTheSameBytes() throws IOException {
        String expected = sample("rows-request.json");
        RowCodec.FetchRequest read = RowCodec.decodeFetchRequest(bytes(expected));
        assertEquals(new RowCodec.FetchRequest(ORDER, FETCHES), read);
        assertEquals(expected, text(RowCodec.encodeFetchRequest(read.sortOrder(), read.fetches())));
    }

    @Test
    void recordedAnswersDecodeAndEncodeToTheSameBytes() throws IOException {
        for (RowPosition next : new RowPosition[] {null, SECOND}) {
            String expected =
                    sample(next == null ? "rows-last.json" : "rows-with-more-to-come.json");
            PartialPage read = RowCodec.decodePartialPage(LOW, bytes(expected));
            assertEquals(new PartialPage(LOW, ROWS, next), read);
            assertEquals(expected, text(RowCodec.encodePartialPage(read)));
        }
    }

    @Test
    void rowsForClientsEncodeToTheRecordedBytes() throws IOException {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = Json.FACTORY.createGenerator(out)) {
            json.writeStartObject();
            RowCodec.writeRows(json, ROWS);
            json.writeEndObject();
        }
        assertEquals(sample("rows-for-a-client.json"), out.toString());
    }
}
