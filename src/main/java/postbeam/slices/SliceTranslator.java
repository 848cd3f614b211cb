package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.model.CompletenessRule;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;

/**
 * A router's view of the layout: which version it uses, how queries map onto its slices, and what
 * happens to queries in flight when it changes. The routing policy works on shard requests and
 * replica lists, as it does without a layout. Not thread-safe: its owner calls it under the
 * policy's lock.
 */
public class SliceTranslator {
    /**
     * How long a node that reported that it does not hold a slice gets no calls for it. The next
     * layout version usually arrives sooner and clears the exclusion. A node whose report was
     * wrong, for example after a restart, is used again after this time.
     */
    public static final Duration EXCLUSION_TIME = Duration.ofMillis(500);

    /** The maximum number of shard requests that a query may be translated into. */
    private static final int MAX_SHARD_REQUESTS = 2048;

    /** The version number that stands for the current layout in a client's query. */
    private static final long CURRENT_VERSION = 0;

    private final LayoutReplicaPlacement placement = new LayoutReplicaPlacement();
    private Layout currentLayout;
    private long rejectedLayouts;

    /** Null if layouts are used without a lease. */
    private Duration leaseDuration;

    private Duration leaseEnd;

    // ---- the layout

    /** The replicas of each slice by the current layout. */
    public LayoutReplicaPlacement placement() {
        return placement;
    }

    /** The current layout; null before the first update. */
    public final Layout currentLayout() {
        return currentLayout;
    }

    /** The number of layouts that were rejected because their version was older. */
    public final long rejectedLayouts() {
        return rejectedLayouts;
    }

    /**
     * Adopts a layout unless it is older than the current one. An older layout, from a late
     * response or a layout service that was restored from an older state, would direct calls to
     * nodes that are fenced for them. If operators start again from an older journal, routers must
     * be restarted.
     *
     * @return whether the layout was adopted
     */
    public final boolean onUpdate(Layout next) {
        if (!isSuccessor(currentLayout, next)) {
            rejectedLayouts += currentLayout.version == next.version ? 0 : 1;
            return false;
        }
        currentLayout = next;
        placement.setLayout(next);
        return true;
    }

    /**
     * Whether a layout may replace the current one.
     *
     * @param current null before the first update
     */
    protected boolean isSuccessor(Layout current, Layout next) {
        return current == null || next.version > current.version;
    }

    /**
     * Limits how long after its request a layout may be used for queries that are not idempotent.
     * Such queries are rejected until the first {@link #renewLease}.
     */
    public final void setLeaseDuration(Duration duration) {
        leaseDuration = duration;
        leaseEnd = Duration.ZERO;
    }

    /**
     * Renews the lease, after the layout service confirmed the current layout.
     *
     * @param requestedAt when the request to the layout service was sent
     */
    public final void renewLease(Duration requestedAt) {
        if (leaseDuration == null) {
            return;
        }
        Duration end = requestedAt.plus(leaseDuration);
        if (leaseEnd.compareTo(end) < 0) {
            leaseEnd = end;
        }
    }

    // ---- translation of a new query

    /**
     * Creates the shard requests of a query: translates the slices that the client names by a
     * layout version it knows to slices of the current layout.
     *
     * @param version the client's layout version; 0 for the current one
     * @throws UnroutableQueryException if the slices can't be translated; the query has no shard
     *     requests then
     */
    public final void assignShardRequests(Query query, long version, List<SliceRequest> requests)
            throws UnroutableQueryException {
        boolean current = version == CURRENT_VERSION && currentLayout != null;
        assignKeys(
                query, current ? currentLayout.version : version, resolveSlices(version, requests));
    }

    /**
     * Looks up the keys of the slices that a client names by a layout version it knows.
     *
     * @param version the client's layout version; 0 for the current one
     * @throws UnroutableQueryException if the version or a slice is unknown
     */
    public final List<LayoutCompleteness.RequestedSlice> resolveSlices(
            long version, List<SliceRequest> requests) throws UnroutableQueryException {
        if (currentLayout == null) {
            throw new UnroutableQueryException(
                    UnroutableQueryException.Reason.LAYOUT_UNKNOWN, "no layout is known yet");
        }
        long namedVersion = version == CURRENT_VERSION ? currentLayout.version : version;
        if (namedVersion > currentLayout.version) {
            throw new UnroutableQueryException(
                    UnroutableQueryException.Reason.LAYOUT_UNKNOWN,
                    "layout "
                            + namedVersion
                            + " is not known yet; "
                            + currentLayout.version
                            + " is");
        }
        if (namedVersion < currentLayout.oldestVersion) {
            throw new UnroutableQueryException(
                    UnroutableQueryException.Reason.LAYOUT_EXPIRED,
                    "layout "
                            + namedVersion
                            + " is no longer kept; "
                            + currentLayout.version
                            + " is in force");
        }
        List<LayoutCompleteness.RequestedSlice> resolved = new ArrayList<>();
        for (SliceRequest request : requests) {
            KeyRange keys = currentLayout.keysOf(request.slice(), namedVersion);
            if (keys == null) {
                throw new UnroutableQueryException(
                        UnroutableQueryException.Reason.UNKNOWN_SLICE,
                        "layout " + namedVersion + " has no slice " + request.slice());
            }
            resolved.add(
                    new LayoutCompleteness.RequestedSlice(
                            request.slice(), keys, request.weight(), request.estimatedWork()));
        }
        return resolved;
    }

