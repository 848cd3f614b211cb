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
 * A router's view of the layout: which version it uses, how a query's parts map onto its slices,
 * and what becomes of queries in flight when it changes. The routing policy sees parts and replica
 * lists as without a layout. Not thread-safe: its owner calls it under the policy's lock.
 */
public class SliceTranslator {
    /**
     * For how long a node that said it does not hold a slice gets no calls for it. The next layout
     * version mostly comes sooner and clears it; a node that was wrong about itself, as after a
     * restart, is used again after it.
     */
    public static final Duration EXCLUSION_TIME = Duration.ofMillis(500);

    /** Parts that one query may be translated into. */
    private static final int MAX_SHARD_REQUESTS = 2048;

    /** A client that names this version means the layout in force. */
    private static final long CURRENT_VERSION = 0;

    private final LayoutReplicaPlacement placement = new LayoutReplicaPlacement();
    private Layout currentLayout;
    private long rejectedLayouts;

    /** Null where layouts are held without a lease. */
    private Duration leaseDuration;

    private Duration leaseEnd;

    // ---- the layout

    /** The replicas of each slice by the layout in force. */
    public LayoutReplicaPlacement placement() {
        return placement;
    }

    /** The layout in force; null before the first. */
    public final Layout currentLayout() {
        return currentLayout;
    }

    /** How many layouts were rejected because they go back to an older version. */
    public final long rejectedLayouts() {
        return rejectedLayouts;
    }

    /**
     * Adopts a layout, unless it is older than the one in force: a layout service that was restored
     * from an older state, or a late response, would direct calls to nodes that are fenced for
     * them. Where operators begin anew from an older journal, routers must be restarted.
     *
     * @return whether the layout is in force now
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

    /** Whether a layout may follow the one in force, which is null before the first. */
    protected boolean isSuccessor(Layout current, Layout next) {
        return current == null || next.version > current.version;
    }

    /**
     * From now on a layout may be used for so long after it was requested, for queries that are not
     * idempotent.
     */
    public final void setLeaseDuration(Duration duration) {
        leaseDuration = duration;
        leaseEnd = Duration.ZERO;
    }

    /**
     * The layout service has answered a request that was sent at this time with the layout in
     * force.
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

    // ---- a query arrives

    /**
     * Gives the query its parts: what the client names by a version that it knows, cut and merged
     * to the slices in force.
     *
     * @param version 0 for the version in force
     * @throws UnroutableQueryException the slices can't be found; the query has no part then
     */
    public final void assignShardRequests(Query query, long version, List<SliceRequest> requests)
            throws UnroutableQueryException {
        boolean current = version == CURRENT_VERSION && currentLayout != null;
        assignKeys(
                query, current ? currentLayout.version : version, resolveSlices(version, requests));
    }

    /**
     * The keys of what a client names by a version that it knows.
     *
     * @param version 0 for the version in force
     * @throws UnroutableQueryException the slices can't be found
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
                    "layout " + namedVersion + " is not known yet; " + currentLayout.version + " is");
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
     * Gives the query its parts: these keys, which don't overlap, cut and merged to the slices in
     * force.
     *
     * @param version the version by which the client names the slices
     * @throws UnroutableQueryException there would be too many parts, or the layout's lease is over
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

    /** A query that is not idempotent must not run by a layout that may long have been replaced. */
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

    /** How the query's weights count. */
    protected CompletenessRule completenessRule(LayoutCompleteness completeness) {
        return completeness;
    }

    /** The slices that the query is held against. */
    public LayoutCompleteness completenessOf(Query query) {
        return (LayoutCompleteness) query.completenessRule();
    }

    // ---- while a query is in flight

    /**
     * A node has said that it does not hold the part's slice: it gets no calls for it for a while.
     */
    public final void excludeReplica(ShardRequest request, DataNode node) {
        placement.exclude(request.shard, node);
    }

    /** The node may get calls for the slice again. */
    public final void readmitReplica(int slice, DataNode node) {
        placement.readmit(slice, node);
    }

    /**
     * Replaces the parts of a query in flight whose slices are no more, and that are neither
     * answered nor being asked for, by parts of the slices in force. A part that is being asked for
     * stays as it was sent: its answer covers its keys, by whatever number they go now.
     *
     * @return whether any part was replaced
     */
    public final boolean remapStaleRequests(Query query) {
        List<KeyRangeRequest> stale = staleRequests(query);
        if (stale.isEmpty()) {
            return false;
        }
        query.removeShardRequests(stale);
        LayoutCompleteness completeness = completenessOf(query);
        // Parts that nothing was sent for are merged where they meet in one slice; the others keep
        // their own attempts.
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
        Fragment.merged(notAttempted).forEach(fragment -> newRequest(query, completeness, fragment));
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
     * What may have run for the replaced part may have run for its successor: its attempts, when
     * the first of them may have run, and that no further one is made. So retry rules and budgets
     * hold across a split or merge.
     */
    protected void inherit(KeyRangeRequest successor, ShardRequest replaced) {
        successor.inherit(replaced);
    }
}
