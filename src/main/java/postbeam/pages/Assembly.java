package postbeam.pages;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import postbeam.slices.KeyRange;

/**
 * Makes one page. What to ask comes from {@link #first} and, as long as it names any, from {@link
 * #further}; what came is told with {@link #took}, each range of keys once a round and sound (see
 * {@link Partial#problem}); {@link #end} is the page. To be used by one thread.
 */
public class Assembly {
    /** Ranges in a cursor: more than a query usually has parts. */
    public static final int RANGES_MOST = 512;

    /**
     * Marks in a cursor: a page that misses ranges may add one, a page that misses none takes them
     * away.
     */
    public static final int MARKS_MOST = 32;

    /** Keys that were answered together, as far as is known of them. */
    private static final class Track {
        /** The range of the first round that it is of. */
        final Track root;

        final KeyRange keys;
        final List<Row> rows;

        /** The last row that was seen of it; null: none. */
        final Mark reached;

        /**
         * No row that was not seen comes before it; null: all have been seen, or it was asked again
         * since.
         */
        Mark next;

        Track(Track root, KeyRange keys, List<Row> rows, Mark reached, Mark next) {
            this.root = root == null ? this : root;
            this.keys = keys;
            this.rows = rows;
            this.reached = reached;
            this.next = next;
        }
    }

    private final Order order;
    private final Comparator<Mark> merging;
    private final int size;
    private final List<Standing> standings;
    private final Shares shares;
    private final List<Track> tracks = new ArrayList<>();
    private final List<Track> roots = new ArrayList<>();
    private List<Partial> came = new ArrayList<>();
    private List<Track> askedAgain = List.of();
    private boolean begun;
    private int fetched;

    public Assembly(Order order, int size, List<Standing> standings, Shares shares) {
        this.order = order;
        this.merging = merging(order);
        this.size = size;
        this.standings = List.copyOf(standings);
        this.shares = shares;
    }

    /** By what rows are merged. */
    protected Comparator<Mark> merging(Order by) {
        return by;
    }

    /**
     * Where keys of an answered range stand, once rows up to this mark were given; what was reached
     * beyond it has to be fetched again. Several keys of a range were asked apart where its slice
     * was cut since.
     */
    protected Mark standsAt(Standing before, KeyRange keys, Mark reached, Mark given) {
        return order.later(before.after(), given);
    }

    /** Where a range stands that the page is given without. */
    protected Mark owes(Mark before, Mark given) {
        return before;
    }

    public Order order() {
        return order;
    }

    public List<Standing> standings() {
        return standings;
    }

    // ---- what to ask

    /** What to ask first: by where ranges stand, cut along the slices in force. */
    public List<Ask> first(Lineage lineage) {
        List<Standing> cut = new ArrayList<>();
        for (Standing one : standings) {
            for (KeyRange keys : lineage.cut(one.keys())) {
                cut.add(one.within(keys));
            }
        }
        Mark furthest = null;
        for (Standing one : standings) {
            furthest = order.later(furthest, one.after());
        }
        double[] expected = shares.of(cut);
        boolean[] owing = new boolean[cut.size()];
        for (int i = 0; i < owing.length; i++) {
            Mark after = cut.get(i).after();
            owing[i] = furthest != null && (after == null || order.compare(after, furthest) < 0);
        }
        int[] rows = shares.rows(size, expected, owing);
        List<Ask> asks = new ArrayList<>();
        for (int i = 0; i < rows.length; i++) {
            asks.add(new Ask(cut.get(i).keys(), cut.get(i).after(), rows[i]));
        }
        return asks;
    }

    /**
     * The round is over: what to ask again, and only of ranges of which an unseen row can enter the
     * page. None: the page is as full as it gets.
     */
    public List<Ask> further() {
        close();
        List<Row> seen = Merge.first(merging, lists(), size, null);
        Mark last = seen.size() < size ? null : seen.get(size - 1).at();
        List<Track> wanting = new ArrayList<>();
        for (Track track : tracks) {
            if (track.next != null && (last == null || order.compare(track.next, last) < 0)) {
                wanting.add(track);
            }
        }
        double[] expected = shares.of(rootStandings());
        double among = 0;
        for (Track track : wanting) {
            among += share(track, expected);
        }
        List<Ask> asks = new ArrayList<>();
        for (Track track : wanting) {
            int between = 0;
            for (Row row : seen) {
                between += order.compare(row.at(), track.next) > 0 ? 1 : 0;
            }
            double share = share(track, expected);
            int rows =
                    shares.further(
                            between * share / Math.max(0.5, 1 - share)
                                    + (size - seen.size())
                                            * share
                                            / Math.max(among, Double.MIN_NORMAL),
                            size);
            for (Standing one : standings) {
                if (one.keys().meets(track.keys)) {
                    asks.add(
                            new Ask(
                                    one.keys().common(track.keys),
                                    order.later(one.after(), track.reached),
                                    rows));
                    // What the first of them is asked for is enough for the track.
                    rows = Math.max(1, rows / 2);
                }
            }
        }
        askedAgain = wanting;
        return asks;
    }

    private List<Standing> rootStandings() {
        List<Standing> all = new ArrayList<>();
        for (Track root : roots) {
            all.add(new Standing(root.keys, weight(root.keys), null));
        }
        return all;
    }

    private double share(Track track, double[] expected) {
        int root = roots.indexOf(track.root);
        return expected[root] * track.keys.size() / roots.get(root).keys.size();
    }

    private double weight(KeyRange keys) {
        double sum = 0;
        for (Standing one : standings) {
            sum += one.keys().meets(keys) ? one.within(keys).weight() : 0;
        }
        return sum;
    }

