package postbeam.testbed.cluster;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.HdrHistogram.ConcurrentHistogram;
import org.apache.commons.rng.UniformRandomProvider;
import postbeam.json.Json;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Slice;
import postbeam.testbed.simulation.SimulatedCluster;
import postbeam.testbed.verification.InvariantChecker;
import postbeam.testbed.verification.RunObserver;

/**
 * Steady clients of some routers: they ask by a layout that they know, wait so long, and try a
 * rejected query again.
 */
public final class LoadGenerator {
    private static final Duration PATIENCE = Duration.ofSeconds(3);
    private static final Duration SLO = Duration.ofSeconds(1);

    /** Longest time of an answer that is told apart, in microseconds. */
    private static final long LONGEST_MICROS = 10_000_000;

    private static final int RETRIES = 2;

    /** Version of the layout that stands for the fixed rule: a key a shard. */
    public static final long FIXED = 1;

    private final Target target;
    private final boolean sliced;
    private final int shards;
    private final UniformRandomProvider chance;
    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .executor(
                            Executors.newFixedThreadPool(
                                    8,
                                    run -> {
                                        Thread thread = new Thread(run, "clients");
                                        thread.setDaemon(true);
                                        return thread;
                                    }))
                    .build();
    private final AtomicReference<Layout> latestLayout = new AtomicReference<>();
    private final ConcurrentHistogram latencies = new ConcurrentHistogram(LONGEST_MICROS, 3);
    private final AtomicInteger queriesSent = new AtomicInteger();
    private final AtomicInteger answeredInTime = new AtomicInteger();
    private final AtomicInteger attempts = new AtomicInteger();
    private final Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
    private final AtomicInteger openQueries = new AtomicInteger();
    private final Map<Integer, AtomicInteger> served = new ConcurrentHashMap<>();
    private volatile boolean stopped;

    /** Who is asked, and who hears of it. */
    interface Target {
        List<String> routers();

        /** Since the start of the run. */
        Duration now();

        RunObserver.ClientObserver observer();

        /** How much longer than its time an answer is waited for. */
        default Duration slack() {
            return Duration.ofSeconds(1);
        }

        /** What clients say that a part works; null where they say nothing. */
        default Duration declaredWork() {
            return null;
        }

        default List<SimulatedCluster.Kind> kinds() {
            return SimulatedCluster.kinds();
        }
    }

    private record Query(
            SimulatedCluster.Kind kind,
            Layout layout,
            List<InvariantChecker.RequestedSlice> wanted,
            Duration askedAt,
            int tried) {}

    /**
     * Creates a generator that sends nothing yet.
     *
     * @param sliced whether queries name slices of the layout, else numbered shards
     * @param shards how many numbered shards there are
     */
    public LoadGenerator(Target stage, boolean sliced, int shards, UniformRandomProvider chance) {
        this.target = stage;
        this.sliced = sliced;
        this.shards = shards;
        this.chance = chance;
    }

    /** Queries from now on name slices of this layout. */
    public void onLayout(Layout layout) {
        latestLayout.set(layout);
    }

    /** So many a second for so long, then waits for the last answers. */
    public void run(double rate, Duration length) throws InterruptedException {
        long next = System.nanoTime();
        long end = next + length.toNanos();
        while (next < end && !stopped) {
            long wait = next - System.nanoTime();
            if (wait > 0) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
            ask();
            next += (long) (-Math.log(1 - chance.nextDouble()) / rate * 1e9);
        }
        long until = System.nanoTime() + PATIENCE.plusSeconds(1).plus(target.slack()).toNanos();
        while (openQueries.get() > 0 && System.nanoTime() < until) {
            Thread.sleep(10);
        }
    }

    private void ask() {
        SimulatedCluster.Kind kind = target.kinds().get(chanceUpTo(target.kinds().size()));
        Layout layout = latestLayout.get();
        List<InvariantChecker.RequestedSlice> wanted = new ArrayList<>();
        int count = 1 + chance.nextInt(6);
        if (sliced) {
            List<Slice> slices = layout.slices();
            int first = chance.nextInt(slices.size());
            List<Slice> named = slices.subList(first, Math.min(slices.size(), first + count));
            named.forEach(
                    slice ->
                            wanted.add(
                                    new InvariantChecker.RequestedSlice(
                                            slice.number(), slice.keys(), 1.0 / named.size())));
        } else {
            int first = chance.nextInt(Math.max(1, shards - count));
            for (int i = 0; i < count; i++) {
                wanted.add(
                        new InvariantChecker.RequestedSlice(
                                first + i, new KeyRange(first + i, first + i + 1), 1.0 / count));
            }
        }
        queriesSent.incrementAndGet();
        send(new Query(kind, layout, wanted, target.now(), 0));
    }

