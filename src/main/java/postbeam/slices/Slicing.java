package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.state.DataNode;
import postbeam.state.Effect;
import postbeam.state.Part;
import postbeam.state.Query;

/**
 * What one router makes of the layout: which version it believes, how a query's parts stand in it,
 * and what becomes of open queries when it changes. Decide sees parts and replica lists as ever. To
 * be called by one thread at a time.
 */
public class Slicing {
    /**
     * How long a node that said it holds a slice no more is not asked for it again: the next
     * version mostly comes sooner, and clears it; a node that was wrong about itself, as after a
     * restart, is found again after it.
     */
    public static final Duration LEFT_FOR = Duration.ofMillis(500);

    /**
     * Parts that one query may become: what a page of the clients names, cut ever finer, ends
     * somewhere.
     */
    private static final int PARTS_MOST = 2048;

    private final LayoutHolders holders = new LayoutHolders();
    private Layout held;
    private long refused;

    /** Null where layouts are held without a lease. */
    private Duration lease;

    private Duration leaseUntil;

    public LayoutHolders holders() {
        return holders;
    }

    /** The layout in force here; null before the first. */
    public final Layout held() {
        return held;
    }

    /** How many layouts were refused because they go back. */
    public final long refused() {
        return refused;
    }

    /**
     * Takes a layout over; false where it is none that may follow. Guards against a layout service
     * that comes back from an older state, or an old answer that comes late: a version once left is
     * fenced at its nodes, and what stood in between would be asked of nodes that hold it no more.
     * It could hurt where operators begin anew from an older log: then routers must be restarted,
     * as the operators' page says.
     */
    public final boolean told(Layout next) {
        if (!follows(held, next)) {
            refused += held.version == next.version ? 0 : 1;
            return false;
        }
        held = next;
        holders.layout(next);
        return true;
    }

    /** From now on a layout may be gone by for so long after it was asked for. */
    public final void lease(Duration span) {
        lease = span;
        leaseUntil = Duration.ZERO;
    }

    /** The layout in force was told in answer to a question of this time. */
    public final void heard(Duration askedAt) {
        if (lease != null && leaseUntil.compareTo(askedAt.plus(lease)) < 0) {
            leaseUntil = askedAt.plus(lease);
        }
    }

    protected boolean follows(Layout held, Layout next) {
        return held == null || next.version > held.version;
    }

    // ---- a query comes

    /**
     * Gives the query its parts: what the client names by a version that it knows (0: the one in
     * force), cut and joined to the slices in force. An Unroutable says why it can't be done, and
     * nothing has been done then.
     */
    public final void take(Query query, long named, List<Asking> askings) throws Unroutable {
        takeKeys(query, named == 0 && held != null ? held.version : named, named(named, askings));
    }

    /**
     * The keys of what a client names by a version that it knows; an Unroutable says why they can't
     * be found.
     */
    public final List<Pin.Named> named(long named, List<Asking> askings) throws Unroutable {
        if (held == null) {
            throw new Unroutable(Unroutable.Reason.NOT_KNOWN_YET, "no layout is known yet");
        }
        long version = named == 0 ? held.version : named;
        if (version > held.version) {
            throw new Unroutable(
                    Unroutable.Reason.NOT_KNOWN_YET,
                    "layout " + version + " is not known yet; " + held.version + " is");
        }
        if (version < held.oldest) {
            throw new Unroutable(
                    Unroutable.Reason.NO_LONGER_KEPT,
                    "layout " + version + " is no longer kept; " + held.version + " is in force");
        }
        List<Pin.Named> names = new ArrayList<>();
        for (Asking asking : askings) {
            KeyRange keys = held.keysOf(asking.slice(), version);
            if (keys == null) {
                throw new Unroutable(
                        Unroutable.Reason.NO_SUCH_SLICE,
                        "layout " + version + " has no slice " + asking.slice());
            }
            names.add(new Pin.Named(asking.slice(), keys, asking.weight(), asking.work()));
        }
        return names;
    }

