package postbeam.pages;

import java.util.Comparator;
import java.util.List;
import postbeam.slices.KeyRange;

/**
 * Assembles one page from the rows of many key ranges. The caller sends the {@link
 * #initialFetches}, {@link #add}s each answer that is valid (see {@link PartialPage#findProblem}),
 * one for each key a round, and goes on with the {@link #followUpFetches} as long as there are any;
 * {@link #finish} is the page. It may end earlier: the page is then shorter, never wrong. To be
 * used by one thread.
 */
public class PageAssembler implements ProgressRules {
    /** Ranges in a cursor: more than a query usually has parts. */
    public static final int MAX_RANGES = 512;

    /**
     * Positions in a cursor: a page that misses ranges may add one, a page that misses none takes
     * them away.
     */
    public static final int MAX_POSITIONS = 32;

    private final SortOrder sortOrder;
    private final Comparator<RowPosition> mergeOrder;
    private final int pageSize;
    private final List<RangeProgress> ranges;
    private final RowDistribution distribution;
    private final FetchPlanner planner;
    private final AnsweredRanges answeredRanges;

    /**
     * Nothing is fetched yet.
     *
     * @param pageSize rows of a full page
     * @param ranges the keys of the query and from where each is to go on, in the order of their
     *     keys
     * @param distribution of rows over keys, as earlier pages of such queries had them; it learns
     *     from this page too
     */
    public PageAssembler(
            SortOrder sortOrder,
            int pageSize,
            List<RangeProgress> ranges,
            RowDistribution distribution) {
        this.sortOrder = sortOrder;
        this.mergeOrder = mergeOrder(sortOrder);
        this.pageSize = pageSize;
        this.ranges = List.copyOf(ranges);
        this.distribution = distribution;
        this.planner = new FetchPlanner(sortOrder, pageSize, this.ranges, distribution);
        this.answeredRanges = new AnsweredRanges(sortOrder);
    }

    /** The order of the page's rows. */
    public SortOrder sortOrder() {
        return sortOrder;
    }

    /** The keys of the query and from where each goes on. */
    public List<RangeProgress> ranges() {
        return ranges;
    }

    /** What to fetch in the first round. */
    public List<RowFetch> initialFetches(LayoutHistory layouts) {
        return planner.initialFetches(layouts);
    }

    /** A valid answer to a fetch of this round. */
    public void add(PartialPage answer) {
        answeredRanges.add(answer);
    }

    /**
     * Ends the round. Returns what to fetch in the next one, of the ranges alone of which an unseen
     * row can come on the page; none where the page is as full as it gets.
     */
    public List<RowFetch> followUpFetches() {
        answeredRanges.closeRound();
        List<Row> merged =
                RowMerger.mergeFirst(mergeOrder, answeredRanges.sortedLists(), pageSize, null);
        RowPosition last = merged.size() < pageSize ? null : merged.get(pageSize - 1).position();
        List<AnsweredRange> unfinished = answeredRanges.withUnseenBefore(last);
        answeredRanges.openRound(unfinished);
        return planner.followUpFetches(merged, unfinished, answeredRanges.firstRound());
    }

    /**
     * Ends the last round. Returns the page, from what has come; nothing may be fetched after it.
     */
    public Page finish() {
        answeredRanges.closeRound();
        List<Row> rows =
                RowMerger.mergeFirst(
                        mergeOrder, answeredRanges.sortedLists(), pageSize, mergeBound());
        RowPosition lastGiven = null;
        for (Row row : rows) {
            lastGiven = sortOrder.later(lastGiven, row.position());
        }
        ProgressAfterPage progress = new ProgressAfterPage(this, answeredRanges, lastGiven, ranges);
        distribution.recordPage(rows, planner.progressOf(answeredRanges.firstRound()));
        boolean truncated = rows.size() < pageSize && answeredRanges.hasUnseenRows();
        return new Page(
                rows,
                progress.missing(),
                progress.remaining(),
                truncated,
                answeredRanges.rowsFetched());
    }

    // ---- rules that trials replace by faulty ones

    /** By what rows are merged. */
    protected Comparator<RowPosition> mergeOrder(SortOrder order) {
        return order;
    }

    /** The page has rows before this position alone; null where there is no unseen row. */
    protected RowPosition mergeBound() {
        return answeredRanges.firstUnseen();
    }

    @Override
    public RowPosition positionAfterPage(
            RangeProgress before, KeyRange keys, RowPosition lastSeen, RowPosition lastGiven) {
        return sortOrder.later(before.after(), lastGiven);
    }

    @Override
    public RowPosition positionOfMissing(RowPosition before, RowPosition lastGiven) {
        return before;
    }
}
