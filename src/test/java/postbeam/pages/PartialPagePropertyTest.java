package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import postbeam.slices.KeyRange;

class PartialPagePropertyTest {
    private static final KeyRange RANGE = new KeyRange(100, 200);
    private static final KeyRange OTHER_RANGE = new KeyRange(0, 100);

    private static void assertInvalid(
            PartialPage answer, SortOrder order, RowFetch fetch, String defect) {
        assertTrue(answer.findProblem(order, List.of(fetch)).isPresent(), defect);
    }

    /** A valid answer has no problem; with any single defect it has one. */
    @Property(tries = 500, seed = "1")
    void answerWithOneDefectIsInvalid(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 20) int rowCount) {
        Random random = new Random(seed);
        SortOrder order = RandomRows.order(random);
        PartialPage valid = RandomRows.answer(random, order, RANGE, rowCount);
        List<Row> rows = valid.rows();
        RowFetch fetch = new RowFetch(RANGE, null, rowCount);
        assertEquals(Optional.empty(), valid.findProblem(order, List.of(fetch)));
        int index = random.nextInt(rowCount - 1);
        List<Row> swapped = new ArrayList<>(rows);
        Collections.swap(swapped, index, index + 1);
        assertInvalid(new PartialPage(RANGE, swapped, null), order, fetch, "rows swapped");
        List<Row> repeated = new ArrayList<>(rows);
        repeated.set(index + 1, repeated.get(index));
        assertInvalid(new PartialPage(RANGE, repeated, null), order, fetch, "row repeated");
        assertInvalid(
                valid, order, new RowFetch(RANGE, null, rowCount - 1), "more rows than requested");
        assertInvalid(
                valid,
                order,
                new RowFetch(RANGE, rows.get(index).position(), rowCount),
                "row at the start position of the fetch");
        assertInvalid(
                new PartialPage(OTHER_RANGE, rows, null),
                order,
                new RowFetch(OTHER_RANGE, null, rowCount),
                "rows of keys outside the range");
        List<Row> allButLast = rows.subList(0, rowCount - 1);
        RowPosition seen = rows.get(random.nextInt(rowCount - 1)).position();
        assertInvalid(
                new PartialPage(RANGE, allButLast, seen),
                order,
                fetch,
                "next position not after the last row");
        RowPosition last = rows.get(rowCount - 1).position();
        assertEquals(
                Optional.empty(),
                new PartialPage(RANGE, allButLast, last).findProblem(order, List.of(fetch)));
        assertInvalid(
                new PartialPage(RANGE, List.of(), rows.get(0).position()),
                order,
                fetch,
                "it has a next position but no rows");
    }

    @Example
    void answerWithAnInvalidPositionIsInvalid() {
        SortOrder order = new SortOrder(List.of(new SortKey("k", false, false)));
        List<RowPosition> invalid =
                List.of(
                        new RowPosition(List.of(), 0, 0),
                        new RowPosition(List.of(1L, 1L), 0, 0),
                        new RowPosition(List.of(1.5), 0, 0),
                        new RowPosition(List.of("x".repeat(RowPosition.MAX_TEXT_BYTES + 1)), 0, 0),
                        new RowPosition(List.of("\u00e9".repeat(33)), 0, 0),
                        new RowPosition(List.of("\ud800"), 0, 0),
                        new RowPosition(List.of(1L), -1, 0),
                        new RowPosition(List.of(1L), KeyRange.KEY_SPACE_SIZE, 0));
        for (RowPosition position : invalid) {
            PartialPage answer =
                    new PartialPage(KeyRange.ALL, List.of(new Row(position, "")), null);
            assertInvalid(answer, order, new RowFetch(KeyRange.ALL, null, 5), position.toString());
        }
    }
}
