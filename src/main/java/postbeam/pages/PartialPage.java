package postbeam.pages;

import java.util.List;
import java.util.Optional;
import postbeam.slices.KeyRange;

/**
 * A shard's answer to fetches.
 *
 * @param range the keys that the answer covers
 * @param rows the rows in the sort order
 * @param nextPosition position of the first row that the shard has after these; null if it has no
 *     more
 */
public record PartialPage(KeyRange range, List<Row> rows, RowPosition nextPosition) {
    /** Makes an immutable copy of the rows. */
    public PartialPage {
        rows = List.copyOf(rows);
    }

    /** Returns the position of the last row, or the other position if there are no rows. */
    RowPosition lastPosition(RowPosition other) {
        return rows.isEmpty() ? other : rows.get(rows.size() - 1).position();
    }

    /**
     * Checks this answer against the fetches it answers. Returns a clause that tells the first
     * problem, or empty if the answer is valid. The merge relies on this check: the rows must be
     * sorted, come after the position of their fetch, and be no more than the fetches allow.
     */
    public Optional<String> findProblem(SortOrder order, List<RowFetch> fetches) {
        int maxRows = RowFetch.maxRows(fetches, range);
        if (rows.size() > maxRows) {
            return Optional.of(rows.size() + " rows, but at most " + maxRows + " were requested");
        }
        if (nextPosition != null && rows.isEmpty()) {
            return Optional.of("it has a next position but no rows");
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
            return problem.map(reason -> "invalid row position: " + reason);
        }
        if (last != null && order.compare(last, position) >= 0) {
            return Optional.of("a row out of order");
        }
        if (position.key() < range.from() || position.key() >= range.to()) {
            return Optional.of(
                    "a row with key "
                            + position.key()
                            + ", which is outside the range from "
                            + range.from()
                            + " to "
                            + range.to());
        }
        RowPosition start = startOf(fetches, position.key());
        return start != null && order.compare(start, position) >= 0
                ? Optional.of("a row that is not after the start position of its fetch")
                : Optional.empty();
    }

    /**
     * Returns the position after which the fetch of this key starts; null if it starts from the
     * first row.
     */
    private static RowPosition startOf(List<RowFetch> fetches, long key) {
        for (RowFetch fetch : fetches) {
            if (fetch.range().from() <= key && key < fetch.range().to()) {
                return fetch.after();
            }
        }
        return null;
    }
}
