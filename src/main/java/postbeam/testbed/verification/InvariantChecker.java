package postbeam.testbed.verification;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Slice;

/**
 * Sees what clients ask and are answered and what nodes are sent and run, and checks the six rules
 * after each event. It believes no router: which keys an answer covers it reckons from the values,
 * what ran from the nodes. To be called by one thread at a time; times are spans since the start of
 * the run.
 */
public final class InvariantChecker
        implements RunObserver.ClientObserver, RunObserver.NodeObserver {
    /** What is allowed for the way of a message and for a busy machine. */
    private final Duration slack;

    private final Duration drainGrace;
    private final Rules rules;
    private final TreeMap<Long, Layout> layouts = new TreeMap<>();
    private final Map<String, ObservedQuery> queries = new HashMap<>();
    private final Map<String, Duration> drainingSince = new HashMap<>();
    private final Map<String, Duration> startedAt = new HashMap<>();

    /** Routers that are killed or stopped: what they had taken has lost its promise. */
    private final Set<String> away = new HashSet<>();

    private final Map<String, WarmingUpNode> warmingUpNodes = new HashMap<>();
    private final Map<String, Budget> budgets = new HashMap<>();
    private final Map<String, Long> versions = new HashMap<>();
    private final Map<String, Duration> versionAt = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private long calls;
    private long retries;
    private long runs;

    /** What is counted on: zero spans and nulls where a rule is not stated. */
    public record Rules(
            double coldFrom,
            Duration ramp,
            double fallMultiple,
            Duration fall,
            double warmWork,
            double freeFurther,
            double furtherShare,
            Duration furtherSpan,
            Duration repeatWindow) {}

    /** How a vertical is promised. */
    public enum Kind {
        REPEATABLE,
        DEDUPLICATED,
        SIDE_EFFECTING
    }

    /** One slice that a client named, with its share. */
    public record RequestedSlice(int slice, KeyRange keys, double weight) {}

    /** A value in an answer. */
    public record Value(KeyRange keys, String text) {}

    private static final class ObservedQuery {
        final String id;
        final String router;
        final Kind kind;
        final double need;
        final double floor;
        final long version;
        final List<RequestedSlice> requestedSlices;
        final Duration sentAt;
        final Duration until;
        int firstCalls;
        int partsCounted;
        final Map<KeyRange, Duration> sent = new LinkedHashMap<>();
        final Map<KeyRange, Duration> ran = new LinkedHashMap<>();
        final Map<String, KeyRange> attemptsInFlight = new LinkedHashMap<>();

        /** What the client saw in place of an answer, for the verdict's reader. */
        String seenInstead = "";

        boolean answered;
        boolean routerLost;
        boolean rejected;

        ObservedQuery(
                String id,
                String router,
                Kind kind,
                double need,
                double floor,
                long version,
                List<RequestedSlice> wanted,
                Duration askedAt,
                Duration until) {
            this.sentAt = askedAt;
            this.id = id;
            this.router = router;
            this.kind = kind;
            this.need = need;
            this.floor = floor;
            this.version = version;
            this.requestedSlices = wanted;
            this.until = until;
        }
    }

    /** Work that cold nodes were sent, by time. */
    private static final class WarmingUpNode {
        final TreeMap<Duration, Double> work = new TreeMap<>();
    }

    private static final class Budget {
        final TreeMap<Duration, Integer> queriesAndParts = new TreeMap<>();
        final TreeMap<Duration, Integer> retries = new TreeMap<>();
    }

    /**
     * Has seen nothing yet.
     *
     * @param drainGrace how long after a node drains it may still be called
     * @param slack how much later than its time something may be seen
     */
    public InvariantChecker(Rules rules, Duration drainGrace, Duration slack) {
        this.rules = rules;
        this.drainGrace = drainGrace;
        this.slack = slack;
    }

    // ---- what is seen

    /** A version of the layout is in force. */
    public synchronized void onLayout(Layout layout) {
        layouts.put(layout.version, layout);
    }

    @Override
    public synchronized void querySent(
            Duration now,
            String id,
            String router,
            Kind kind,
            double need,
            double floor,
            long version,
            List<RequestedSlice> wanted,
            Duration until) {
        queries.put(
                id, new ObservedQuery(id, router, kind, need, floor, version, wanted, now, until));
        // What counts as taken is the query and its parts, as the newest layout cuts them; more
        // come with their calls.
        ObservedQuery q = queries.get(id);
        q.routerLost = away.contains(router);
        Layout newest = layouts.lastEntry().getValue();
        int parts = wanted.stream().mapToInt(one -> newest.overlapping(one.keys).size()).sum();
        q.partsCounted = Math.max(wanted.size(), parts);
        budgets.computeIfAbsent(router, key -> new Budget())
                .queriesAndParts
                .merge(now, 1 + q.partsCounted, Integer::sum);
    }

    /** It runs no more: killed, or stopped until it is back. */
    public synchronized void routerAway(String router) {
        away.add(router);
        queries.values().stream()
                .filter(q -> q.router.equals(router) && !q.answered)
                .forEach(q -> q.routerLost = true);
    }

    /** A router that was away serves again. */
    public synchronized void routerBack(String router) {
        away.remove(router);
    }

    @Override
    public synchronized void nodeStarted(Duration now, String node) {
        startedAt.put(node, now);
        warmingUpNodes.put(node, new WarmingUpNode());
    }

    /** Routers were told whether a node drains. */
    public synchronized void onDrainingChanged(Duration now, String node, boolean draining) {
        if (draining) {
            drainingSince.putIfAbsent(node, now);
        } else {
            drainingSince.remove(node);
        }
    }

    /**
     * A whole call has come to a node: under this id, for these keys of a query, by this version of
     * the layout.
     */
    @Override
    public synchronized void called(
            Duration now,
            String node,
            String query,
            String part,
            KeyRange keys,
            long version,
            Duration work) {
        calls++;
        ObservedQuery q = queries.get(query);
        if (q == null) {
            breaks(now, 5, query, part, "a part that no client asked for");
            return;
        }
        if (q.requestedSlices.stream().noneMatch(one -> one.keys.overlaps(keys))) {
            breaks(now, 5, query, part, "keys that the client did not ask for: " + keys);
        }
        if (q.answered && !q.routerLost && now.compareTo(q.until.plus(slack)) > 0) {
            breaks(now, 1, query, part, "sent after the client's time was up");
        }
        Duration since = drainingSince.get(node);
        if (since != null && now.minus(since).compareTo(drainGrace.plus(slack)) > 0) {
            breaks(
                    now,
                    3,
                    query,
                    part,
                    "sent to " + node + ", which drains since " + since.toMillis() + " ms");
        }
        if (q.kind != Kind.REPEATABLE
                && q.attemptsInFlight.values().stream().anyMatch(keys::overlaps)) {
            breaks(now, 2, query, part, "two calls out for the keys " + keys);
        }
        Duration first =
                q.ran.entrySet().stream()
                        .filter(entry -> entry.getKey().overlaps(keys))
                        .map(Map.Entry::getValue)
                        .min(Duration::compareTo)
                        .orElse(null);
        if (q.kind == Kind.SIDE_EFFECTING && first != null) {
            breaks(now, 2, query, part, "sent again, though the keys " + keys + " have run");
        }
        if (q.kind == Kind.DEDUPLICATED
                && first != null
                && now.minus(first).compareTo(rules.repeatWindow.plus(slack)) > 0) {
            breaks(now, 2, query, part, "sent again past the window of repeats");
        }
        boolean again = q.sent.keySet().stream().anyMatch(keys::overlaps);
        q.sent.putIfAbsent(keys, now);
        q.attemptsInFlight.put(part, keys);
        if (again) {
            retries++;
            budget(now, q, part);
        } else if (++q.firstCalls > q.partsCounted) {
            budgets.get(q.router).queriesAndParts.merge(q.sentAt, 1, Integer::sum);
        }
        coldCheck(now, node, query, part, work);
        long highest = versions.getOrDefault(q.router, 0L);
        if (version > highest) {
            versions.put(q.router, version);
            versionAt.put(q.router, now);
        } else if (version < highest && now.minus(versionAt.get(q.router)).compareTo(slack) > 0) {
            breaks(
                    now,
                    5,
                    query,
                    part,
                    "router " + q.router + " went back from layout " + highest + " to " + version);
        }
    }

    private void budget(Duration now, ObservedQuery q, String part) {
        Budget budget = budgets.get(q.router);
        budget.retries.merge(now, 1, Integer::sum);
        if (rules.furtherSpan != null) {
            Duration from = now.minus(rules.furtherSpan);
            int made =
                    budget.retries.tailMap(from).values().stream()
                            .mapToInt(Integer::intValue)
                            .sum();
            int taken =
                    budget.queriesAndParts.tailMap(from.minus(slack)).values().stream()
                            .mapToInt(Integer::intValue)
                            .sum();
            if (made > rules.freeFurther + rules.furtherShare * taken + 1) {
                breaks(now, 6, q.id, part, made + " further calls with " + taken + " taken");
            }
        }
    }

    private void coldCheck(Duration now, String node, String query, String part, Duration work) {
        Duration started = startedAt.get(node);
        if (started == null
                || rules.ramp == null
                || now.minus(started).compareTo(rules.ramp) >= 0) {
            return;
        }
        TreeMap<Duration, Double> sent = warmingUpNodes.get(node).work;
        sent.merge(now, work.toNanos() / 1e9, Double::sum);
        double sum =
                sent.tailMap(now.minus(rules.fall)).values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum();
        double warm =
                rules.coldFrom
                        + (1 - rules.coldFrom)
                                * now.minus(started).toNanos()
                                / rules.ramp.toNanos();
        double limit = rules.fallMultiple * warm * rules.warmWork * rules.fall.toNanos() / 1e9;
        if (sum > limit) {
            breaks(
                    now,
                    4,
                    query,
                    part,
                    String.format(
                            "cold node %s was sent %.3f s of work, over %.3f", node, sum, limit));
        }
    }

    @Override
    public synchronized void ran(Duration now, String query, String part, KeyRange keys) {
        runs++;
        ObservedQuery q = queries.get(query);
        if (q == null) {
            return;
        }
        for (KeyRange before : q.ran.keySet()) {
            if (q.kind != Kind.REPEATABLE && before.overlaps(keys)) {
                breaks(
                        now,
                        2,
                        query,
                        part,
                        "the keys " + before.intersection(keys) + " have run twice");
            }
        }
        if (q.rejected && q.kind != Kind.REPEATABLE) {
            breaks(now, 2, query, part, "ran though its query was rejected as never run");
        }
        q.ran.put(keys, now);
    }

    /** The call is over for its node: it has answered, or can do nothing more. */
    @Override
    public synchronized void callEnded(String query, String part) {
        ObservedQuery q = queries.get(query);
        if (q != null) {
            q.attemptsInFlight.remove(part);
        }
    }

    synchronized void left(String query) {
        queries.get(query).routerLost = true;
    }

    /** A rejection: asking again must be harmless. */
    @Override
    public synchronized void rejected(Duration now, String query) {
        ObservedQuery q = finished(now, query);
        q.rejected = true;
        if (q.kind != Kind.REPEATABLE && !q.ran.isEmpty()) {
            breaks(now, 2, query, "-", "rejected though the keys " + q.ran.keySet() + " have run");
        }
    }

    @Override
    public synchronized void failed(Duration now, String query) {
        finished(now, query);
    }

    /**
     * It stays without an answer, which {@link #end} holds against its router; this says how that
     * came.
     */
    @Override
    public synchronized void unanswered(Duration now, String query, String seen) {
        queries.get(query).seenInstead =
                "; its client saw after "
                        + now.minus(queries.get(query).sentAt).toMillis()
                        + " ms: "
                        + seen;
    }

    /** An answer; the layout is the one that it says it counts by. */
    @Override
    public synchronized void answered(
            Duration now, String query, boolean whole, long counted, List<Value> values) {
        ObservedQuery q = finished(now, query);
        List<KeyRange> in = new ArrayList<>();
        for (Value value : values) {
            if (!value.text.equals(valueOf(query, value.keys))) {
                breaks(now, 5, query, "-", "a value that no node made: " + value);
            }
            if (in.stream().anyMatch(value.keys::overlaps)) {
                breaks(now, 5, query, "-", "the keys " + value.keys + " are answered twice");
            }
            in.add(value.keys);
        }
        double weight = weight(q, in);
        Layout end = layouts.get(counted);
        if (end == null) {
            breaks(now, 5, query, "-", "counts by layout " + counted + ", which never was");
        } else if (counted != q.version) {
            weight = Math.max(weight, weightBy(q, end, in));
        }
        if (!isReached(q, in, weight, q.floor)) {
            breaks(
                    now,
                    5,
                    query,
                    "-",
                    String.format("answered with %.4f, under the floor of %.4f", weight, q.floor));
        }
        if (whole && !isReached(q, in, weight, q.need)) {
            breaks(
                    now,
                    5,
                    query,
                    "-",
                    String.format("marked whole with %.4f of %.4f", weight, q.need));
        }
    }

    /**
     * Whether the keys of an answer make up this share of the query: all of them for a share of 1,
     * else up to the floating-point error of the sums of weights.
     */
    private static boolean isReached(
            ObservedQuery q, List<KeyRange> in, double weight, double share) {
        if (share >= 1) {
            return q.requestedSlices.stream().allMatch(one -> covered(one.keys, in));
        }
        double total = q.requestedSlices.stream().mapToDouble(RequestedSlice::weight).sum();
        int summands = q.requestedSlices.size() + in.size();
        return weight + (summands + 1) * Math.ulp(1.0) * total >= share * total;
    }

    private ObservedQuery finished(Duration now, String query) {
        ObservedQuery q = queries.get(query);
        if (q.answered) {
            breaks(now, 1, query, "-", "a second final answer");
        }
        q.answered = true;
        if (!q.routerLost && now.compareTo(q.until.plus(slack)) > 0) {
            breaks(
                    now,
                    1,
                    query,
                    "-",
                    "answered " + now.minus(q.until).toMillis() + " ms after the client's time");
        }
        return q;
    }

    /** At the end of a run: whoever still has no answer will have none. */
    public synchronized void end(Duration now) {
        for (ObservedQuery q : queries.values()) {
            if (!q.answered && !q.routerLost && now.compareTo(q.until.plus(slack)) > 0) {
                breaks(now, 1, q.id, "-", "no answer" + q.seenInstead);
            }
        }
    }

    // ---- reckoning

    /** What any node gives for these keys of a query. */
    public static String valueOf(String query, KeyRange keys) {
        return "v" + query + ":" + keys;
    }

    private static boolean covered(KeyRange keys, List<KeyRange> in) {
        long held = 0;
        for (KeyRange one : in) {
            held += one.overlaps(keys) ? one.intersection(keys).size() : 0;
        }
        return held == keys.size();
    }

    private static double weight(ObservedQuery q, List<KeyRange> in) {
        return q.requestedSlices.stream()
                .filter(one -> covered(one.keys, in))
                .mapToDouble(RequestedSlice::weight)
                .sum();
    }

    /** By the slices of another layout: one counts with all that the query wants of it. */
    private static double weightBy(ObservedQuery q, Layout layout, List<KeyRange> in) {
        double sum = 0;
        for (RequestedSlice one : q.requestedSlices) {
            for (Slice slice : layout.overlapping(one.keys)) {
                boolean all = true;
                for (RequestedSlice other : q.requestedSlices) {
                    all &=
                            !other.keys.overlaps(slice.keys())
                                    || covered(other.keys.intersection(slice.keys()), in);
                }
                sum += all ? one.weight * one.keys.overlapFraction(slice.keys()) : 0;
            }
        }
        return sum;
    }

    private void breaks(Duration now, int rule, String query, String part, String what) {
        violations.add(
                "rule "
                        + rule
                        + ", query "
                        + query
                        + ", part "
                        + part
                        + ", at "
                        + now.toMillis()
                        + " ms: "
                        + what);
    }

    /** The violations found, a line each. */
    public synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    /** Calls seen at nodes. */
    public synchronized long calls() {
        return calls;
    }

    /** Calls seen beyond the first of their parts. */
    public synchronized long retries() {
        return retries;
    }

    /** Parts that were run. */
    public synchronized long runs() {
        return runs;
    }
}
