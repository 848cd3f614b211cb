package postbeam.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import postbeam.config.InstanceSettings;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.QueryAction;
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
import postbeam.pages.RangeProgress;
import postbeam.pages.RowDistribution;
import postbeam.pages.RowFetch;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.LayoutCompleteness;
import postbeam.slices.Slice;
import postbeam.slices.UnroutableQueryException;

/**
 * Serves pages by the decisions: opens cursors before anything is sent, asks again where it must,
 * gives the page.
 */
public final class PagingService {
    /** Rounds of further asks: what is short after them is given short. */
    private static final int MAX_FOLLOW_UP_ROUNDS = 2;

    /**
     * A round of further asks has at least this: some times the way there and back and a node's
     * usual work.
     */
    private static final Duration MIN_ROUND_TIME = Duration.ofMillis(200);

    private final CursorCodec seal;
    private final int maxRows;
    private final Map<String, RowDistribution> rowDistributions = new ConcurrentHashMap<>();
    private FollowUpFetchBudget followUpBudget;

    /**
     * The key that signs cursors and the one before it, or null; and the most rows that a page may
     * be asked for.
     */
    public PagingService(String key, String oldKey, int rowsMost) throws OperatorErrorException {
        this.seal = new CursorCodec(key, oldKey);
        this.maxRows = rowsMost;
    }

    int maxRows() {
        return maxRows;
    }

    /** The settings with rule 6's budget less what further asks take of it; to be called once. */
    InstanceSettings withReducedRetryBudget(InstanceSettings settings) {
        Double free = settings.number("obligations.spareAttempts");
        Double share = settings.number("obligations.budgetShare");
        double held = free == null ? 0 : free;
        followUpBudget =
                new FollowUpFetchBudget(
                        held,
                        share == null ? 0 : share,
                        settings.duration("obligations.extraWindow"));
        return settings.withValue(
                "obligations.spareAttempts",
                String.valueOf(held - followUpBudget.reservedAttempts()));
    }

    /**
     * When a query that asks again ends: within the SLO time, and after about as long as the page
     * took so far. Guards against a page that waits for rule 6's budget, where it could be given
     * short at once; it could hurt where nodes get slower from one round to the next.
     */
    Duration followUpDeadline(Duration now, Query first) {
        Duration until = now.plus(now.minus(first.arrivedAt)).plus(MIN_ROUND_TIME);
        until = until.compareTo(first.sloDeadline()) < 0 ? until : first.sloDeadline();
        return until.compareTo(first.deadline) < 0 ? until : first.deadline;
    }

    /** Whether a query with so many parts that asks again may begin now. */
    boolean mayStartFollowUp(Duration now, int parts) {
        return followUpBudget.tryAcquire(now, parts);
    }

    /**
     * What to ask of whom for the page; the names are the client's own where it goes on from no
     * cursor. An Unroutable says why it can't be, and nothing has been sent.
     */
    PagedQuery start(
            ClientRequest clientRequest,
            QueryClass queryClass,
            Layout held,
            List<LayoutCompleteness.RequestedSlice> named)
            throws UnroutableQueryException {
        PageRequest page = clientRequest.pageRequest();
        LayoutLineage lineage = new LayoutLineage(held);
        try {
            if (queryClass.sideEffects != SideEffects.IDEMPOTENT) {
                throw new PageError.NotIdempotent(clientRequest.queryClass()).toException();
            }
            List<RangeProgress> standings =
                    named.stream()
                            .sorted(Comparator.comparing(LayoutCompleteness.RequestedSlice::keys))
                            .map(one -> new RangeProgress(one.keys(), one.weight(), null))
                            .toList();
            List<LayoutCompleteness.RequestedSlice> names = named;
            if (page.cursor() != null) {
                standings =
                        seal.decode(page.cursor(), queryDigest(clientRequest), lineage).ranges();
                names = namedRanges(held, standings);
            } else if (standings.size() > PageAssembler.MAX_RANGES) {
                throw new PageError.InvalidRequestMember(
                                "ranges",
                                standings.size() + " are more than " + PageAssembler.MAX_RANGES)
                        .toException();
            }
            PageAssembler assembly =
                    new PageAssembler(
                            page.order(),
                            page.size(),
                            standings,
                            rowDistributions.computeIfAbsent(
                                    clientRequest.queryClass(), key -> new RowDistribution()));
            List<RowFetch> asks = assembly.initialFetches(lineage);
            boolean own = page.cursor() == null && clientRequest.layoutVersion() > 0;
            return new PagedQuery(
                    assembly,
                    asks,
                    own ? clientRequest.layoutVersion() : held.version,
                    names,
                    clientRequest.payload());
        } catch (OperatorErrorException e) {
            throw new UnroutableQueryException(
                    e.error() instanceof PageError.LayoutNoLongerKept
                            ? UnroutableQueryException.Reason.LAYOUT_EXPIRED
                            : e.error() instanceof PageError.LayoutNotYetKnown
                                    ? UnroutableQueryException.Reason.LAYOUT_UNKNOWN
                                    : UnroutableQueryException.Reason.UNKNOWN_SLICE,
                    e.getMessage());
        }
    }

    private static long queryDigest(ClientRequest clientRequest) {
        return CursorCodec.digest(
                clientRequest.queryClass(),
                clientRequest.tenant(),
                clientRequest.payload(),
                clientRequest.pageRequest().order());
    }

    /** The keys by the slices in force, with weights that add up to 1. */
    private static List<LayoutCompleteness.RequestedSlice> namedRanges(
            Layout held, List<RangeProgress> standings) {
        double all = standings.stream().mapToDouble(RangeProgress::weight).sum();
        List<LayoutCompleteness.RequestedSlice> names = new ArrayList<>();
        for (RangeProgress one : standings) {
            double weight = all > 0 ? one.weight() / all : 1.0 / standings.size();
            for (Slice slice : held.overlapping(one.range())) {
                KeyRange keys = slice.keys().intersection(one.range());
                names.add(
                        new LayoutCompleteness.RequestedSlice(
                                slice.number(),
                                keys,
                                weight * one.range().overlapFraction(keys),
                                null));
            }
        }
        return names;
    }

    /** The same for a further ask: each range by its share of the rows asked for. */
    static List<LayoutCompleteness.RequestedSlice> followUpRanges(
            Layout held, List<RowFetch> asks) {
        return namedRanges(
                held,
                asks.stream()
                        .map(ask -> new RangeProgress(ask.range(), ask.maxRows(), null))
                        .toList());
    }

    /**
     * What a further ask brings: the query it goes as, served to its end; null where none may go.
     */
    interface FollowUpFetch {
        PagedQuery fetch(List<RowFetch> asks) throws InterruptedException;
    }

    /** The page of a query that was answered. */
    QueryAction completePage(InFlightQuery q, QueryAction.Answer answer, FollowUpFetch further)
            throws InterruptedException {
        PagedQuery round = q.pagedQuery;
        List<RowFetch> asks = q.pagedQuery.nextFetches(round);
        for (int i = 0; i < MAX_FOLLOW_UP_ROUNDS && !asks.isEmpty(); i++) {
            round = further.fetch(asks);
            if (round == null) {
                break;
            }
            asks = q.pagedQuery.nextFetches(round);
        }
        try {
            PageResult page = q.pagedQuery.finish(seal, q.layoutVersion, queryDigest(q.request));
            return new QueryAction.Answer(
                    answer.complete(), answer.values(), answer.layoutVersion(), page);
        } catch (OperatorErrorException e) {
            return new QueryAction.RejectWithReason(e.error());
        }
    }
}