    private List<List<Row>> lists() {
        List<List<Row>> lists = new ArrayList<>();
        tracks.forEach(track -> lists.add(track.rows));
        return lists;
    }

    // ---- what came

    /** A part's answer in this round. */
    public void took(Partial partial) {
        came.add(partial);
        fetched += partial.rows().size();
    }

    private void close() {
        came.sort(Comparator.comparing(Partial::keys));
        if (!begun) {
            for (Partial one : came) {
                Track track =
                        new Track(null, one.keys(), one.rows(), reached(one, null), one.next());
                tracks.add(track);
                roots.add(track);
            }
            begun = true;
        } else {
            askedAgain.forEach(this::follow);
        }
        came = new ArrayList<>();
        askedAgain = List.of();
    }

    private static Mark reached(Partial partial, Mark before) {
        return partial.rows().isEmpty()
                ? before
                : partial.rows().get(partial.rows().size() - 1).at();
    }

    /** What came for a range that was asked again; its slice may have been cut or joined since. */
    private void follow(Track asked) {
        Mark unseen = asked.next;
        asked.next = null;
        long at = asked.keys.from();
        for (Partial one : came) {
            if (!one.keys().meets(asked.keys)) {
                continue;
            }
            KeyRange common = one.keys().common(asked.keys);
            if (common.from() > at) {
                tracks.add(
                        new Track(
                                asked.root,
                                new KeyRange(at, common.from()),
                                List.of(),
                                asked.reached,
                                unseen));
            }
            List<Row> rows =
                    one.rows().stream()
                            .filter(
                                    row ->
                                            row.at().key() >= common.from()
                                                    && row.at().key() < common.to())
                            .toList();
            tracks.add(
                    new Track(
                            asked.root,
                            common,
                            rows,
                            order.later(asked.reached, reached(one, asked.reached)),
                            one.next()));
            at = common.to();
        }
        if (at < asked.keys.to()) {
            tracks.add(
                    new Track(
                            asked.root,
                            new KeyRange(at, asked.keys.to()),
                            List.of(),
                            asked.reached,
                            unseen));
        }
    }

    // ---- the page

    /** No unseen row comes before it; null where none is unseen. */
    protected Mark bound() {
        Mark bound = null;
        for (Track track : tracks) {
            if (track.next != null && (bound == null || order.compare(track.next, bound) < 0)) {
                bound = track.next;
            }
        }
        return bound;
    }

    /** The page, of what has come. Nothing is to be asked after it. */
    public Page end() {
        close();
        List<Row> rows = Merge.first(merging, lists(), size, bound());
        Mark last = null;
        for (Row row : rows) {
            last = order.later(last, row.at());
        }
        List<KeyRange> missing = new ArrayList<>();
        List<Standing> next = new ArrayList<>();
        for (Standing one : standings) {
            after(one, last, missing, next);
        }
        shares.learnt(rows, rootStandings());
        boolean left = tracks.stream().anyMatch(track -> track.next != null);
        return new Page(rows, missing, fewest(next), rows.size() < size && left, fetched);
    }

    /** Where this range stands after the page, in pieces where they differ. */
    private void after(Standing one, Mark last, List<KeyRange> missing, List<Standing> next) {
        long at = one.keys().from();
        List<Standing> pieces = new ArrayList<>();
        for (Track root : roots) {
            if (!root.keys.meets(one.keys())) {
                continue;
            }
            KeyRange common = root.keys.common(one.keys());
            if (common.from() > at) {
                gone(one, new KeyRange(at, common.from()), last, missing, pieces);
            }
            if (!over(root, last)) {
                pieces.add(one.within(common).at(standsAt(one, common, root.reached, last)));
            }
            at = common.to();
        }
        if (at < one.keys().to()) {
            gone(one, new KeyRange(at, one.keys().to()), last, missing, pieces);
        }
        joined(pieces, next, one.keys().from());
    }

    private void gone(
            Standing one, KeyRange keys, Mark last, List<KeyRange> missing, List<Standing> pieces) {
        int before = missing.size() - 1;
        if (before >= 0 && missing.get(before).to() == keys.from()) {
            missing.set(before, missing.get(before).joined(keys));
        } else {
            missing.add(keys);
        }
        pieces.add(one.within(keys).at(owes(one.after(), last)));
    }

    /** All of it has been seen, and given up to this mark. */
    private boolean over(Track root, Mark last) {
        for (Track track : tracks) {
            if (track.root == root
                    && (track.next != null
                            || !track.rows.isEmpty()
                                    && (last == null
                                            || order.compare(
                                                            track.rows
                                                                    .get(track.rows.size() - 1)
                                                                    .at(),
                                                            last)
                                                    > 0))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Pieces of one range that stand alike are one again: else ranges would grow in number as
     * slices are cut.
     */
    private static void joined(List<Standing> pieces, List<Standing> next, long from) {
        for (Standing piece : pieces) {
            int last = next.size() - 1;
            Standing before = last < 0 ? null : next.get(last);
            if (before != null && before.keys().from() >= from && touchAlike(before, piece)) {
                next.set(last, joined(before, piece));
            } else {
                next.add(piece);
            }
        }
    }

    private static boolean touchAlike(Standing one, Standing other) {
        return one.keys().to() == other.keys().from() && Objects.equals(one.after(), other.after());
    }

    private static Standing joined(Standing one, Standing other) {
        return new Standing(
                one.keys().joined(other.keys()), one.weight() + other.weight(), one.after());
    }

    /**
     * Where there are too many, neighbours that stand alike are one, whatever weights they were
     * given.
     */
    private static List<Standing> fewest(List<Standing> next) {
        if (next.size() <= RANGES_MOST) {
            return next;
        }
        List<Standing> fewer = new ArrayList<>();
        joined(next, fewer, 0);
        return fewer;
    }
}
