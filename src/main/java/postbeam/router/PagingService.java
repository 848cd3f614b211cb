package postbeam.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import postbeam.config.InstanceSettings;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.QueryAction;
import postbeam.errors.OperatorError;
import postbeam.errors.OperatorErrorException;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.SideEffects;
import postbeam.pages.CursorCodec;
import postbeam.pages.FollowUpFetchBudget;
import postbeam.pages.PageAssembler;
import postbeam.pages.PageError;
import postbeam.pages.PageRequest;
import postbeam.pages.PageResult;
import postbeam.pages.QueryDigest;
import postbeam.pages.RangeProgress;
import postbeam.pages.RowDistribution;
import postbeam.pages.RowFetch;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.LayoutCompleteness;
import postbeam.slices.Slice;
import postbeam.slices.UnroutableQueryException;

/**
 * Serves pages: decodes cursors before anything is sent, fetches rows that are missing after the
 * first answers by follow-up queries and completes the page. Thread-safe.
 */
public final class PagingService {
    /**
     * Maximum number of rounds of further fetches for a page; if rows are still missing after them,
     * the page is returned with fewer rows than requested.
     */
    private static final int MAX_FOLLOW_UP_ROUNDS = 2;

    /**
     * Minimum time allowed for a round of further fetches; enough for a few round trips and the
     * usual processing time of a node.
     */
    private static final Duration MIN_ROUND_TIME = Duration.ofMillis(200);

    private final CursorCodec cursorCodec;
    private final int maxRows;
    private final Map<String, RowDistribution> rowDistributions = new ConcurrentHashMap<>();
    private FollowUpFetchBudget followUpBudget;

    /**
     * Creates the service.
     *
     * @param key signs cursors; in hexadecimal digits
     * @param previousKey cursors signed with this key are still accepted; null for none
     * @param maxRows maximum page size that a client may request
     * @throws OperatorErrorException if a key is invalid
     */
    public PagingService(String key, String previousKey, int maxRows)
            throws OperatorErrorException {
        this.cursorCodec = new CursorCodec(key, previousKey);
        this.maxRows = maxRows;
    }

    int maxRows() {
        return maxRows;
    }

    /**
     * Returns the settings with the policy's retry budget reduced by the part that follow-up
     * queries may use. Must be called once, before any query.
     */
    InstanceSettings withReducedRetryBudget(InstanceSettings settings) {
        double spareAttempts = orZero(settings.number("obligations.spareAttempts"));
        double budgetShare = orZero(settings.number("obligations.budgetShare"));
        followUpBudget =
                new FollowUpFetchBudget(
                        spareAttempts, budgetShare, settings.duration("obligations.extraWindow"));
        return settings.withValue(
                "obligations.spareAttempts",
                String.valueOf(spareAttempts - followUpBudget.reservedAttempts()));
    }

    private static double orZero(Double number) {
        return number == null ? 0 : number;
    }

    /**
     * The deadline of a follow-up query: within the latency objective, and after about as long as
     * the page has taken so far, so that a page which could be returned short does not wait for the
     * retry budget.
     */
    Duration followUpDeadline(Duration now, Query first) {
        Duration elapsed = now.minus(first.arrivedAt);
        Duration deadline = now.plus(elapsed).plus(MIN_ROUND_TIME);
        return earlier(earlier(deadline, first.sloDeadline()), first.deadline);
    }

