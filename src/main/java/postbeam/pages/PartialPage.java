package postbeam.pages;

import java.util.List;
import java.util.Optional;
import postbeam.slices.KeyRange;

/**
 * A shard's answer to a fetch.
 *
 * @param range the keys that it covers
 * @param rows in the sort order
 * @param nextPosition of the first row that the shard has beyond these; null where it has no more
 */
public record PartialPage(KeyRange range, List<Row> rows, RowPosition nextPosition) {
    /** Copies the rows. */
    public PartialPage {
        rows = List.copyOf(rows);
    }

    /** The position of the last row; the other one where there is no row. */
    RowPosition lastPosition(RowPosition other) {
        return rows.isEmpty() ? other : rows.get(rows.size() - 1).position();
    }

    /**
     * What is wrong with it as an answer to these fetches, in a clause; empty where nothing is. The
     * merge relies on it: each answer must be in order from the position that was asked for, and no
     * longer than a page may get.
     */
    public Optional<String> findProblem(SortOrder order, List<RowFetch> fetches) {
        int maxRows = RowFetch.maxRows(fetches, range);
        if (rows.size() > maxRows) {
            return Optional.of(rows.size() + " rows where " + maxRows + " were asked for");
        }
        if (nextPosition != null && rows.isEmpty()) {
            return Optional.of("no row, and more to come");
        }
        RowPosition last = null;
        for (Row row : rows) {
            Optional<String> problem = findProblem(order, fetches, last, row.position());
            if (problem.isPresent()) {
                return problem;
            }
            last = row.position();
        }
        return nextPosition == null
                ? Optional.empty()
                : findProblem(order, fetches, last, nextPosition);
    }

    private Optional<String> findProblem(
            SortOrder order, List<RowFetch> fetches, RowPosition last, RowPosition position) {
        Optional<String> problem = position.findProblem(order);
        if (problem.isPresent()) {
            return problem.map(reason -> "a row can't be used: " + reason);
        }
        if (last != null && order.compare(last, position) >= 0) {
            return Optional.of("a row out of order");
        }
        if (position.key() < range.from() || position.key() >= range.to()) {
            return Optional.of("a row of other keys");
        }
        RowPosition start = startOf(fetches, position.key());
        return start != null && order.compare(start, position) >= 0
                ? Optional.of("a row that had been given before")
                : Optional.empty();
    }

    /** From where the fetch of this key starts; null where it starts from the first row. */
    private static RowPosition startOf(List<RowFetch> fetches, long key) {
        for (RowFetch fetch : fetches) {
            if (fetch.range().from() <= key && key < fetch.range().to()) {
                return fetch.after();
            }
        }
        return null;
    }
}
