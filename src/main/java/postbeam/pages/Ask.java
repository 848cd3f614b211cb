package postbeam.pages;

import java.util.List;
import postbeam.slices.KeyRange;

/** So many rows at most of these keys, after this mark; null: from the first on. */
public record Ask(KeyRange keys, Mark after, int rows) {
    /** What a part that has these keys is asked for altogether. */
    public static int rows(List<Ask> asks, KeyRange keys) {
        int rows = 0;
        for (Ask ask : asks) {
            rows += ask.keys.meets(keys) ? ask.rows : 0;
        }
        return rows;
    }
}
