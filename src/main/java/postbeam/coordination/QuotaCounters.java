package postbeam.coordination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts by key (such as a tenant's queries, or retries) for the whole fleet, and a limit on the
 * count of each key in each time bucket. The counts of all routers are merged by taking each
 * router's newest entry.
 *
 * <p>The limit holds whichever messages are lost. The limit is divided by the number of routers;
 * each router's share is the limit divided by that number. A router may permanently give up part of
 * its share: the given-up amount is divided evenly among the other routers, and each may use its
 * portion once it has received the entry. A router without a received entry is assumed to use its
 * full share (docs/together.md, Counts).
 *
 * <p>A bucket is a number that all routers assign to a span of time. If two routers assign
 * different numbers to the same time, the limit still holds for each number. Not thread-safe.
 */
public class QuotaCounters {
    /**
     * Number of buckets that are kept: the newest and those before it. Entries of older ones are
     * ignored.
     */
    static final int BUCKETS_KEPT = 4;

    /**
     * Maximum number of keys that are counted in each bucket; nothing is counted for further keys.
     */
    static final int MAX_KEYS = 256;

    /** Maximum number of entries in one message; an entry takes about 100 bytes. */
    static final int MAX_ENTRIES_PER_MESSAGE = 256;

    private static final int MAX_COUNTERS = MAX_KEYS * BUCKETS_KEPT;

    private static final class LocalCounter {
        double count;

        /**
         * The part of its share of the limit that this router keeps: the share less the amount that
         * it has given up.
         */
        double cap;

        long version;

        LocalCounter(double cap) {
            this.cap = cap;
        }
    }

    private record CounterKey(String key, long bucket) {}

    private final ProcessIdentity self;
    private final List<String> members;
    private final int maxRouters;

    /** The first bucket in which this process counts. */
    private final long firstBucket;

    /**
     * Received entries by key and bucket, then by router: the newest entry of the router's newest
     * process.
     */
    private final Map<CounterKey, Map<String, QuotaCounterEntry>> remoteEntries =
            new LinkedHashMap<>();

    private final Map<CounterKey, LocalCounter> local = new LinkedHashMap<>();
    private long newestBucket;

    /** The index of the last sent entry of another router; these entries are sent in rotation. */
    private int gossipCursor;

    /**
     * Creates counters that are empty. They count nothing in the current bucket and the next one:
     * an earlier process of this router may have counted in the current bucket and given up its
     * share of the next.
     *
     * @param members names of all configured routers, including this one
     * @param maxRouters the number that a limit is divided by; raised to the number of members
     * @param bucket the current bucket
     */
    public QuotaCounters(ProcessIdentity self, List<String> members, int maxRouters, long bucket) {
        this.self = self;
        this.firstBucket = bucket + 2;
        this.newestBucket = bucket;
        this.members = members;
        this.maxRouters = Math.max(maxRouters, members.size());
    }

    // ---- this router's counts

    /**
     * Counts the amount if this router's quota allows it.
     *
     * @param bucket the current bucket
     * @param limit of the whole fleet for the key in one bucket
     * @return whether the amount was counted
     */
    public boolean tryCount(String key, long bucket, double amount, double limit) {
        startBucket(bucket);
        CounterKey counterKey = new CounterKey(key, bucket);
        if (isOld(bucket) || !mayCount(bucket) || !hasRoomFor(counterKey)) {
            return false;
        }
        LocalCounter counter = localCounter(counterKey, limit);
        if (counter.count + amount > counter.cap + quotaYieldedByOthers(counterKey, limit)) {
            return false;
        }
        counter.count += amount;
        counter.version++;
        return true;
    }

    /**
     * Permanently limits this router's share of a bucket to the cap, or to its count if that is
     * higher, and gives up the rest to the other routers.
     */
    public void capOwnShare(String key, long bucket, double cap, double limit) {
        CounterKey counterKey = new CounterKey(key, bucket);
        if (bucket > newestBucket + 1 || isOld(bucket) || !hasRoomFor(counterKey)) {
            return;
        }
        LocalCounter counter = localCounter(counterKey, limit);
        counter.cap = Math.min(counter.cap, Math.max(cap, counter.count));
        counter.version++;
    }

    private boolean isOld(long bucket) {
        return bucket <= newestBucket - BUCKETS_KEPT;
    }

    /**
     * Whether no earlier process of this router can have counted in the bucket or given up its
     * share.
     */
    protected boolean mayCount(long bucket) {
        return bucket >= firstBucket;
    }

    private boolean hasRoomFor(CounterKey key) {
        return local.containsKey(key) || local.size() < MAX_COUNTERS;
    }

    private LocalCounter localCounter(CounterKey key, double limit) {
        return local.computeIfAbsent(key, absent -> new LocalCounter(limit / maxRouters));
    }

    /**
     * The extra quota of this router: the amounts that the other routers have given up, each
     * divided evenly among all routers but the one that gave it up.
     */
    private double quotaYieldedByOthers(CounterKey key, double limit) {
        Map<String, QuotaCounterEntry> entries = remoteEntries.getOrDefault(key, Map.of());
        double sum = 0;
        for (String member : members) {
            if (!member.equals(self.name())) {
                double yielded = yielded(entries.get(member), limit / maxRouters);
                sum += yielded / Math.max(1, maxRouters - 1);
            }
        }
        return sum;
    }

    /**
     * The part of its share of the limit that a router has given up to the others.
     *
     * @param entry null if none was received from the router, which then counts as having given up
     *     nothing
     */
    protected double yielded(QuotaCounterEntry entry, double evenShare) {
        return entry == null ? 0 : Math.max(0, evenShare - entry.cap());
    }

    /** The total that this router may count in a bucket, by the entries received so far. */
    public double quota(String key, long bucket, double limit) {
        if (bucket < firstBucket) {
            return 0;
        }
        CounterKey counterKey = new CounterKey(key, bucket);
        LocalCounter counter = local.get(counterKey);
        double own = counter == null ? limit / maxRouters : counter.cap;
        return own + quotaYieldedByOthers(counterKey, limit);
    }

    // ---- the fleet's counts

    /** A lower bound of the fleet's count: this router's count and those in received entries. */
    public double knownTotal(String key, long bucket) {
        CounterKey counterKey = new CounterKey(key, bucket);
        LocalCounter counter = local.get(counterKey);
        double own = counter == null ? 0 : counter.count;
        return own
                + remoteEntries.getOrDefault(counterKey, Map.of()).values().stream()
                        .mapToDouble(QuotaCounterEntry::count)
                        .sum();
    }

    // ---- gossip

    /**
     * Merges newer entries of other routers. Entries that are known already, of old buckets, of
     * unknown routers or of earlier processes are ignored.
     */
    public void merge(List<QuotaCounterEntry> entries) {
        for (QuotaCounterEntry entry : entries) {
            if (isAccepted(entry)) {
                remoteEntries
                        .computeIfAbsent(
                                new CounterKey(entry.key(), entry.bucket()), key -> new TreeMap<>())
                        .merge(entry.process().name(), entry, this::newer);
            }
        }
    }

    private boolean isAccepted(QuotaCounterEntry entry) {
        String router = entry.process().name();
        boolean fromOther = members.contains(router) && !router.equals(self.name());
        boolean recent = !isOld(entry.bucket()) && entry.bucket() <= newestBucket + 1;
        CounterKey key = new CounterKey(entry.key(), entry.bucket());
        return fromOther
                && recent
                && (remoteEntries.containsKey(key) || remoteEntries.size() < MAX_COUNTERS);
    }

    /** The newer of two entries of the same router, key and bucket. */
    protected QuotaCounterEntry newer(QuotaCounterEntry known, QuotaCounterEntry next) {
        int byIncarnation =
                Long.compare(next.process().incarnation(), known.process().incarnation());
        boolean isNewer = byIncarnation == 0 ? next.version() > known.version() : byIncarnation > 0;
        return isNewer ? next : known;
    }

    /** Starts a bucket and removes the counts of buckets that are no longer kept. */
    public void startBucket(long bucket) {
        if (bucket > newestBucket) {
            newestBucket = bucket;
            local.keySet().removeIf(key -> isOld(key.bucket()));
            remoteEntries.keySet().removeIf(key -> isOld(key.bucket()));
        }
    }

    /**
     * The entries of the next message: this router's own, of which the oldest are left out if there
     * are too many, then those of other routers in rotation.
     */
    public List<QuotaCounterEntry> entriesToSend() {
        List<QuotaCounterEntry> entries = new ArrayList<>();
        local.forEach((key, counter) -> entries.add(entry(key, counter)));
        List<QuotaCounterEntry> others =
                remoteEntries.values().stream()
                        .flatMap(byRouter -> byRouter.values().stream())
                        .toList();
        while (entries.size() > MAX_ENTRIES_PER_MESSAGE) {
            entries.remove(0);
        }
        for (int i = 0; i < others.size() && entries.size() < MAX_ENTRIES_PER_MESSAGE; i++) {
            gossipCursor = (gossipCursor + 1) % others.size();
            entries.add(others.get(gossipCursor));
        }
        return entries;
    }

    private QuotaCounterEntry entry(CounterKey key, LocalCounter counter) {
        return new QuotaCounterEntry(
                self, key.key(), key.bucket(), counter.version, counter.count, counter.cap);
    }

    /** Number of entries kept; at most {@code MAX_COUNTERS} for each router. */
    public int size() {
        return local.size() + remoteEntries.values().stream().mapToInt(Map::size).sum();
    }
}
