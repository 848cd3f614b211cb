package postbeam.pages;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import postbeam.slices.KeyRange;

/**
 * Makes one page. What to ask comes from {@link #initialFetches} and, as long as it names any, from
 * {@link #further}; what came is told with {@link #add}, each range of keys once a round and sound
 * (see {@link PartialPage#findProblem}); {@link #finish} is the page. To be used by one thread.
 */
public class PageAssembler {
    /** Ranges in a cursor: more than a query usually has parts. */
    public static final int MAX_RANGES = 512;

    /**
     * Marks in a cursor: a page that misses ranges may add one, a page that misses none takes them
     * away.
     */
    public static final int MAX_POSITIONS = 32;

    /** Keys that were answered together, as far as is known of them. */
    private static final class AnsweredRange {
        /** The range of the first round that it is of. */
        final AnsweredRange root;

        final KeyRange range;
        final List<Row> rows;

        /** The last row that was seen of it; null: none. */
        final RowPosition lastSeen;

        /**
         * No row that was not seen comes before it; null: all have been seen, or it was asked again
         * since.
         */
        RowPosition nextUnseen;

        AnsweredRange(
                AnsweredRange root,
                KeyRange keys,
                List<Row> rows,
                RowPosition reached,
                RowPosition next) {
            this.root = root == null ? this : root;
            this.range = keys;
            this.rows = rows;
            this.lastSeen = reached;
            this.nextUnseen = next;
        }
    }

    private final SortOrder sortOrder;
    private final Comparator<RowPosition> mergeOrder;
    private final int pageSize;
    private final List<RangeProgress> ranges;
    private final RowDistribution distribution;
    private final List<AnsweredRange> answered = new ArrayList<>();
    private final List<AnsweredRange> firstRound = new ArrayList<>();
    private List<PartialPage> received = new ArrayList<>();
    private List<AnsweredRange> refetched = List.of();
    private boolean firstRoundClosed;
    private int rowsFetched;

    public PageAssembler(
            SortOrder order, int size, List<RangeProgress> standings, RowDistribution shares) {
        this.sortOrder = order;
        this.mergeOrder = mergeOrder(order);
        this.pageSize = size;
        this.ranges = List.copyOf(standings);
        this.distribution = shares;
    }

    /** By what rows are merged. */
    protected Comparator<RowPosition> mergeOrder(SortOrder by) {
        return by;
    }

    /**
     * Where keys of an answered range stand, once rows up to this mark were given; what was reached
     * beyond it has to be fetched again. Several keys of a range were asked apart where its slice
     * was cut since.
     */
    protected RowPosition positionAfterPage(
            RangeProgress before, KeyRange keys, RowPosition reached, RowPosition given) {
        return sortOrder.later(before.after(), given);
    }

    /** Where a range stands that the page is given without. */
    protected RowPosition positionOfMissing(RowPosition before, RowPosition given) {
        return before;
    }

    public SortOrder sortOrder() {
        return sortOrder;
    }

    public List<RangeProgress> ranges() {
        return ranges;
    }

    // ---- what to ask

    /** What to ask first: by where ranges stand, cut along the slices in force. */
    public List<RowFetch> initialFetches(LayoutHistory lineage) {
        List<RangeProgress> cut = new ArrayList<>();
        for (RangeProgress one : ranges) {
            for (KeyRange keys : lineage.splitBySlices(one.range())) {
                cut.add(one.restrictedTo(keys));
            }
        }
        RowPosition furthest = null;
        for (RangeProgress one : ranges) {
            furthest = sortOrder.later(furthest, one.after());
        }
        double[] expected = distribution.expectedShares(cut);
        boolean[] owing = new boolean[cut.size()];
        for (int i = 0; i < owing.length; i++) {
            RowPosition after = cut.get(i).after();
            owing[i] =
                    furthest != null && (after == null || sortOrder.compare(after, furthest) < 0);
        }
        int[] rows = distribution.rowsToFetch(pageSize, expected, owing);
        List<RowFetch> asks = new ArrayList<>();
        for (int i = 0; i < rows.length; i++) {
            asks.add(new RowFetch(cut.get(i).range(), cut.get(i).after(), rows[i]));
        }
        return asks;
    }

