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
 * Creates the policy's queries from client requests. Guarded by the lock of {@link PolicyExecutor},
 * except for {@link #startPage}.
 */
final class QueryFactory {
    private final Map<String, QueryClass> queryClasses;
    private final Map<String, Tenant> tenants;

    /** Resolves slices by the layout in force; null if shards have fixed replicas. */
    private final SliceTranslator slicing;

    /** Service that answers page requests; null if pages are disabled. */
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

    /** The layout in force and the slices of a request, resolved by it. */
    record ResolvedSlices(Layout layout, List<LayoutCompleteness.RequestedSlice> slices) {}

    /**
     * Resolves the slices that a page request names; the result is empty if it has a cursor
     * instead.
     */
    ResolvedSlices resolveSlices(ClientRequest request) throws UnroutableQueryException {
        long version = request.requestedShards().isEmpty() ? 0 : request.layoutVersion();
        List<LayoutCompleteness.RequestedSlice> slices =
                slicing.resolveSlices(version, sliceRequests(request));
        return new ResolvedSlices(slicing.currentLayout(), slices);
    }

    /** Decodes the cursor and determines what to fetch. Must be called without the lock. */
    PagedQuery startPage(ClientRequest request, ResolvedSlices resolved)
            throws UnroutableQueryException {
        return paging.startPage(
                request,
                queryClasses.get(request.queryClass()),
                resolved.layout(),
                resolved.slices());
    }

    /**
     * Creates a query. If slices move, its shard requests are added here; otherwise by {@link
     * #addShardRequests}.
     *
     * @param age time since the query's first byte arrived
     * @param page null if no page is requested
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
            slicing.assignShardRequests(query, request.layoutVersion(), sliceRequests(request));
        }
        return new InFlightQuery(request, query, conditionFactory.get(), page);
    }

    /**
     * Adds the requested shards to the query if shards have fixed replicas; otherwise does nothing.
     */
    void addShardRequests(InFlightQuery inFlight) {
        if (slicing == null) {
            for (ClientRequest.RequestedShard shard : inFlight.request().requestedShards()) {
                // The constructor adds the shard request to the query.
                new ShardRequest(
                        inFlight.query(), shard.shard(), shard.weight(), shard.estimatedWork());
            }
        }
    }

    /**
     * Creates a follow-up query for rows that the page of an answered query still needs; returns
     * empty if the retry budget or the deadline does not allow it. The follow-up has the arrival
     * time of the first query and ends within its latency objective. Its shard requests inherit the
     * attempts of the earlier queries for the same keys, so that limits on attempts and retries
     * apply to all of them together.
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

    /** Adds the attempts of an earlier query for overlapping keys to those of a shard request. */
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
