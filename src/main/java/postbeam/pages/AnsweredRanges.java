package postbeam.pages;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import postbeam.slices.KeyRange;

/** Collects the answers for a page, round by round. */
final class AnsweredRanges {
    private final SortOrder sortOrder;
    private final List<AnsweredRange> answered = new ArrayList<>();
    private final List<AnsweredRange> firstRound = new ArrayList<>();

    /** Answers of the current round. */
    private List<PartialPage> received = new ArrayList<>();

    /** Ranges that are fetched again in the current round. */
    private List<AnsweredRange> refetched = List.of();

    private boolean firstRoundClosed;
    private int rowsFetched;

    AnsweredRanges(SortOrder sortOrder) {
        this.sortOrder = sortOrder;
    }

    // ---- rounds

    void add(PartialPage answer) {
        received.add(answer);
        rowsFetched += answer.rows().size();
    }

    /** Ends the current round and adds its answers to the results. */
    void closeRound() {
        received.sort(Comparator.comparing(PartialPage::range));
        if (firstRoundClosed) {
            refetched.forEach(this::addFollowUps);
        } else {
            received.forEach(answer -> firstRound.add(AnsweredRange.ofFirstRound(answer)));
            answered.addAll(firstRound);
            firstRoundClosed = true;
        }
        received = new ArrayList<>();
        refetched = List.of();
    }

    /** Starts a round that fetches these ranges again. */
    void openRound(List<AnsweredRange> toRefetch) {
        refetched = toRefetch;
    }

    /**
     * Adds the answers for a range that was fetched again. They may cover other key ranges than the
     * first answer, as the slice may have been split or merged since.
     */
    private void addFollowUps(AnsweredRange fetched) {
        RowPosition unseen = fetched.takeNextUnseen();
        long from = fetched.range.from();
        for (PartialPage answer : received) {
            if (!answer.range().overlaps(fetched.range)) {
                continue;
            }
            KeyRange common = answer.range().intersection(fetched.range);
            if (common.from() > from) {
                answered.add(fetched.withoutAnswer(new KeyRange(from, common.from()), unseen));
            }
            answered.add(fetched.followedBy(answer, common, sortOrder));
            from = common.to();
        }
        if (from < fetched.range.to()) {
            answered.add(fetched.withoutAnswer(new KeyRange(from, fetched.range.to()), unseen));
        }
    }

    // ---- results of the rounds that have ended

    /** The rows of each answer, each list in the sort order. */
    List<List<Row>> sortedLists() {
        return answered.stream().map(range -> range.rows).toList();
    }

    List<AnsweredRange> firstRound() {
        return firstRound;
    }

    /** Ranges that may have unseen rows before this position; null means the end of the order. */
    List<AnsweredRange> withUnseenBefore(RowPosition position) {
        return answered.stream()
                .filter(range -> range.mayHaveUnseenBefore(position, sortOrder))
                .toList();
    }

    /** Lower bound of the positions of all unseen rows; null if there are none. */
    RowPosition firstUnseen() {
        return answered.stream()
                .filter(AnsweredRange::hasUnseenRows)
                .map(AnsweredRange::nextUnseen)
                .min(sortOrder)
                .orElse(null);
    }

    boolean hasUnseenRows() {
        return answered.stream().anyMatch(AnsweredRange::hasUnseenRows);
    }

    /**
     * Returns whether all rows of a first-round range were received and none is after this
     * position.
     */
    boolean isExhausted(AnsweredRange root, RowPosition upTo) {
        return answered.stream()
                .filter(range -> range.root == root)
                .allMatch(range -> range.isExhausted(upTo, sortOrder));
    }

    /** Number of rows received in all rounds. */
    int rowsFetched() {
        return rowsFetched;
    }
}