    /**
     * The round is over: what to ask again, and only of ranges of which an unseen row can enter the
     * page. None: the page is as full as it gets.
     */
    public List<RowFetch> followUpFetches() {
        closeRound();
        List<Row> seen = RowMerger.mergeFirst(mergeOrder, sortedLists(), pageSize, null);
        RowPosition last = seen.size() < pageSize ? null : seen.get(pageSize - 1).position();
        List<AnsweredRange> wanting = new ArrayList<>();
        for (AnsweredRange track : answered) {
            if (track.nextUnseen != null
                    && (last == null || sortOrder.compare(track.nextUnseen, last) < 0)) {
                wanting.add(track);
            }
        }
        double[] expected = distribution.expectedShares(firstRoundRanges());
        double among = 0;
        for (AnsweredRange track : wanting) {
            among += expectedShare(track, expected);
        }
        List<RowFetch> asks = new ArrayList<>();
        for (AnsweredRange track : wanting) {
            int between = 0;
            for (Row row : seen) {
                between += sortOrder.compare(row.position(), track.nextUnseen) > 0 ? 1 : 0;
            }
            double share = expectedShare(track, expected);
            int rows =
                    distribution.followUpRows(
                            between * share / Math.max(0.5, 1 - share)
                                    + (pageSize - seen.size())
                                            * share
                                            / Math.max(among, Double.MIN_NORMAL),
                            pageSize);
            for (RangeProgress one : ranges) {
                if (one.range().overlaps(track.range)) {
                    asks.add(
                            new RowFetch(
                                    one.range().intersection(track.range),
                                    sortOrder.later(one.after(), track.lastSeen),
                                    rows));
                    // What the first of them is asked for is enough for the track.
                    rows = Math.max(1, rows / 2);
                }
            }
        }
        refetched = wanting;
        return asks;
    }

    private List<RangeProgress> firstRoundRanges() {
        List<RangeProgress> all = new ArrayList<>();
        for (AnsweredRange root : firstRound) {
            all.add(new RangeProgress(root.range, weight(root.range), null));
        }
        return all;
    }

    private double expectedShare(AnsweredRange track, double[] expected) {
        int root = firstRound.indexOf(track.root);
        return expected[root] * track.range.size() / firstRound.get(root).range.size();
    }

    private double weight(KeyRange keys) {
        double sum = 0;
        for (RangeProgress one : ranges) {
            sum += one.range().overlaps(keys) ? one.restrictedTo(keys).weight() : 0;
        }
        return sum;
    }

    private List<List<Row>> sortedLists() {
        List<List<Row>> lists = new ArrayList<>();
        answered.forEach(track -> lists.add(track.rows));
        return lists;
    }

    // ---- what came

    /** A part's answer in this round. */
    public void add(PartialPage partial) {
        received.add(partial);
        rowsFetched += partial.rows().size();
    }

    private void closeRound() {
        received.sort(Comparator.comparing(PartialPage::range));
        if (!firstRoundClosed) {
            for (PartialPage one : received) {
                AnsweredRange track =
                        new AnsweredRange(
                                null,
                                one.range(),
                                one.rows(),
                                lastPosition(one, null),
                                one.nextPosition());
                answered.add(track);
                firstRound.add(track);
            }
            firstRoundClosed = true;
        } else {
            refetched.forEach(this::addFollowUp);
        }
        received = new ArrayList<>();
        refetched = List.of();
    }

    private static RowPosition lastPosition(PartialPage partial, RowPosition before) {
        return partial.rows().isEmpty()
                ? before
                : partial.rows().get(partial.rows().size() - 1).position();
    }

    /** What came for a range that was asked again; its slice may have been cut or joined since. */
    private void addFollowUp(AnsweredRange asked) {
        RowPosition unseen = asked.nextUnseen;
        asked.nextUnseen = null;
        long at = asked.range.from();
        for (PartialPage one : received) {
            if (!one.range().overlaps(asked.range)) {
                continue;
            }
            KeyRange common = one.range().intersection(asked.range);
            if (common.from() > at) {
                answered.add(
                        new AnsweredRange(
                                asked.root,
                                new KeyRange(at, common.from()),
                                List.of(),
                                asked.lastSeen,
                                unseen));
            }
            List<Row> rows =
                    one.rows().stream()
                            .filter(
                                    row ->
                                            row.position().key() >= common.from()
                                                    && row.position().key() < common.to())
                            .toList();
            answered.add(
                    new AnsweredRange(
                            asked.root,
                            common,
                            rows,
                            sortOrder.later(asked.lastSeen, lastPosition(one, asked.lastSeen)),
                            one.nextPosition()));
            at = common.to();
        }
        if (at < asked.range.to()) {
            answered.add(
                    new AnsweredRange(
                            asked.root,
                            new KeyRange(at, asked.range.to()),
                            List.of(),
                            asked.lastSeen,
                            unseen));
        }
    }

