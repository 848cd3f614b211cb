package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.json.Json;
import postbeam.slices.KeyRange;

class RowCodecTest {
    private static final KeyRange RANGE = new KeyRange(5, 9);
    private static final RowPosition POSITION =
            new RowPosition(
                    Arrays.asList(null, -3L, "\u00e9\n\ud83d\ude00"),
                    KeyRange.KEY_SPACE_SIZE - 1,
                    Long.MIN_VALUE);

    @Test
    void encodedAnswerDecodesToEqualAnswer() throws IOException {
        PartialPage answer =
                new PartialPage(
                        RANGE,
                        List.of(new Row(POSITION, "a \"b\"\t")),
                        new RowPosition(Arrays.asList(null, -3L, "z"), 7, 0));
        assertEquals(answer, RowCodec.decodePartialPage(RANGE, RowCodec.encodePartialPage(answer)));
    }

    @Test
    void encodedFetchRequestDecodesToEqualRequest() throws IOException {
        SortOrder order =
                new SortOrder(
                        List.of(new SortKey("fare", true, true), new SortKey("at", false, false)));
        List<RowFetch> fetches =
                List.of(
                        new RowFetch(RANGE, POSITION, 7),
                        new RowFetch(KeyRange.ALL, null, 1),
                        new RowFetch(RANGE, POSITION, 3));
        assertEquals(
                new RowCodec.FetchRequest(order, fetches),
                RowCodec.decodeFetchRequest(RowCodec.encodeFetchRequest(order, fetches)));
    }

    @Test
    void invalidAnswersAreRejected() {
        for (String invalid :
                List.of(
                        "",
                        "v",
                        "[]",
                        "{}",
                        "{\"rows\":[],\"next\":[[],1]}",
                        "{\"rows\":[],\"next\":null}",
                        "{\"rows\":{}}",
                        "{\"rows\":[[]]}",
                        "{\"rows\":[[1,2,3,\"x\"]]}",
                        "{\"rows\":[[[1],2,3,4]]}",
                        "{\"rows\":[[[1.5],2,3,\"x\"]]}",
                        "{\"rows\":[[[1],null,3,\"x\"]]}",
                        "{\"rows\":[[[true],2,3,\"x\"]]}",
                        "{\"rows\":[[[1],2,99999999999999999999,\"x\"]]}")) {
            byte[] bytes = invalid.getBytes(StandardCharsets.UTF_8);
            assertThrows(
                    IOException.class, () -> RowCodec.decodePartialPage(RANGE, bytes), invalid);
        }
    }

    @Test
    void invalidSortOrdersAreRejected() throws IOException {
        for (String invalid :
                List.of(
                        "[]",
                        "[1]",
                        "[{}]",
                        "[{\"by\":\"\"}]",
                        "[{\"by\":\"a\",\"missing\":\"middle\"}]",
                        "[{\"by\":\"a\",\"descending\":1}]",
                        "[{\"by\":\"a\"},{\"by\":\"a\"},{\"by\":\"a\"},{\"by\":\"a\"},{\"by\":\"a\"}]")) {
            List<?> list = list(invalid);
            assertThrows(IOException.class, () -> RowCodec.readOrder(list), invalid);
        }
        assertEquals(
                new SortOrder(List.of(new SortKey("a", false, false))),
                RowCodec.readOrder(list("[{\"by\":\"a\"}]")));
    }

    private static List<?> list(String json) throws IOException {
        return (List<?>)
                Json.parseObject(("{\"list\":" + json + "}").getBytes(StandardCharsets.UTF_8))
                        .get("list");
    }
}
