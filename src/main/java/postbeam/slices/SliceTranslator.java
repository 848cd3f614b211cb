package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;

/**
 * What one router makes of the layout: which version it believes, how a query's parts stand in it,
 * and what becomes of open queries when it changes. Decide sees parts and replica lists as ever. To
 * be called by one thread at a time.
 */
public class SliceTranslator {
    /**
     * How long a node that said it holds a slice no more is not asked for it again: the next
     * version mostly comes sooner, and clears it; a node that was wrong about itself, as after a
     * restart, is found again after it.
     */
    public static final Duration EXCLUSION_TIME = Duration.ofMillis(500);

    /**
     * Parts that one query may become: what a page of the clients names, cut ever finer, ends
     * somewhere.
     */
    private static final int MAX_PARTS = 2048;

    private final LayoutReplicaPlacement placement = new LayoutReplicaPlacement();
    private Layout currentLayout;
    private long rejectedLayouts;

    /** Null where layouts are held without a lease. */
    private Duration setLeaseDuration;

    private Duration leaseUntil;

    public LayoutReplicaPlacement placement() {
        return placement;
    }

    /** The layout in force here; null before the first. */
    public final Layout currentLayout() {
        return currentLayout;
    }

    /** How many layouts were refused because they go back. */
    public final long rejectedLayouts() {
        return rejectedLayouts;
    }

    /**
     * Takes a layout over; false where it is none that may follow. Guards against a layout service
     * that comes back from an older state, or an old answer that comes late: a version once left is
     * fenced at its nodes, and what stood in between would be asked of nodes that hold it no more.
     * It could hurt where operators begin anew from an older log: then routers must be restarted,
     * as the operators' page says.
     */
    public final boolean onUpdate(Layout next) {
        if (!isSuccessor(currentLayout, next)) {
            rejectedLayouts += currentLayout.version == next.version ? 0 : 1;
            return false;
        }
        currentLayout = next;
        placement.layout(next);
        return true;
    }

    /** From now on a layout may be gone by for so long after it was asked for. */
    public final void setLeaseDuration(Duration span) {
        setLeaseDuration = span;
        leaseUntil = Duration.ZERO;
    }

    /** The layout in force was told in answer to a question of this time. */
    public final void renewLease(Duration askedAt) {
        if (setLeaseDuration != null && leaseUntil.compareTo(askedAt.plus(setLeaseDuration)) < 0) {
            leaseUntil = askedAt.plus(setLeaseDuration);
        }
    }

    protected boolean isSuccessor(Layout held, Layout next) {
        return held == null || next.version > held.version;
    }

    // ---- a query comes

    /**
     * Gives the query its parts: what the client names by a version that it knows (0: the one in
     * force), cut and joined to the slices in force. An Unroutable says why it can't be done, and
     * nothing has been done then.
     */
    public final void assignParts(Query query, long named, List<SliceRequest> askings)
            throws UnroutableQueryException {
        assignKeys(
                query,
                named == 0 && currentLayout != null ? currentLayout.version : named,
                resolveSlices(named, askings));
    }

    /**
     * The keys of what a client names by a version that it knows; an Unroutable says why they can't
     * be found.
     */
    public final List<LayoutCompleteness.RequestedSlice> resolveSlices(
            long named, List<SliceRequest> askings) throws UnroutableQueryException {
        if (currentLayout == null) {
            throw new UnroutableQueryException(
                    UnroutableQueryException.Reason.LAYOUT_UNKNOWN, "no layout is known yet");
        }
        long version = named == 0 ? currentLayout.version : named;
        if (version > currentLayout.version) {
            throw new UnroutableQueryException(
                    UnroutableQueryException.Reason.LAYOUT_UNKNOWN,
                    "layout " + version + " is not known yet; " + currentLayout.version + " is");
        }
        if (version < currentLayout.oldestVersion) {
            throw new UnroutableQueryException(
                    UnroutableQueryException.Reason.LAYOUT_EXPIRED,
                    "layout "
                            + version
                            + " is no longer kept; "
                            + currentLayout.version
                            + " is in force");
        }
        List<LayoutCompleteness.RequestedSlice> names = new ArrayList<>();
        for (SliceRequest asking : askings) {
            KeyRange keys = currentLayout.keysOf(asking.slice(), version);
            if (keys == null) {
                throw new UnroutableQueryException(
                        UnroutableQueryException.Reason.UNKNOWN_SLICE,
                        "layout " + version + " has no slice " + asking.slice());
            }
            names.add(
                    new LayoutCompleteness.RequestedSlice(
                            asking.slice(), keys, asking.weight(), asking.work()));
        }
        return names;
    }