    // ---- the page

    /** No unseen row comes before it; null where none is unseen. */
    protected RowPosition mergeBound() {
        RowPosition bound = null;
        for (AnsweredRange track : answered) {
            if (track.nextUnseen != null
                    && (bound == null || sortOrder.compare(track.nextUnseen, bound) < 0)) {
                bound = track.nextUnseen;
            }
        }
        return bound;
    }

    /** The page, of what has come. Nothing is to be asked after it. */
    public Page finish() {
        closeRound();
        List<Row> rows = RowMerger.mergeFirst(mergeOrder, sortedLists(), pageSize, mergeBound());
        RowPosition last = null;
        for (Row row : rows) {
            last = sortOrder.later(last, row.position());
        }
        List<KeyRange> missing = new ArrayList<>();
        List<RangeProgress> next = new ArrayList<>();
        for (RangeProgress one : ranges) {
            progressAfterPage(one, last, missing, next);
        }
        distribution.recordPage(rows, firstRoundRanges());
        boolean left = answered.stream().anyMatch(track -> track.nextUnseen != null);
        return new Page(
                rows, missing, joinIfTooMany(next), rows.size() < pageSize && left, rowsFetched);
    }

    /** Where this range stands after the page, in pieces where they differ. */
    private void progressAfterPage(
            RangeProgress one, RowPosition last, List<KeyRange> missing, List<RangeProgress> next) {
        long at = one.range().from();
        List<RangeProgress> pieces = new ArrayList<>();
        for (AnsweredRange root : firstRound) {
            if (!root.range.overlaps(one.range())) {
                continue;
            }
            KeyRange common = root.range.intersection(one.range());
            if (common.from() > at) {
                addMissing(one, new KeyRange(at, common.from()), last, missing, pieces);
            }
            if (!isExhausted(root, last)) {
                pieces.add(
                        one.restrictedTo(common)
                                .advancedTo(positionAfterPage(one, common, root.lastSeen, last)));
            }
            at = common.to();
        }
        if (at < one.range().to()) {
            addMissing(one, new KeyRange(at, one.range().to()), last, missing, pieces);
        }
        joinAlike(pieces, next, one.range().from());
    }

    private void addMissing(
            RangeProgress one,
            KeyRange keys,
            RowPosition last,
            List<KeyRange> missing,
            List<RangeProgress> pieces) {
        int before = missing.size() - 1;
        if (before >= 0 && missing.get(before).to() == keys.from()) {
            missing.set(before, missing.get(before).joinedWith(keys));
        } else {
            missing.add(keys);
        }
        pieces.add(one.restrictedTo(keys).advancedTo(positionOfMissing(one.after(), last)));
    }

    /** All of it has been seen, and given up to this mark. */
    private boolean isExhausted(AnsweredRange root, RowPosition last) {
        for (AnsweredRange track : answered) {
            if (track.root == root
                    && (track.nextUnseen != null
                            || !track.rows.isEmpty()
                                    && (last == null
                                            || sortOrder.compare(
                                                            track.rows
                                                                    .get(track.rows.size() - 1)
                                                                    .position(),
                                                            last)
                                                    > 0))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Pieces of one range that stand alike are one again: else ranges would grow in number as
     * slices are cut.
     */
    private static void joinAlike(List<RangeProgress> pieces, List<RangeProgress> next, long from) {
        for (RangeProgress piece : pieces) {
            int last = next.size() - 1;
            RangeProgress before = last < 0 ? null : next.get(last);
            if (before != null && before.range().from() >= from && canJoin(before, piece)) {
                next.set(last, joinAlike(before, piece));
            } else {
                next.add(piece);
            }
        }
    }

    private static boolean canJoin(RangeProgress one, RangeProgress other) {
        return one.range().to() == other.range().from()
                && Objects.equals(one.after(), other.after());
    }

    private static RangeProgress joinAlike(RangeProgress one, RangeProgress other) {
        return new RangeProgress(
                one.range().joinedWith(other.range()), one.weight() + other.weight(), one.after());
    }

    /**
     * Where there are too many, neighbours that stand alike are one, whatever weights they were
     * given.
     */
    private static List<RangeProgress> joinIfTooMany(List<RangeProgress> next) {
        if (next.size() <= MAX_RANGES) {
            return next;
        }
        List<RangeProgress> fewer = new ArrayList<>();
        joinAlike(next, fewer, 0);
        return fewer;
    }
}
