package postbeam.pages;

import java.util.Comparator;
import java.util.List;
import postbeam.slices.KeyRange;

/**
 * Assembles one page from the rows of many key ranges. The caller sends the {@link
 * #initialFetches}, {@link #add}s each valid answer (see {@link PartialPage#findProblem}; at most
 * one answer for each key in a round), and repeats this with the {@link #followUpFetches} until
 * there are none; {@link #finish} returns the page. The caller may finish earlier: the page may
 * then have fewer rows, but never wrong ones. Not thread-safe.
 */
public class PageAssembler implements ProgressRules {
    /** Maximum number of ranges in a cursor; a query usually has fewer parts. */
    public static final int MAX_RANGES = 512;

    /**
     * Maximum number of positions in a cursor. A page with missing ranges may add a position; a
     * page without missing ranges removes the additional ones.
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
     * Creates an assembler for one page.
     *
     * @param pageSize number of rows of a full page
     * @param ranges the key ranges of the query and the progress of each, in key order
     * @param distribution row distribution learned from earlier pages of such queries; {@link
     *     #finish} updates it with this page
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

    /** Sort order of the page's rows. */
    public SortOrder sortOrder() {
        return sortOrder;
    }

    /** Key ranges of the query and the progress of each before this page, in key order. */
    public List<RangeProgress> ranges() {
        return ranges;
    }

    /** Fetches of the first round. */
    public List<RowFetch> initialFetches(LayoutHistory layouts) {
        return planner.initialFetches(layouts);
    }

    /** Adds a valid answer to fetches of the current round. */
    public void add(PartialPage answer) {
        answeredRanges.add(answer);
    }

    /**
     * Ends the current round. Returns the fetches of the next round, only of ranges that may have
     * unseen rows for this page; empty if more fetches can't add rows to it.
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
     * Ends the last round and returns the page made from all answers so far. Must be called once,
     * as the last call.
     */
    public Page finish() {
        answeredRanges.closeRound();
        List<Row> rows =
                RowMerger.mergeFirst(
                        mergeOrder, answeredRanges.sortedLists(), pageSize, mergeBound());
        RowPosition lastReturned = null;
        for (Row row : rows) {
            lastReturned = sortOrder.later(lastReturned, row.position());
        }
        ProgressAfterPage progress =
                new ProgressAfterPage(this, answeredRanges, lastReturned, ranges);
        distribution.recordPage(rows, planner.progressOf(answeredRanges.firstRound()));
        boolean truncated = rows.size() < pageSize && answeredRanges.hasUnseenRows();
        return new Page(
                rows,
                progress.missing(),
                progress.remaining(),
                truncated,
                answeredRanges.rowsFetched());
    }

    // ---- rules that simulations override with defective ones

    /** Order by which rows are merged. */
    protected Comparator<RowPosition> mergeOrder(SortOrder order) {
        return order;
    }

    /** Exclusive upper bound of the positions on the page; null if there are no unseen rows. */
    protected RowPosition mergeBound() {
        return answeredRanges.firstUnseen();
    }

    @Override
    public RowPosition positionAfterPage(
            RangeProgress before, KeyRange keys, RowPosition lastSeen, RowPosition lastReturned) {
        return sortOrder.later(before.after(), lastReturned);
    }

    @Override
    public RowPosition positionOfMissing(RowPosition before, RowPosition lastReturned) {
        return before;
    }
}
