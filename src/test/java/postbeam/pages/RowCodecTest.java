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
    private static final KeyRange KEYS = new KeyRange(5, 9);

    @Test
    void rowsAndAsksComeBackAsTheyWere() throws IOException {
        RowPosition mark =
                new RowPosition(
                        Arrays.asList(null, -3L, "\u00e9\n\ud83d\ude00"),
                        KeyRange.KEY_SPACE_SIZE - 1,
                        Long.MIN_VALUE);
        PartialPage partial =
                new PartialPage(
                        KEYS,
                        List.of(new Row(mark, "a \"b\"\t")),
                        new RowPosition(Arrays.asList(null, -3L, "z"), 7, 0));
        assertEquals(partial, RowCodec.partialPage(KEYS, RowCodec.partialPage(partial)));
        SortOrder order =
                new SortOrder(
                        List.of(new SortKey("fare", true, true), new SortKey("at", false, false)));
        RowCodec.FetchRequest asked =
                new RowCodec.FetchRequest(
                        order,
                        List.of(
                                new RowFetch(KEYS, mark, 7),
                                new RowFetch(KeyRange.ALL, null, 1),
                                new RowFetch(KEYS, mark, 3)));
        assertEquals(
                asked,
                RowCodec.fetchRequest(RowCodec.fetchRequest(asked.sortOrder(), asked.fetches())));
    }

    @Test
    void whatIsNoAnswerIsRefused() {
        for (String bad :
                new String[] {
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
                    "{\"rows\":[[[1],2,99999999999999999999,\"x\"]]}"
                }) {
            assertThrows(
                    IOException.class,
                    () -> RowCodec.partialPage(KEYS, bad.getBytes(StandardCharsets.UTF_8)),
                    bad);
        }
    }

    @Test
    void anOrderThatCantBeUsedIsTold() throws IOException {
        for (String bad :
                new String[] {
                    "[]",
                    "[1]",
                    "[{}]",
                    "[{\"by\":\"\"}]",
                    "[{\"by\":\"a\",\"missing\":\"middle\"}]",
                    "[{\"by\":\"a\",\"descending\":1}]",
                    "[{\"by\":\"a\"},{\"by\":\"a\"},{\"by\":\"a\"},{\"by\":\"a\"},{\"by\":\"a\"}]"
                }) {
            List<?> told =
                    (List<?>)
                            Json.parseObject(
                                            ("{\"o\":" + bad + "}")
                                                    .getBytes(StandardCharsets.UTF_8))
                                    .get("o");
            assertThrows(IOException.class, () -> RowCodec.readOrder(told), bad);
        }
        assertEquals(
                new SortOrder(List.of(new SortKey("a", false, false))),
                RowCodec.readOrder(
                        (List<?>)
                                Json.parseObject(
                                                "{\"o\":[{\"by\":\"a\"}]}"
                                                        .getBytes(StandardCharsets.UTF_8))
                                        .get("o")));
    }
}
