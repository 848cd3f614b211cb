package postbeam.pages;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import postbeam.slices.KeyRange;

/** Random sort orders, positions and answers; many of their values are adjacent or equal. */
final class RandomRows {
    private RandomRows() {}

    static RowPosition position(Random random, int sortValueCount) {
        List<Object> sortValues = new ArrayList<>();
        for (int i = 0; i < sortValueCount; i++) {
            int kind = random.nextInt(4);
            sortValues.add(
                    kind == 0
                            ? null
                            : kind == 1
                                    ? (Object) (long) (random.nextInt(5) - 2)
                                    : new String(
                                            Character.toChars(
                                                    kind == 2
                                                            ? 'a' + random.nextInt(3)
                                                            : random.nextBoolean()
                                                                    ? 0x1F600 + random.nextInt(3)
                                                                    : 0xFFE0 + random.nextInt(3))));
        }
        return new RowPosition(sortValues, random.nextInt(3), random.nextInt(3));
    }

    static SortOrder order(Random random) {
        List<SortKey> keys = new ArrayList<>();
        for (int i = 0; i <= random.nextInt(SortOrder.MAX_KEYS); i++) {
            keys.add(new SortKey("k" + i, random.nextBoolean(), random.nextBoolean()));
        }
        return new SortOrder(keys);
    }

    /** Returns a valid answer with this number of rows and no next position. */
    static PartialPage answer(Random random, SortOrder order, KeyRange range, int rowCount) {
        List<Row> rows = new ArrayList<>();
        for (int i = 0; i < rowCount; i++) {
            RowPosition randomPosition = position(random, order.keys().size());
            RowPosition position =
                    new RowPosition(
                            randomPosition.sortValues(), range.from() + random.nextInt(5), i);
            rows.add(new Row(position, "r" + i));
        }
        rows.sort((one, other) -> order.compare(one.position(), other.position()));
        return new PartialPage(range, rows, null);
    }
}
