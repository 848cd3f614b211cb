package postbeam.shared;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of the whole fleet by key (a member's queries, further leaf calls), each router's own
 * entries merged by taking the newest, and a limit for each key and bucket that holds whoever hears
 * whom: every router has an even share of it, and may give up some of that before it counts, for
 * good, to the others, each of whom may use an even part of what it heard to be given up. What is
 * not heard counts as the full even share (docs/together.md, Counts).
 *
 * <p>A bucket is a number all routers can tell alike; two that name the same time by different
 * numbers still keep the limit of each number.
 */
public class Counts {
    /** Buckets kept, this one and those before: late news of older ones is dropped. */
    static final int BUCKETS = 4;

    /**
     * Keys for which entries are kept; a router's own beyond these are held to its even share and
     * told to nobody.
     */
    static final int KEYS_MOST = 256;

    /** Entries in one message, some 100 bytes each. */
    static final int TOLD_MOST = 256;

    private static final class Own {
        double count;
        double most;
        long version;
    }

    private record Slot(String key, long bucket) {}

    private final Who self;
    private final List<String> fleet;
    private final int shares;
    private final long from;

    /** By slot and name: the newest entry of that name's newest run. */
    private final Map<Slot, Map<String, CountEntry>> heard = new LinkedHashMap<>();

    private final Map<Slot, Own> own = new LinkedHashMap<>();
    private long newest;

    /** Where the next message goes on, so that all entries are told in turn. */
    private int toldTo;

    /**
     * Shares are what a limit is divided by: at least as many as are named. Counts nothing in the
     * bucket of its start and the next: an earlier run of its name may have counted in the one and
     * given up its share of the other.
     */
    public Counts(Who self, List<String> fleet, int shares, long bucket) {
        this.self = self;
        this.from = bucket + 2;
        this.newest = bucket;
        this.fleet = fleet;
        this.shares = Math.max(shares, fleet.size());
    }

    // ---- own

    /**
     * Counts so much and is true, if this router may in this bucket under a limit for the whole
     * fleet.
     */
    public boolean count(String key, long bucket, double amount, double limit) {
        forget(bucket);
        Slot slot = new Slot(key, bucket);
        if (bucket <= newest - BUCKETS || !mayCount(bucket)) {
            return false;
        }
        Own mine = own.get(slot);
        if (mine == null) {
            if (own.size() >= KEYS_MOST * BUCKETS) {
                return false;
            }
            mine = own(slot, limit / shares);
        }
        if (mine.count + amount > mine.most + given(slot, limit)) {
            return false;
        }
        mine.count += amount;
        mine.version++;
        return true;
    }

    /**
     * Gives up, for good, this router's share of a bucket, at most the next, but so much, or but
     * what it has counted.
     */
    public void keep(String key, long bucket, double most, double limit) {
        Slot slot = new Slot(key, bucket);
        if (bucket > newest + 1
                || bucket <= newest - BUCKETS
                || !own.containsKey(slot) && own.size() >= KEYS_MOST * BUCKETS) {
            return;
        }
        Own mine = own.containsKey(slot) ? own.get(slot) : own(slot, limit / shares);
        mine.most = Math.min(mine.most, Math.max(most, mine.count));
        mine.version++;
    }

    protected boolean mayCount(long bucket) {
        return bucket >= from;
    }

    private Own own(Slot slot, double most) {
        Own mine = new Own();
        mine.most = most;
        own.put(slot, mine);
        return mine;
    }

    /**
     * What others gave up and this router may use of it: each of the others has an even part of
     * each.
     */
    private double given(Slot slot, double limit) {
        Map<String, CountEntry> entries = heard.getOrDefault(slot, Map.of());
        double sum = 0;
        for (String name : fleet) {
            sum +=
                    name.equals(self.name())
                            ? 0
                            : gaveUp(entries.get(name), limit / shares) / Math.max(1, shares - 1);
        }
        return sum;
    }

    /** Who was not heard of has its full even share. */
    protected double gaveUp(CountEntry entry, double even) {
        return entry == null ? 0 : Math.max(0, even - entry.most());
    }

    /** How much this router may count in a bucket in all, as far as it has heard. */
    public double share(String key, long bucket, double limit) {
        Slot slot = new Slot(key, bucket);
        return bucket < from
                ? 0
                : (own.containsKey(slot) ? own.get(slot).most : limit / shares)
                        + given(slot, limit);
    }

    // ---- of the fleet

    /** What all are known to have counted. */
    public double atLeast(String key, long bucket) {
        Slot slot = new Slot(key, bucket);
        return (own.containsKey(slot) ? own.get(slot).count : 0)
                + heard.getOrDefault(slot, Map.of()).values().stream()
                        .mapToDouble(CountEntry::count)
                        .sum();
    }

    // ---- what travels

    /**
     * Takes over what is newer: what is known, old, of a stranger or of an earlier run changes
     * nothing.
     */
    public void heard(List<CountEntry> entries) {
        for (CountEntry entry : entries) {
            if (fleet.contains(entry.who().name())
                    && !entry.who().name().equals(self.name())
                    && entry.bucket() > newest - BUCKETS
                    && entry.bucket() <= newest + 1) {
                Slot slot = new Slot(entry.key(), entry.bucket());
                if (heard.containsKey(slot) || heard.size() < KEYS_MOST * BUCKETS) {
                    heard.computeIfAbsent(slot, key -> new TreeMap<>())
                            .merge(entry.who().name(), entry, this::newer);
                }
            }
        }
    }

    protected CountEntry newer(CountEntry known, CountEntry next) {
        int byRun = Long.compare(next.who().incarnation(), known.who().incarnation());
        return byRun > 0 || byRun == 0 && next.version() > known.version() ? next : known;
    }

    /** A bucket has begun: those long past are forgotten. */
    public void begun(long bucket) {
        forget(bucket);
    }

    /** The next entries to tell, own ones first, then others' in turn. */
    public List<CountEntry> tell() {
        List<CountEntry> all = new ArrayList<>();
        own.forEach(
                (slot, mine) ->
                        all.add(
                                new CountEntry(
                                        self,
                                        slot.key(),
                                        slot.bucket(),
                                        mine.version,
                                        mine.count,
                                        mine.most)));
        List<CountEntry> others =
                heard.values().stream().flatMap(entries -> entries.values().stream()).toList();
        while (all.size() > TOLD_MOST) {
            all.remove(0);
        }
        for (int i = 0; i < others.size() && all.size() < TOLD_MOST; i++) {
            toldTo = (toldTo + 1) % others.size();
            all.add(others.get(toldTo));
        }
        return all;
    }

    private void forget(long bucket) {
        if (bucket > newest) {
            newest = bucket;
            own.keySet().removeIf(slot -> slot.bucket() <= newest - BUCKETS);
            heard.keySet().removeIf(slot -> slot.bucket() <= newest - BUCKETS);
        }
    }

    /** Entries held; at most {@code KEYS_MOST * BUCKETS} for each router. */
    public int size() {
        return own.size() + heard.values().stream().mapToInt(Map::size).sum();
    }
}