    private void send(Query query) {
        int router = chanceUpTo(target.routers().size());
        String id = "r" + router + query.kind.name() + attempts.incrementAndGet();
        Duration now = target.now();
        target.observer()
                .querySent(
                        now,
                        id,
                        "r" + router,
                        query.kind.promise(),
                        query.kind.need(),
                        query.kind.floor(),
                        sliced ? query.layout.version : FIXED,
                        query.wanted,
                        now.plus(PATIENCE));
        StringBuilder ranges = new StringBuilder();
        for (InvariantChecker.RequestedSlice one : query.wanted) {
            ranges.append(ranges.length() == 0 ? "" : ",")
                    .append("{\"range\":")
                    .append(one.slice())
                    .append(",\"portion\":")
                    .append(one.weight())
                    .append(
                            target.declaredWork() == null
                                    ? ""
                                    : ",\"price\":" + target.declaredWork().toNanos() / 1000)
                    .append('}');
        }
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://"
                                                + target.routers().get(router)
                                                + "/"
                                                + query.kind.name()
                                                + "?obj=7f"))
                        .header("Req-Id", id)
                        .header("Req-Owner", "acme")
                        .header("Req-Deadline-Ms", String.valueOf(PATIENCE.toMillis()))
                        .timeout(PATIENCE.plus(target.slack()))
                        .POST(
                                HttpRequest.BodyPublishers.ofString(
                                        "{\"ranges\":["
                                                + ranges
                                                + "],\"predicate\":\"c41e77d0\"}"));
        if (sliced) {
            request.header("Req-Layout", String.valueOf(query.layout.version));
        }
        openQueries.incrementAndGet();
        CompletableFuture<HttpResponse<byte[]>> answer =
                http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray());
        CompletableFuture<?> unused =
                answer.whenComplete(
                        (response, failure) -> {
                            try {
                                if (failure != null) {
                                    target.observer()
                                            .unanswered(target.now(), id, String.valueOf(failure));
                                }
                                over(query, id, router, response);
                            } catch (IOException e) {
                                statuses.computeIfAbsent(-2, key -> new AtomicInteger())
                                        .incrementAndGet();
                            } finally {
                                openQueries.decrementAndGet();
                            }
                        });
    }

    private void over(Query query, String id, int router, HttpResponse<byte[]> response)
            throws IOException {
        Duration now = target.now();
        int status = response == null ? -1 : response.statusCode();
        statuses.computeIfAbsent(status, key -> new AtomicInteger()).incrementAndGet();
        if (status == 200) {
            Duration took = now.minus(query.askedAt);
            latencies.recordValue(Math.min(LONGEST_MICROS, took.toNanos() / 1000));
            answeredInTime.addAndGet(took.compareTo(SLO) <= 0 ? 1 : 0);
            served.computeIfAbsent(router, key -> new AtomicInteger()).incrementAndGet();
            judge(id, now, Json.parseObject(response.body()));
        } else if (status == 429 || status == 503 || status == 410) {
            target.observer().rejected(now, id);
            if (query.tried < RETRIES && now.minus(query.askedAt).compareTo(PATIENCE) < 0) {
                CompletableFuture.delayedExecutor(200, TimeUnit.MILLISECONDS)
                        .execute(() -> again(query));
            }
        } else if (status > 0) {
            target.observer().failed(now, id);
        }
    }

    /** Asks no more; {@link #run} then waits for the last answers. */
    void stop() {
        stopped = true;
    }

    /** Answers of 200 by a router so far. */
    int served(int router) {
        AtomicInteger count = served.get(router);
        return count == null ? 0 : count.get();
    }

    /**
     * By the layout that is known now: the numbers asked for may have changed, so the keys are
     * asked for again.
     */
    private void again(Query query) {
        Layout layout = latestLayout.get();
        List<InvariantChecker.RequestedSlice> wanted = query.wanted;
        if (sliced && layout.version != query.layout.version) {
            Map<Slice, Double> weights = new LinkedHashMap<>();
            for (InvariantChecker.RequestedSlice one : query.wanted) {
                for (Slice slice : layout.overlapping(one.keys())) {
                    weights.merge(
                            slice,
                            one.weight() * one.keys().overlapFraction(slice.keys()),
                            Double::sum);
                }
            }
            wanted =
                    weights.entrySet().stream()
                            .map(
                                    entry ->
                                            new InvariantChecker.RequestedSlice(
                                                    entry.getKey().number(),
                                                    entry.getKey().keys(),
                                                    entry.getValue()))
                            .toList();
        }
        send(new Query(query.kind, layout, wanted, query.askedAt, query.tried + 1));
    }

    private void judge(String id, Duration now, Map<String, Object> body) throws IOException {
        List<InvariantChecker.Value> values = new ArrayList<>();
        for (Object one : Json.member(body, "answers", List.class)) {
            Map<?, ?> value = (Map<?, ?>) one;
            long from = Json.member(value, sliced ? "from" : "range", Number.class).longValue();
            values.add(
                    new InvariantChecker.Value(
                            new KeyRange(
                                    from,
                                    sliced
                                            ? Json.member(value, "to", Number.class).longValue()
                                            : from + 1),
                            Json.member(value, "blob", String.class)));
        }
        target.observer()
                .answered(
                        now,
                        id,
                        Json.member(body, "total", Boolean.class),
                        sliced ? Json.member(body, "layout", Number.class).longValue() : FIXED,
                        values);
    }

    private int chanceUpTo(int most) {
        synchronized (chance) {
            return chance.nextInt(most);
        }
    }

    // ---- figures

    /** Queries sent so far. */
    public int queriesSent() {
        return queriesSent.get();
    }

    /** The fraction of the queries that were answered in time. */
    public double fractionInTime() {
        return (double) answeredInTime.get() / Math.max(1, queriesSent.get());
    }

    /**
     * Latency of answers in milliseconds.
     *
     * @param percentile from 0 to 100
     */
    public double latencyMillis(double percentile) {
        return latencies.getValueAtPercentile(percentile) / 1000.0;
    }

    /** Counts of answers by their HTTP status, as "200:17 503:2". */
    public String statuses() {
        StringBuilder text = new StringBuilder();
        new java.util.TreeMap<>(statuses)
                .forEach(
                        (status, count) ->
                                text.append(text.length() == 0 ? "" : " ")
                                        .append(status)
                                        .append(':')
                                        .append(count));
        return text.toString();
    }
}
