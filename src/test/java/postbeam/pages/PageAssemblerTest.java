package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.slices.KeyRange;

class PageAssemblerTest {
    private static final SortOrder ORDER = new SortOrder(List.of(new SortKey("k", false, false)));
    private static final KeyRange LOW = new KeyRange(0, 10);
    private static final KeyRange HIGH = new KeyRange(10, 20);

    private static PageAssembler assembler(int size, RowPosition after) {
        return new PageAssembler(
                ORDER,
                size,
                List.of(new RangeProgress(LOW, 0.5, after), new RangeProgress(HIGH, 0.5, after)),
                new RowDistribution());
    }

    private static List<Row> rows(KeyRange range, long... values) {
        List<Row> rows = new ArrayList<>();
        for (long value : values) {
            rows.add(new Row(position(range, value), "r" + value));
        }
        return rows;
    }

    private static RowPosition position(KeyRange range, long value) {
        return new RowPosition(List.of(value), range.from(), value);
    }

    @Test
    void fullPageNeedsNoFollowUpFetch() {
        PageAssembler assembler = assembler(3, null);
        assembler.add(new PartialPage(LOW, rows(LOW, 1, 2, 3), position(LOW, 4)));
        assembler.add(new PartialPage(HIGH, rows(HIGH, 5), position(HIGH, 7)));
        assertEquals(List.of(), assembler.followUpFetches());
    }

    @Test
    void onlyRangesThatMayHaveUnseenRowsForThePageAreFetchedAgain() {
        PageAssembler assembler = assembler(4, null);
        assembler.add(new PartialPage(LOW, rows(LOW, 1, 2, 9), position(LOW, 10)));
        assembler.add(new PartialPage(HIGH, rows(HIGH, 5), position(HIGH, 7)));
        List<RowFetch> followUps = assembler.followUpFetches();
        assertEquals(List.of(HIGH), followUps.stream().map(RowFetch::range).toList());
        assertEquals(position(HIGH, 5), followUps.get(0).after());
        assembler.add(new PartialPage(HIGH, rows(HIGH, 7), null));
        assertEquals(List.of(), assembler.followUpFetches());
        Page page = assembler.finish();
        assertEquals(
                List.of(1L, 2L, 5L, 7L),
                page.rows().stream().map(row -> row.position().sortValues().get(0)).toList());
        assertEquals(
                List.of(new RangeProgress(LOW, 0.5, page.rows().get(3).position())),
                page.remaining());
    }

    @Test
    void missingRangeIsReportedAndKeepsItsPosition() {
        RowPosition after = position(HIGH, 1);
        PageAssembler assembler = assembler(9, after);
        assembler.add(new PartialPage(LOW, rows(LOW, 4, 5), null));
        assertEquals(List.of(), assembler.followUpFetches());
        Page page = assembler.finish();
        assertEquals(List.of(HIGH), page.missingRanges());
        assertEquals(List.of(new RangeProgress(HIGH, 0.5, after)), page.remaining());
        assertEquals(2, page.rows().size());
    }
}