    /**
     * Gives the query its parts: these keys, which are apart, cut and joined to the slices in
     * force.
     */
    public final void takeKeys(Query query, long version, List<Pin.Named> names) throws Unroutable {
        // Guards what runs once against a layout long past; hurts where the layout service is away
        // for longer.
        if (lease != null
                && query.queryClass().effect == Effect.SIDE_EFFECTING
                && query.arrivedAt.compareTo(leaseUntil) >= 0) {
            throw new Unroutable(
                    Unroutable.Reason.NOT_KNOWN_YET,
                    "the lease of layout " + held.version + " is over");
        }
        List<Fragment> cut = new ArrayList<>();
        names.forEach(one -> cut.addAll(Fragment.cut(held, one.keys())));
        List<Fragment> fragments = Fragment.joined(cut);
        if (fragments.size() > PARTS_MOST) {
            throw new Unroutable(
                    Unroutable.Reason.NO_SUCH_SLICE,
                    "the query would take " + fragments.size() + " parts");
        }
        boolean same =
                fragments.size() == names.size()
                        && names.stream()
                                .allMatch(
                                        one -> {
                                            Slice slice = held.slice(one.slice());
                                            return slice != null && slice.keys().equals(one.keys());
                                        });
        Pin pin = new Pin(version, names, this::held, !same);
        query.useCompletenessRule(pin(pin));
        fragments.forEach(one -> piece(query, pin, one));
    }

    private static Piece piece(Query query, Pin pin, Fragment one) {
        return new Piece(
                query, one.slice(), one.keys(), pin.weightOf(one.keys()), pin.workOf(one.keys()));
    }

    /** How the query's weights count. */
    protected postbeam.state.Counting pin(Pin pin) {
        return pin;
    }

    /** What the query is held against. */
    public Pin pinOf(Query query) {
        return (Pin) query.completenessRule();
    }

    // ---- what has happened meanwhile

    /**
     * A node has said that it holds the part's slice no more, or not yet: it is not asked for it
     * for a while.
     */
    public final void left(Part part, DataNode node) {
        holders.left(part.shard, node);
    }

    public final void forgiven(int slice, DataNode node) {
        holders.forgiven(slice, node);
    }

    /**
     * Turns the parts of an open query that are neither merged nor out, and whose slices are no
     * more, into parts of the slices in force. What is out stays as it was sent: its answer covers
     * its keys, whatever they are called by now. True where anything was turned.
     */
    public final boolean recut(Query query) {
        List<Piece> stale = new ArrayList<>();
        for (Part part : query.parts) {
            if (!part.isAnswered() && part.out.isEmpty() && held.slice(part.shard) == null) {
                stale.add((Piece) part);
            }
        }
        if (stale.isEmpty()) {
            return false;
        }
        query.parts.removeAll(stale);
        Pin pin = pinOf(query);
        // Those that nothing was sent for are joined where they meet in one slice; the others keep
        // their own past.
        List<Fragment> fresh = new ArrayList<>();
        Map<Part, List<Fragment>> touched = new LinkedHashMap<>();
        for (Piece old : stale) {
            List<Fragment> cut = Fragment.cut(held, old.keys);
            if (old.calls.isEmpty() && !old.isClosed()) {
                fresh.addAll(cut);
            } else {
                touched.put(old, cut);
            }
        }
        Fragment.joined(fresh).forEach(one -> piece(query, pin, one));
        touched.forEach((old, cut) -> cut.forEach(one -> inherit(piece(query, pin, one), old)));
        pin.recut();
        return true;
    }

    /**
     * What may have run for the old part may have run for the new: leaf calls, the time of the
     * first that may have run, and that no further one is taken. Guards rule 2 and the budget
     * across a re-cut, whichever way it went: a slice split or joined keeps what its keys have been
     * through.
     */
    protected void inherit(Piece young, Part old) {
        young.inherit(old);
    }
}