    private static Duration earlier(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /**
     * Takes this many shard requests from the budget for follow-up queries; returns false if not
     * enough is left.
     */
    boolean tryAcquireFollowUpBudget(Duration now, int shardRequests) {
        return followUpBudget.tryAcquire(now, shardRequests);
    }

    /**
     * Determines what to fetch for a page.
     *
     * @param slices as the client named them; ignored if the request has a cursor, which states the
     *     ranges
     * @throws UnroutableQueryException if the page can't be served; nothing has been sent then
     */
    PagedQuery startPage(
            ClientRequest request,
            QueryClass queryClass,
            Layout layout,
            List<LayoutCompleteness.RequestedSlice> slices)
            throws UnroutableQueryException {
        try {
            if (queryClass.sideEffects != SideEffects.IDEMPOTENT) {
                throw new PageError.NotIdempotent(request.queryClass()).toException();
            }
            return request.pageRequest().cursor() == null
                    ? startFirstPage(request, layout, slices)
                    : startNextPage(request, layout);
        } catch (OperatorErrorException e) {
            throw new UnroutableQueryException(rejectionReason(e.error()), e.getMessage());
        }
    }

    private PagedQuery startFirstPage(
            ClientRequest request, Layout layout, List<LayoutCompleteness.RequestedSlice> slices)
            throws OperatorErrorException {
        if (slices.size() > PageAssembler.MAX_RANGES) {
            String problem = slices.size() + " are more than " + PageAssembler.MAX_RANGES;
            throw new PageError.InvalidRequestMember("ranges", problem).toException();
        }
        List<RangeProgress> ranges =
                slices.stream()
                        .sorted(Comparator.comparing(LayoutCompleteness.RequestedSlice::keys))
                        .map(slice -> new RangeProgress(slice.keys(), slice.weight(), null))
                        .toList();
        long layoutVersion = request.layoutVersion() > 0 ? request.layoutVersion() : layout.version;
        return createPagedQuery(request, layout, ranges, layoutVersion, slices);
    }

    private PagedQuery startNextPage(ClientRequest request, Layout layout)
            throws OperatorErrorException {
        List<RangeProgress> ranges =
                cursorCodec
                        .decode(
                                request.pageRequest().cursor(),
                                queryDigest(request),
                                new LayoutLineage(layout))
                        .ranges();
        return createPagedQuery(
                request, layout, ranges, layout.version, requestedSlices(layout, ranges));
    }

    private PagedQuery createPagedQuery(
            ClientRequest request,
            Layout layout,
            List<RangeProgress> ranges,
            long layoutVersion,
            List<LayoutCompleteness.RequestedSlice> slices)
            throws OperatorErrorException {
        PageRequest page = request.pageRequest();
        PageAssembler assembler =
                new PageAssembler(
                        page.order(),
                        page.size(),
                        ranges,
                        rowDistributions.computeIfAbsent(
                                request.queryClass(), key -> new RowDistribution()));
        return new PagedQuery(
                assembler,
                assembler.initialFetches(new LayoutLineage(layout)),
                layout.version,
                layoutVersion,
                slices,
                request.payload());
    }

    private static UnroutableQueryException.Reason rejectionReason(OperatorError error) {
        if (error instanceof PageError.LayoutNoLongerKept) {
            return UnroutableQueryException.Reason.LAYOUT_EXPIRED;
        }
        return error instanceof PageError.LayoutNotYetKnown
                ? UnroutableQueryException.Reason.LAYOUT_UNKNOWN
                : UnroutableQueryException.Reason.UNKNOWN_SLICE;
    }

    private static long queryDigest(ClientRequest request) {
        return QueryDigest.of(
                request.queryClass(),
                request.tenant(),
                request.payload(),
                request.pageRequest().order());
    }

    /** Splits the ranges along the slices in force, with weights that add up to 1. */
    private static List<LayoutCompleteness.RequestedSlice> requestedSlices(
            Layout layout, List<RangeProgress> ranges) {
        double totalWeight = ranges.stream().mapToDouble(RangeProgress::weight).sum();
        List<LayoutCompleteness.RequestedSlice> requested = new ArrayList<>();
        for (RangeProgress progress : ranges) {
            double weight = totalWeight > 0 ? progress.weight() / totalWeight : 1.0 / ranges.size();
            for (Slice slice : layout.overlapping(progress.range())) {
                KeyRange keys = slice.keys().intersection(progress.range());
                double sliceWeight = weight * progress.range().overlapFraction(keys);
                requested.add(
                        new LayoutCompleteness.RequestedSlice(
                                slice.number(), keys, sliceWeight, null));
            }
        }
        return requested;
    }

    /**
     * Returns the ranges of follow-up fetches, weighted by the number of rows that they request.
     */
    static List<LayoutCompleteness.RequestedSlice> followUpRanges(
            Layout layout, List<RowFetch> fetches) {
        return requestedSlices(
                layout,
                fetches.stream()
                        .map(fetch -> new RangeProgress(fetch.range(), fetch.maxRows(), null))
                        .toList());
    }

    /** Runs further queries that fetch rows still missing from a page after the first answers. */
    interface FollowUpFetcher {
        /**
         * Runs a query for these missing rows to its end; returns empty if the retry budget or the
         * deadline does not allow another query.
         */
        Optional<PagedQuery> fetch(List<RowFetch> fetches) throws InterruptedException;
    }

    /** Completes the page of an answered query, with follow-up queries if rows are missing. */
    QueryAction completePage(
            InFlightQuery query, QueryAction.Answer answer, FollowUpFetcher followUp)
            throws InterruptedException {
        PagedQuery first = query.pagedQuery();
        List<RowFetch> missing = first.addRowsOf(first);
        for (int round = 0; round < MAX_FOLLOW_UP_ROUNDS && !missing.isEmpty(); round++) {
            Optional<PagedQuery> fetched = followUp.fetch(missing);
            if (fetched.isEmpty()) {
                break;
            }
            missing = first.addRowsOf(fetched.get());
        }
        try {
            PageResult page = first.finish(cursorCodec, queryDigest(query.request()));
            return new QueryAction.Answer(
                    answer.complete(), answer.values(), answer.layoutVersion(), page);
        } catch (OperatorErrorException e) {
            return new QueryAction.RejectWithReason(e.error());
        }
    }
}
