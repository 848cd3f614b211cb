package postbeam.coordination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of the whole fleet by key (a tenant's queries, retries), merged by taking each router's
 * newest entry, and a limit for each key and bucket that holds whoever hears whom: every router has
 * an even share of the limit, and may yield some of it, for good, to the others, each of whom may
 * use an even part of what it received. A router that is not heard of counts with its full share
 * (docs/together.md, Counts).
 *
 * <p>A bucket is a number which all routers give to a span of time; two that number one time
 * differently still keep the limit of each number. Not thread-safe.
 */
public class QuotaCounters {
    /** The newest bucket and those before; late entries of older ones are ignored. */
    static final int BUCKETS_KEPT = 4;

    /** A router's own keys beyond these keep to its even share and are not sent. */
    static final int MAX_KEYS = 256;

    /** Some 100 bytes each. */
    static final int MAX_ENTRIES_PER_MESSAGE = 256;

    private static final int MAX_COUNTERS = MAX_KEYS * BUCKETS_KEPT;

    private static final class LocalCounter {
        double count;
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
    private final long firstBucket;

    /** By counter and router: the newest entry of that router's newest run. */
    private final Map<CounterKey, Map<String, QuotaCounterEntry>> remoteEntries = new LinkedHashMap<>();

    private final Map<CounterKey, LocalCounter> local = new LinkedHashMap<>();
    private long newestBucket;

    /** Of the others' entries, the last one sent: all are sent in turn. */
    private int gossipCursor;

    /**
     * Starts without counts. It counts nothing in this bucket and the next: an earlier run of this
     * router may have counted in the one and yielded its share of the other.
     *
     * @param members all configured routers by name, this one among them
     * @param maxRouters what a limit is divided by, at least as many as there are members
     */
    public QuotaCounters(ProcessIdentity self, List<String> members, int maxRouters, long bucket) {
        this.self = self;
        this.firstBucket = bucket + 2;
        this.newestBucket = bucket;
        this.members = members;
        this.maxRouters = Math.max(maxRouters, members.size());
    }

    // ---- this router's counts

    /** Counts so much if this router may in this bucket, under a limit for the whole fleet. */
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

    /** Yields, for good, this router's share of a bucket beyond the cap or what it has counted. */
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
     * Whether no earlier run of this router can have counted in the bucket or yielded its share.
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

    /** What others yielded and this router may use: of each router an even part. */
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

    /** What a router yielded of its even share; nothing where it is not heard of. */
    protected double yielded(QuotaCounterEntry entry, double evenShare) {
        return entry == null ? 0 : Math.max(0, evenShare - entry.cap());
    }

    /** How much this router may count in a bucket in all, as far as it has heard. */
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

    /** What all routers are known to have counted, at least. */
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

    /** Takes over newer entries; those known, old, of strangers or of earlier runs are ignored. */
    public void merge(List<QuotaCounterEntry> entries) {
        for (QuotaCounterEntry entry : entries) {
            if (isAccepted(entry)) {
                remoteEntries.computeIfAbsent(
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
        return fromOther && recent && (remoteEntries.containsKey(key) || remoteEntries.size() < MAX_COUNTERS);
    }

    /** The one of two entries that counts. */
    protected QuotaCounterEntry newer(QuotaCounterEntry known, QuotaCounterEntry next) {
        int byIncarnation = Long.compare(next.process().incarnation(), known.process().incarnation());
        boolean isNewer = byIncarnation == 0 ? next.version() > known.version() : byIncarnation > 0;
        return isNewer ? next : known;
    }

    /** A bucket has begun: those long past are forgotten. */
    public void startBucket(long bucket) {
        if (bucket > newestBucket) {
            newestBucket = bucket;
            local.keySet().removeIf(key -> isOld(key.bucket()));
            remoteEntries.keySet().removeIf(key -> isOld(key.bucket()));
        }
    }

    /** The entries of the next message: the own ones, then others' in turn. */
    public List<QuotaCounterEntry> entriesToSend() {
        List<QuotaCounterEntry> entries = new ArrayList<>();
        local.forEach((key, counter) -> entries.add(entry(key, counter)));
        List<QuotaCounterEntry> others =
                remoteEntries.values().stream().flatMap(byRouter -> byRouter.values().stream()).toList();
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

    /** How many entries are kept; at most {@code MAX_COUNTERS} for each router. */
    public int size() {
        return local.size() + remoteEntries.values().stream().mapToInt(Map::size).sum();
    }
}