    /**
     * Creates the shard requests of a query for resolved slices, whose keys don't overlap.
     *
     * @param version the layout version by which the client names the slices
     * @throws UnroutableQueryException if there would be too many shard requests, or the layout's
     *     lease is over
     */
    public final void assignKeys(
            Query query, long version, List<LayoutCompleteness.RequestedSlice> requested)
            throws UnroutableQueryException {
        requireLease(query);
        List<Fragment> unmerged = new ArrayList<>();
        requested.forEach(slice -> unmerged.addAll(Fragment.split(currentLayout, slice.keys())));
        List<Fragment> fragments = Fragment.merged(unmerged);
        if (fragments.size() > MAX_SHARD_REQUESTS) {
            throw new UnroutableQueryException(
                    UnroutableQueryException.Reason.UNKNOWN_SLICE,
                    "the query would take " + fragments.size() + " parts");
        }
        boolean unchanged =
                fragments.size() == requested.size()
                        && requested.stream().allMatch(this::isInForce);
        LayoutCompleteness completeness =
                new LayoutCompleteness(version, requested, this::currentLayout, !unchanged);
        query.setCompletenessRule(completenessRule(completeness));
        fragments.forEach(fragment -> newRequest(query, completeness, fragment));
    }

    /**
     * Rejects a query that is not idempotent if the lease is over: it must not run by a layout that
     * may be out of date.
     */
    private void requireLease(Query query) throws UnroutableQueryException {
        if (leaseDuration != null
                && query.queryClass().sideEffects == SideEffects.NON_IDEMPOTENT
                && query.arrivedAt.compareTo(leaseEnd) >= 0) {
            throw new UnroutableQueryException(
                    UnroutableQueryException.Reason.LAYOUT_UNKNOWN,
                    "the lease of layout " + currentLayout.version + " is over");
        }
    }

    private boolean isInForce(LayoutCompleteness.RequestedSlice requested) {
        Slice slice = currentLayout.slice(requested.slice());
        return slice != null && slice.keys().equals(requested.keys());
    }

    private static KeyRangeRequest newRequest(
            Query query, LayoutCompleteness completeness, Fragment fragment) {
        return new KeyRangeRequest(
                query,
                fragment.slice(),
                fragment.keys(),
                completeness.weightOf(fragment.keys()),
                completeness.estimatedWorkOf(fragment.keys()));
    }

    /**
     * The rule that computes the completeness of a query's answer from the weights of its shard
     * requests.
     */
    protected CompletenessRule completenessRule(LayoutCompleteness completeness) {
        return completeness;
    }

    /** The completeness of a query whose shard requests this translator created. */
    public LayoutCompleteness completenessOf(Query query) {
        return (LayoutCompleteness) query.completenessRule();
    }

    // ---- queries in flight

    /** Excludes a node that reported that it does not hold the slice of a shard request. */
    public final void excludeReplica(ShardRequest request, DataNode node) {
        placement.exclude(request.shard, node);
    }

    /** Lets a node get calls for the slice again. */
    public final void readmitReplica(int slice, DataNode node) {
        placement.readmit(slice, node);
    }

    /**
     * Replaces the shard requests of a query in flight whose slices the current layout does not
     * have, unless they are answered or have an attempt in flight. A request with an attempt in
     * flight stays as it was sent: the answer covers its keys, whichever slices they belong to now.
     *
     * @return whether any shard request was replaced
     */
    public final boolean remapStaleRequests(Query query) {
        List<KeyRangeRequest> stale = staleRequests(query);
        if (stale.isEmpty()) {
            return false;
        }
        query.removeShardRequests(stale);
        LayoutCompleteness completeness = completenessOf(query);
        // Open requests without attempts are merged if they are adjacent in one slice; the others
        // stay separate, so that each keeps its own attempts.
        List<Fragment> notAttempted = new ArrayList<>();
        Map<KeyRangeRequest, List<Fragment>> attempted = new LinkedHashMap<>();
        for (KeyRangeRequest request : stale) {
            List<Fragment> fragments = Fragment.split(currentLayout, request.keys);
            if (request.attempts.isEmpty() && !request.isClosed()) {
                notAttempted.addAll(fragments);
            } else {
                attempted.put(request, fragments);
            }
        }
        Fragment.merged(notAttempted)
                .forEach(fragment -> newRequest(query, completeness, fragment));
        attempted.forEach(
                (request, fragments) ->
                        fragments.forEach(
                                fragment ->
                                        inherit(
                                                newRequest(query, completeness, fragment),
                                                request)));
        completeness.onRemapped();
        return true;
    }

    private List<KeyRangeRequest> staleRequests(Query query) {
        List<KeyRangeRequest> stale = new ArrayList<>();
        for (ShardRequest request : query.shardRequests) {
            if (!request.isAnswered()
                    && request.attemptsInFlight.isEmpty()
                    && currentLayout.slice(request.shard) == null) {
                stale.add((KeyRangeRequest) request);
            }
        }
        return stale;
    }

    /**
     * Copies to a successor the attempts of the replaced request, the time since when one of them
     * may have executed, and whether further attempts are ruled out. What may have executed for the
     * replaced request may have executed for its successor, so retry rules and budgets must hold
     * across a split or merge.
     */
    protected void inherit(KeyRangeRequest successor, ShardRequest replaced) {
        successor.inherit(replaced);
    }
}
