package postbeam.coordination;

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
public class QuotaCounters {
    /** Buckets kept, this one and those before: late news of older ones is dropped. */
    static final int BUCKETS_KEPT = 4;

    /**
     * Keys for which entries are kept; a router's own beyond these are held to its even share and
     * told to nobody.
     */
    static final int MAX_KEYS = 256;

    /** Entries in one message, some 100 bytes each. */
    static final int MAX_ENTRIES_PER_MESSAGE = 256;

    private static final class LocalCounter {
        double count;
        double cap;
        long version;
    }

    private record CounterKey(String key, long bucket) {}

    private final ProcessIdentity self;
    private final List<String> members;
    private final int maxRouters;
    private final long firstBucket;

    /** By slot and name: the newest entry of that name's newest run. */
    private final Map<CounterKey, Map<String, QuotaCounterEntry>> received = new LinkedHashMap<>();

    private final Map<CounterKey, LocalCounter> local = new LinkedHashMap<>();
    private long newestBucket;

    /** Where the next message goes on, so that all entries are told in turn. */
    private int gossipCursor;

    /**
     * Shares are what a limit is divided by: at least as many as are named. Counts nothing in the
     * bucket of its start and the next: an earlier run of its name may have counted in the one and
     * given up its share of the other.
     */
    public QuotaCounters(ProcessIdentity self, List<String> fleet, int shares, long bucket) {
        this.self = self;
        this.firstBucket = bucket + 2;
        this.newestBucket = bucket;
        this.members = fleet;
        this.maxRouters = Math.max(shares, fleet.size());
    }

    // ---- own

    /**
     * Counts so much and is true, if this router may in this bucket under a limit for the whole
     * fleet.
     */
    public boolean tryCount(String key, long bucket, double amount, double limit) {
        evictOld(bucket);
        CounterKey slot = new CounterKey(key, bucket);
        if (bucket <= newestBucket - BUCKETS_KEPT || !mayCount(bucket)) {
            return false;
        }
        LocalCounter mine = local.get(slot);
        if (mine == null) {
            if (local.size() >= MAX_KEYS * BUCKETS_KEPT) {
                return false;
            }
            mine = local(slot, limit / maxRouters);
        }
        if (mine.count + amount > mine.cap + receivedQuota(slot, limit)) {
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
    public void capOwnShare(String key, long bucket, double most, double limit) {
        CounterKey slot = new CounterKey(key, bucket);
        if (bucket > newestBucket + 1
                || bucket <= newestBucket - BUCKETS_KEPT
                || !local.containsKey(slot) && local.size() >= MAX_KEYS * BUCKETS_KEPT) {
            return;
        }
        LocalCounter mine =
                local.containsKey(slot) ? local.get(slot) : local(slot, limit / maxRouters);
        mine.cap = Math.min(mine.cap, Math.max(most, mine.count));
        mine.version++;
    }

    protected boolean mayCount(long bucket) {
        return bucket >= firstBucket;
    }

    private LocalCounter local(CounterKey slot, double most) {
        LocalCounter mine = new LocalCounter();
        mine.cap = most;
        local.put(slot, mine);
        return mine;
    }

    /**
     * What others gave up and this router may use of it: each of the others has an even part of
     * each.
     */
    private double receivedQuota(CounterKey slot, double limit) {
        Map<String, QuotaCounterEntry> entries = received.getOrDefault(slot, Map.of());
        double sum = 0;
        for (String name : members) {
            sum +=
                    name.equals(self.name())
                            ? 0
                            : yielded(entries.get(name), limit / maxRouters)
                                    / Math.max(1, maxRouters - 1);
        }
        return sum;
    }

    /** Who was not heard of has its full even share. */
    protected double yielded(QuotaCounterEntry entry, double even) {
        return entry == null ? 0 : Math.max(0, even - entry.cap());
    }

    /** How much this router may count in a bucket in all, as far as it has heard. */
    public double quota(String key, long bucket, double limit) {
        CounterKey slot = new CounterKey(key, bucket);
        return bucket < firstBucket
                ? 0
                : (local.containsKey(slot) ? local.get(slot).cap : limit / maxRouters)
                        + receivedQuota(slot, limit);
    }

    // ---- of the fleet

    /** What all are known to have counted. */
    public double knownTotal(String key, long bucket) {
        CounterKey slot = new CounterKey(key, bucket);
        return (local.containsKey(slot) ? local.get(slot).count : 0)
                + received.getOrDefault(slot, Map.of()).values().stream()
                        .mapToDouble(QuotaCounterEntry::count)
                        .sum();
    }

    // ---- what travels

    /**
     * Takes over what is newer: what is known, old, of a stranger or of an earlier run changes
     * nothing.
     */
    public void received(List<QuotaCounterEntry> entries) {
        for (QuotaCounterEntry entry : entries) {
            if (members.contains(entry.process().name())
                    && !entry.process().name().equals(self.name())
                    && entry.bucket() > newestBucket - BUCKETS_KEPT
                    && entry.bucket() <= newestBucket + 1) {
                CounterKey slot = new CounterKey(entry.key(), entry.bucket());
                if (received.containsKey(slot) || received.size() < MAX_KEYS * BUCKETS_KEPT) {
                    received.computeIfAbsent(slot, key -> new TreeMap<>())
                            .merge(entry.process().name(), entry, this::newer);
                }
            }
        }
    }

    protected QuotaCounterEntry newer(QuotaCounterEntry known, QuotaCounterEntry next) {
        int byRun = Long.compare(next.process().incarnation(), known.process().incarnation());
        return byRun > 0 || byRun == 0 && next.version() > known.version() ? next : known;
    }

    /** A bucket has begun: those long past are forgotten. */
    public void startBucket(long bucket) {
        evictOld(bucket);
    }

    /** The next entries to tell, own ones first, then others' in turn. */
    public List<QuotaCounterEntry> entriesToSend() {
        List<QuotaCounterEntry> all = new ArrayList<>();
        local.forEach(
                (slot, mine) ->
                        all.add(
                                new QuotaCounterEntry(
                                        self,
                                        slot.key(),
                                        slot.bucket(),
                                        mine.version,
                                        mine.count,
                                        mine.cap)));
        List<QuotaCounterEntry> others =
                received.values().stream().flatMap(entries -> entries.values().stream()).toList();
        while (all.size() > MAX_ENTRIES_PER_MESSAGE) {
            all.remove(0);
        }
        for (int i = 0; i < others.size() && all.size() < MAX_ENTRIES_PER_MESSAGE; i++) {
            gossipCursor = (gossipCursor + 1) % others.size();
            all.add(others.get(gossipCursor));
        }
        return all;
    }

    private void evictOld(long bucket) {
        if (bucket > newestBucket) {
            newestBucket = bucket;
            local.keySet().removeIf(slot -> slot.bucket() <= newestBucket - BUCKETS_KEPT);
            received.keySet().removeIf(slot -> slot.bucket() <= newestBucket - BUCKETS_KEPT);
        }
    }

    /** Entries held; at most {@code KEYS_MOST * BUCKETS} for each router. */
    public int size() {
        return local.size() + received.values().stream().mapToInt(Map::size).sum();
    }
}
