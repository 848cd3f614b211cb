package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import postbeam.slices.KeyRange;

class RowMergerPropertyTest {
    @Property(tries = 300, seed = "1")
    void mergeReturnsFirstRowsInSortOrderBeforeExclusiveBoundPosition(
            @ForAll long seed,
            @ForAll @IntRange(max = 12) int parts,
            @ForAll @IntRange(max = 60) int maxRows) {
        Random random = new Random(seed);
        SortOrder order = RandomRows.order(random);
        List<List<Row>> lists = new ArrayList<>();
        List<Row> sorted = new ArrayList<>();
        for (int i = 0; i < parts; i++) {
            KeyRange range = new KeyRange(10L * i, 10L * i + 10);
            PartialPage answer = RandomRows.answer(random, order, range, random.nextInt(20));
            lists.add(answer.rows());
            sorted.addAll(answer.rows());
        }
        sorted.sort((one, other) -> order.compare(one.position(), other.position()));
        assertEquals(
                sorted.subList(0, Math.min(maxRows, sorted.size())),
                RowMerger.mergeFirst(order, lists, maxRows, null));
        Collections.shuffle(lists, random);
        RowPosition bound =
                sorted.isEmpty() ? null : sorted.get(random.nextInt(sorted.size())).position();
        List<Row> beforeBound =
                sorted.stream()
                        .filter(row -> bound == null || order.compare(row.position(), bound) < 0)
                        .limit(maxRows)
                        .toList();
        assertEquals(beforeBound, RowMerger.mergeFirst(order, lists, maxRows, bound));
    }
}
