package postbeam.router;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.function.Supplier;
import postbeam.dispatch.ClientRequest;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;
import postbeam.model.Tenant;
import postbeam.pages.RowFetch;
import postbeam.slices.KeyRangeRequest;
import postbeam.slices.Layout;
import postbeam.slices.LayoutCompleteness;
import postbeam.slices.SliceRequest;
import postbeam.slices.SliceTranslator;
import postbeam.slices.UnroutableQueryException;

/**
 * Makes the policy's queries of clients' requests. Guarded by the lock of {@link PolicyExecutor},
 * but for {@link #startPage}.
 */
final class QueryFactory {
    private final Map<String, QueryClass> queryClasses;
    private final Map<String, Tenant> tenants;

    /** Null where shards have fixed replicas. */
    private final SliceTranslator slicing;

    /** Null where no pages are served. */
    private final PagingService paging;

    private final Supplier<Condition> conditionFactory;

    QueryFactory(
            Map<String, QueryClass> queryClasses,
            Map<String, Tenant> tenants,
            SliceTranslator slicing,
            PagingService paging,
            Supplier<Condition> conditionFactory) {
        this.queryClasses = queryClasses;
        this.tenants = tenants;
        this.slicing = slicing;
        this.paging = paging;
        this.conditionFactory = conditionFactory;
    }

    /** The layout in force and the slices that a request names, resolved by it. */
    record ResolvedSlices(Layout layout, List<LayoutCompleteness.RequestedSlice> slices) {}

    /** Resolves the slices of a request for a page; with a cursor it names none. */
    ResolvedSlices resolveSlices(ClientRequest request) throws UnroutableQueryException {
        long version = request.requestedShards().isEmpty() ? 0 : request.layoutVersion();
        List<LayoutCompleteness.RequestedSlice> slices =
                slicing.resolveSlices(version, sliceRequests(request));
        return new ResolvedSlices(slicing.currentLayout(), slices);
    }

    /** Decodes the cursor and works out what to fetch; to be called without the lock. */
    PagedQuery startPage(ClientRequest request, ResolvedSlices resolved)
            throws UnroutableQueryException {
        return paging.startPage(
                request,
                queryClasses.get(request.queryClass()),
                resolved.layout(),
                resolved.slices());
    }

    /**
     * A query that arrived so long ago. Where slices move, its shard requests are assigned; else
     * {@link #addShardRequests} does so.
     *
     * @param page null where no page is requested
     * @throws UnroutableQueryException if its slices can't be resolved
     */
    InFlightQuery create(ClientRequest request, Duration now, Duration age, PagedQuery page)
            throws UnroutableQueryException {
        Query query =
                new Query(
                        queryClasses.get(request.queryClass()),
                        tenants.get(request.tenant()),
                        now,
                        now.plus(request.timeout()).minus(age));
        if (request.clientRetry()) {
            query.markClientRetry();
        }
        if (page != null) {
            slicing.assignKeys(query, page.layoutVersion(), page.requestedSlices());
        } else if (slicing != null) {
            slicing.assignParts(query, request.layoutVersion(), sliceRequests(request));
        }
        return new InFlightQuery(request, query, conditionFactory.get(), page);
    }

    /** Adds the requested shards to a query where shards have fixed replicas. */
    void addShardRequests(InFlightQuery inFlight) {
        if (slicing == null) {
            for (ClientRequest.RequestedShard shard : inFlight.request().requestedShards()) {
                // Registers itself with the query.
                new ShardRequest(
                        inFlight.query(), shard.shard(), shard.weight(), shard.estimatedWork());
            }
        }
    }

    /**
     * A query for the rows that the page of an answered query lacks; empty where the retry budget
     * or the deadline does not allow it. It arrived when the first did, ends within the latency
     * objective, and its shard requests inherit the attempts of the earlier queries for the same
     * keys, so that limits on attempts and on retries count across all of them.
     */
    Optional<InFlightQuery> createFollowUp(
            InFlightQuery first, ClientRequest request, Duration now, List<RowFetch> fetches) {
        Query firstQuery = first.query();
        Duration deadline = paging.followUpDeadline(now, firstQuery);
        if (deadline.compareTo(now) <= 0) {
            return Optional.empty();
        }
        Query query =
                new Query(
                        firstQuery.queryClass(), firstQuery.tenant, firstQuery.arrivedAt, deadline);
        query.setFirstRequestedAt(firstQuery.firstRequestedAt());
        Layout layout = slicing.currentLayout();
        PagedQuery page =
                first.pagedQuery()
                        .followUp(fetches, layout, PagingService.followUpRanges(layout, fetches));
        try {
            slicing.assignKeys(query, page.layoutVersion(), page.requestedSlices());
        } catch (UnroutableQueryException e) {
            return Optional.empty();
        }
        if (!paging.tryAcquireFollowUpBudget(now, query.shardRequests.size())) {
            return Optional.empty();
        }
        for (ShardRequest shardRequest : query.shardRequests) {
            inheritAttempts((KeyRangeRequest) shardRequest, firstQuery);
            first.followUps()
                    .forEach(
                            earlier ->
                                    inheritAttempts(
                                            (KeyRangeRequest) shardRequest, earlier.query()));
        }
        InFlightQuery followUp = new InFlightQuery(request, query, conditionFactory.get(), page);
        first.addFollowUp(followUp);
        return Optional.of(followUp);
    }

    private static void inheritAttempts(KeyRangeRequest followUpRequest, Query earlierQuery) {
        for (ShardRequest shardRequest : earlierQuery.shardRequests) {
            if (((KeyRangeRequest) shardRequest).keys.overlaps(followUpRequest.keys)) {
                followUpRequest.inherit(shardRequest);
            }
        }
    }

    private static List<SliceRequest> sliceRequests(ClientRequest request) {
        return request.requestedShards().stream()
                .map(
                        shard ->
                                new SliceRequest(
                                        shard.shard(), shard.weight(), shard.estimatedWork()))
                .toList();
    }
}
