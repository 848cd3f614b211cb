package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.setup.Json;
import postbeam.slices.KeyRange;

class RowFormTest {
    private static final KeyRange KEYS = new KeyRange(5, 9);

    @Test
    void rowsAndAsksComeBackAsTheyWere() throws IOException {
        Mark mark =
                new Mark(
                        Arrays.asList(null, -3L, "\u00e9\n\ud83d\ude00"),
                        KeyRange.KEYS - 1,
                        Long.MIN_VALUE);
        Partial partial =
                new Partial(
                        KEYS,
                        List.of(new Row(mark, "a \"b\"\t")),
                        new Mark(Arrays.asList(null, -3L, "z"), 7, 0));
        assertEquals(partial, RowForm.partial(KEYS, RowForm.partial(partial)));
        Order order =
                new Order(
                        List.of(new SortKey("fare", true, true), new SortKey("at", false, false)));
        RowForm.Asked asked =
                new RowForm.Asked(
                        order,
                        List.of(
                                new Ask(KEYS, mark, 7),
                                new Ask(KeyRange.ALL, null, 1),
                                new Ask(KEYS, mark, 3)));
        assertEquals(asked, RowForm.asked(RowForm.asked(asked.order(), asked.asks())));
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
                    () -> RowForm.partial(KEYS, bad.getBytes(StandardCharsets.UTF_8)),
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
                            Json.object(("{\"o\":" + bad + "}").getBytes(StandardCharsets.UTF_8))
                                    .get("o");
            assertThrows(IOException.class, () -> RowForm.order(told), bad);
        }
        assertEquals(
                new Order(List.of(new SortKey("a", false, false))),
                RowForm.order(
                        (List<?>)
                                Json.object(
                                                "{\"o\":[{\"by\":\"a\"}]}"
                                                        .getBytes(StandardCharsets.UTF_8))
                                        .get("o")));
    }
}