    /**
     * Gives the query its parts: these keys, which are apart, cut and joined to the slices in
     * force.
     */
    public final void assignKeys(
            Query query, long version, List<LayoutCompleteness.RequestedSlice> names)
            throws UnroutableQueryException {
        // Guards what runs once against a layout long past; hurts where the layout service is away
        // for longer.
        if (setLeaseDuration != null
                && query.queryClass().sideEffects == SideEffects.NON_IDEMPOTENT
                && query.arrivedAt.compareTo(leaseUntil) >= 0) {
            throw new UnroutableQueryException(
                    UnroutableQueryException.Reason.LAYOUT_UNKNOWN,
                    "the lease of layout " + currentLayout.version + " is over");
        }
        List<Fragment> cut = new ArrayList<>();
        names.forEach(one -> cut.addAll(Fragment.split(currentLayout, one.keys())));
        List<Fragment> fragments = Fragment.merged(cut);
        if (fragments.size() > MAX_PARTS) {
            throw new UnroutableQueryException(
                    UnroutableQueryException.Reason.UNKNOWN_SLICE,
                    "the query would take " + fragments.size() + " parts");
        }
        boolean same =
                fragments.size() == names.size()
                        && names.stream()
                                .allMatch(
                                        one -> {
                                            Slice slice = currentLayout.slice(one.slice());
                                            return slice != null && slice.keys().equals(one.keys());
                                        });
        LayoutCompleteness completeness =
                new LayoutCompleteness(version, names, this::currentLayout, !same);
        query.useCompletenessRule(completenessRule(completeness));
        fragments.forEach(one -> newRequest(query, completeness, one));
    }

    private static KeyRangeRequest newRequest(
            Query query, LayoutCompleteness completeness, Fragment one) {
        return new KeyRangeRequest(
                query,
                one.slice(),
                one.keys(),
                completeness.weightOf(one.keys()),
                completeness.workOf(one.keys()));
    }

    /** How the query's weights count. */
    protected postbeam.model.CompletenessRule completenessRule(LayoutCompleteness completeness) {
        return completeness;
    }

    /** What the query is held against. */
    public LayoutCompleteness completenessOf(Query query) {
        return (LayoutCompleteness) query.completenessRule();
    }

    // ---- what has happened meanwhile

    /**
     * A node has said that it holds the part's slice no more, or not yet: it is not asked for it
     * for a while.
     */
    public final void excludeReplica(ShardRequest request, DataNode node) {
        placement.left(request.shard, node);
    }

    public final void readmitReplica(int slice, DataNode node) {
        placement.readmit(slice, node);
    }

    /**
     * Turns the parts of an open query that are neither merged nor out, and whose slices are no
     * more, into parts of the slices in force. What is out stays as it was sent: its answer covers
     * its keys, whatever they are called by now. True where anything was turned.
     */
    public final boolean remapStaleParts(Query query) {
        List<KeyRangeRequest> stale = new ArrayList<>();
        for (ShardRequest request : query.shardRequests) {
            if (!request.isAnswered()
                    && request.attemptsInFlight.isEmpty()
                    && currentLayout.slice(request.shard) == null) {
                stale.add((KeyRangeRequest) request);
            }
        }
        if (stale.isEmpty()) {
            return false;
        }
        query.removeShardRequests(stale);
        LayoutCompleteness completeness = completenessOf(query);
        // Those that nothing was sent for are joined where they meet in one slice; the others keep
        // their own past.
        List<Fragment> fresh = new ArrayList<>();
        Map<ShardRequest, List<Fragment>> touched = new LinkedHashMap<>();
        for (KeyRangeRequest old : stale) {
            List<Fragment> cut = Fragment.split(currentLayout, old.keys);
            if (old.attempts.isEmpty() && !old.isClosed()) {
                fresh.addAll(cut);
            } else {
                touched.put(old, cut);
            }
        }
        Fragment.merged(fresh).forEach(one -> newRequest(query, completeness, one));
        touched.forEach(
                (old, cut) ->
                        cut.forEach(one -> inherit(newRequest(query, completeness, one), old)));
        completeness.recut();
        return true;
    }

    /**
     * What may have run for the old part may have run for the new: leaf calls, the time of the
     * first that may have run, and that no further one is taken. Guards rule 2 and the budget
     * across a re-cut, whichever way it went: a slice split or joined keeps what its keys have been
     * through.
     */
    protected void inherit(KeyRangeRequest young, ShardRequest old) {
        young.inherit(old);
    }
}
