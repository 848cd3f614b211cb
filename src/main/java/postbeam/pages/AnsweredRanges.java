package postbeam.pages;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import postbeam.slices.KeyRange;

/** All answers for a page, round by round. */
final class AnsweredRanges {
    private final SortOrder sortOrder;
    private final List<AnsweredRange> answered = new ArrayList<>();
    private final List<AnsweredRange> firstRound = new ArrayList<>();

    /** Answers of the round that is open. */
    private List<PartialPage> received = new ArrayList<>();

    /** Ranges that were fetched again in the round that is open. */
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

    /** The answers of the open round count from now on. */
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

    /** The round that opens now fetches these ranges again. */
    void openRound(List<AnsweredRange> toRefetch) {
        refetched = toRefetch;
    }

    /**
     * Takes over what came for a range that was fetched again; its slice may have been split or
     * merged since.
     */
    private void addFollowUps(AnsweredRange fetched) {
        RowPosition unseen = fetched.handOverUnseen();
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

    // ---- what is known after the rounds that are closed

    /** The rows of each answer, in order. */
    List<List<Row>> sortedLists() {
        return answered.stream().map(range -> range.rows).toList();
    }

    List<AnsweredRange> firstRound() {
        return firstRound;
    }

    /** Ranges of which an unseen row may come before this position; null stands for the end. */
    List<AnsweredRange> withUnseenBefore(RowPosition position) {
        return answered.stream()
                .filter(range -> range.mayHaveUnseenBefore(position, sortOrder))
                .toList();
    }

    /** No unseen row comes before it; null where none is unseen. */
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

    /** Whether all rows of a range of the first round were seen, and come up to this position. */
    boolean isExhausted(AnsweredRange root, RowPosition upTo) {
        return answered.stream()
                .filter(range -> range.root == root)
                .allMatch(range -> range.isExhausted(upTo, sortOrder));
    }

    /** Rows that came in all rounds. */
    int rowsFetched() {
        return rowsFetched;
    }
}
