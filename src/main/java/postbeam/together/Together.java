package postbeam.together;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import postbeam.clients.ClientDoor;
import postbeam.errors.Explained;
import postbeam.errors.ExplainedException;
import postbeam.router.Beside;
import postbeam.setup.Json;
import postbeam.shared.Ballot;
import postbeam.shared.LeaseAsk;
import postbeam.shared.LeaseGrant;
import postbeam.shared.LeaseTerms;
import postbeam.shared.NodeKey;
import postbeam.shared.OfficeTerms;
import postbeam.shared.Ramp;
import postbeam.shared.SharedError;
import postbeam.shared.Stripe;
import postbeam.shared.Stripes;
import postbeam.shared.Vote;
import postbeam.shared.Who;

/**
 * A router's talk with the others: one thread asks what the stripes have to ask, over HTTP; answers
 * come on the client's threads, asks at the router's own door. No query's thread waits for any of
 * it, and no lock is held over it.
 */
public final class Together implements Beside {
    private static final System.Logger LOG = System.getLogger(Together.class.getName());
    private static final String PATH = "/together/v1/ask";

    /** Between looks at what there is to ask: fine beside an office's or a lease's third. */
    private static final Duration LOOK = Duration.ofMillis(20);

    /** How long one is waited for: an answer that comes later is of little use. */
    private static final Duration ANSWER_MOST = Duration.ofMillis(500);

    /** Asks out to one router at once; what can't be asked is as if it was lost. */
    private static final int OUT_MOST = 4;

    /** Bytes of an answer. */
    private static final int LONGEST = 64 << 10;

    /** Asks without an answer, after which it is told in the log. */
    private static final int SILENT_AFTER = 50;

    /** Nodes whose first hearing is remembered. */
    private static final int NODES_MOST = 10_000;

    /** Between two lines of one kind about one router. */
    private static final Duration TOLD_EVERY = Duration.ofSeconds(30);

    /** Its name, where all are by name, and what all agree on. */
    public record Place(
            String name,
            Map<String, String> routers,
            int stripes,
            LeaseTerms leases,
            OfficeTerms offices,
            Ramp ramp) {}

    private final Place place;
    private final Who self;
    private final String digest;
    private final long begun = System.nanoTime();
    private final Stripes stripes;
    private final ExecutorService threads =
            Executors.newFixedThreadPool(
                    2,
                    run -> {
                        Thread thread = new Thread(run, "together-answers");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(ANSWER_MOST)
                    .executor(threads)
                    .build();
    private final Map<String, AtomicInteger> out = new TreeMap<>();
    private final Map<String, AtomicInteger> unanswered = new TreeMap<>();
    private final Map<String, Long> toldAt = new ConcurrentHashMap<>();
    private final Map<NodeKey, Duration> heardAt = new ConcurrentHashMap<>();
    private final Thread asking = new Thread(this::run, "together");
    private volatile boolean stopped;

    /** An ExplainedException names what is wrong in the settings. */
    public Together(Place place) throws ExplainedException {
        if (!place.routers().containsKey(place.name())) {
            throw new ExplainedException(new SharedError.Unnamed(place.name()));
        }
        this.place = place;
        this.self = new Who(place.name(), System.currentTimeMillis());
        List<String> names = List.copyOf(new TreeMap<>(place.routers()).keySet());
        this.digest = digest(terms(names, place));
        this.stripes =
                Stripes.of(
                        place.stripes(),
                        self,
                        names,
                        place.leases(),
                        place.offices(),
                        this::now,
                        new Random(self.incarnation() ^ self.name().hashCode()));
        place.routers()
                .keySet()
                .forEach(
                        name -> {
                            out.put(name, new AtomicInteger());
                            unanswered.put(name, new AtomicInteger());
                        });
        asking.setDaemon(true);
    }

    private Duration now() {
        return Duration.ofNanos(System.nanoTime() - begun);
    }

    /**
     * The text that the digest is taken of: peers of all versions must write the same, whatever
     * types are called.
     */
    private static String terms(List<String> names, Place place) {
        LeaseTerms leases = place.leases();
        OfficeTerms offices = place.offices();
        Ramp ramp = place.ramp();
        return names
                + " "
                + place.stripes()
                + " LeaseTerms[use="
                + leases.use()
                + ", window="
                + leases.window()
                + ", drift="
                + leases.drift()
                + ", reserved="
                + leases.reserved()
                + ", underWay="
                + leases.underWay()
                + ", shares="
                + leases.shares()
                + ", callMost="
                + leases.callMost()
                + "]"
                + " OfficeTerms[office="
                + offices.office()
                + ", longest="
                + offices.longest()
                + ", drift="
                + offices.drift()
                + "]"
                + " Ramp[first="
                + ramp.first()
                + ", risesTo="
                + ramp.risesTo()
                + ", length="
                + ramp.length()
                + ", window="
                + ramp.window()
                + "]";
    }

    private static String digest(String text) {
        try {
            return HexFormat.of()
                    .formatHex(
                            MessageDigest.getInstance("SHA-256")
                                    .digest(text.getBytes(StandardCharsets.UTF_8)),
                            0,
                            8);
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java has SHA-256", e);
        }
    }

    @Override
    public void forms(ClientDoor door) {
        door.form(PATH, this::asked);
        door.form("/together/v1/state", body -> state());
        door.form("/together/v1/take", this::take);
    }

    @Override
    public void start() {
        asking.start();
        LOG.log(
                System.Logger.Level.INFO,
                "router {0} shares with {1} others; terms {2}",
                self.name(),
                place.routers().size() - 1,
                digest);
    }

    @Override
    public void stop() {
        stopped = true;
        asking.interrupt();
        threads.shutdownNow();
    }

    /**
     * What may be sent on this router's account; the node's age is as heard here, which is never
     * too high.
     */
    public boolean take(NodeKey node, double work) {
        return stripes.take(node, work, now -> place.ramp().at(age(now, node)));
    }

    /** What was taken is sent. */
    public void out(NodeKey node, double work) {
        stripes.out(node, work);
    }

    private Duration age(Duration now, NodeKey node) {
        if (heardAt.size() >= NODES_MOST && !heardAt.containsKey(node)) {
            return Duration.ZERO;
        }
        return now.minus(heardAt.computeIfAbsent(node, key -> now));
    }

    // ---- asking

    private void run() {
        while (!stopped) {
            try {
                look();
                Thread.sleep(LOOK.toMillis());
            } catch (InterruptedException e) {
                return;
            } catch (IOException | RuntimeException e) {
                LOG.log(System.Logger.Level.ERROR, "asking the other routers failed", e);
            }
        }
    }

    private void look() throws IOException {
        List<Ballot> ballots = new ArrayList<>();
        Map<String, Map<Integer, List<LeaseAsk>>> asks = new TreeMap<>();
        for (int i = 0; i < stripes.count(); i++) {
            Stripe.Due due = stripes.on(i, (now, stripe) -> stripe.due(now));
            if (due.ballot() != null) {
                ballots.add(due.ballot());
            }
            if (!due.asks().isEmpty()) {
                asks.computeIfAbsent(due.keeper().name(), name -> new TreeMap<>())
                        .put(i, due.asks());
            }
        }
        for (String name : place.routers().keySet()) {
            Map<Integer, List<LeaseAsk>> leases = asks.getOrDefault(name, Map.of());
            if (!name.equals(self.name()) && (!ballots.isEmpty() || !leases.isEmpty())) {
                ask(name, PeerForm.write(new PeerForm.Asks(digest, self, ballots, leases)));
            }
        }
    }

    private void ask(String name, byte[] body) {
        if (out.get(name).incrementAndGet() > OUT_MOST) {
            out.get(name).decrementAndGet();
            return;
        }
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + place.routers().get(name) + PATH))
                        .timeout(ANSWER_MOST)
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                        .build();
        client.sendAsync(request, info -> new Bounded(LONGEST))
                .orTimeout(ANSWER_MOST.toMillis() * 2, TimeUnit.MILLISECONDS)
                .whenComplete(
                        (answer, failed) -> {
                            out.get(name).decrementAndGet();
                            answered(name, answer, failed);
                        });
    }

    private void answered(String name, HttpResponse<byte[]> answer, Throwable failed) {
        if (failed != null || answer.statusCode() != 200) {
            int asks = unanswered.get(name).incrementAndGet();
            if (asks % SILENT_AFTER == 0) {
                String why =
                        failed == null
                                ? "status " + answer.statusCode()
                                : String.valueOf(failed.getMessage());
                tell(name, new SharedError.Silent(name, why, asks));
            }
            return;
        }
        unanswered.get(name).set(0);
        try {
            PeerForm.Answers read = PeerForm.answers(answer.body(), self);
            if (!read.from().name().equals(name)) {
                throw new IOException("it is from " + read.from().name());
            }
            for (Vote vote : read.votes()) {
                on(
                        vote.stripe(),
                        (now, stripe) -> {
                            stripe.answered(now, vote);
                            return null;
                        });
            }
            for (Map.Entry<Integer, List<LeaseGrant>> grants : read.grants().entrySet()) {
                on(
                        grants.getKey(),
                        (now, stripe) -> {
                            grants.getValue().forEach(grant -> stripe.granted(now, grant));
                            return null;
                        });
            }
        } catch (IOException e) {
            tell(name, new SharedError.Garbled(name, String.valueOf(e.getMessage())));
        }
    }

    private <T> T on(int stripe, Stripes.Turn<T> turn) throws IOException {
        if (stripe < 0 || stripe >= stripes.count()) {
            throw new IOException("there is no stripe " + stripe);
        }
        return stripes.on(stripe, turn);
    }

    // ---- being asked

    private byte[] asked(byte[] body) throws IOException, ExplainedException {
        PeerForm.Asks asks;
        try {
            asks = PeerForm.asks(body);
        } catch (IOException e) {
            throw told("-", new SharedError.Garbled("a router", String.valueOf(e.getMessage())));
        }
        String name = asks.from().name();
        if (!place.routers().containsKey(name)) {
            throw told("-", new SharedError.Stranger(name));
        }
        if (name.equals(self.name())) {
            throw told(
                    name,
                    new SharedError.NameTwice(name, self.incarnation(), asks.from().incarnation()));
        }
        if (!asks.digest().equals(digest)) {
            throw told(name, new SharedError.OtherTerms(name));
        }
        List<Vote> votes = new ArrayList<>();
        for (Ballot ballot : asks.ballots()) {
            votes.add(on(ballot.stripe(), (now, stripe) -> stripe.asked(now, ballot)));
        }
        Map<Integer, List<LeaseGrant>> grants = new LinkedHashMap<>();
        for (Map.Entry<Integer, List<LeaseAsk>> leases : asks.leases().entrySet()) {
            grants.put(
                    leases.getKey(),
                    on(
                            leases.getKey(),
                            (now, stripe) ->
                                    leases.getValue().stream()
                                            .map(ask -> stripe.asked(now, ask))
                                            .toList()));
        }
        return PeerForm.write(new PeerForm.Answers(self, votes, grants));
    }

    private ExplainedException told(String about, Explained error) {
        tell(about, error);
        return new ExplainedException(error);
    }

    /** In the log, once in a while. */
    private void tell(String about, Explained error) {
        long at = System.nanoTime();
        Long last = toldAt.get(about + error.getClass().getSimpleName());
        if (last == null || at - last > TOLD_EVERY.toNanos()) {
            toldAt.put(about + error.getClass().getSimpleName(), at);
            LOG.log(System.Logger.Level.WARNING, error.line());
        }
    }

    /**
     * For whoever sends on this router's account beside its queries: whether it may send so much
     * work to a node now.
     */
    private byte[] take(byte[] body) throws IOException {
        Map<String, Object> object = Json.object(body);
        NodeKey node =
                new NodeKey(
                        PeerForm.name(object.get("node")),
                        PeerForm.whole(object.get("incarnation")));
        double work = PeerForm.number(object.get("work"));
        boolean taken = take(node, work);
        if (taken) {
            out(node, work);
        }
        return PeerForm.bytes(Map.of("taken", taken));
    }

    private byte[] state() throws IOException {
        List<Object> all = new ArrayList<>();
        for (int i = 0; i < stripes.count(); i++) {
            all.add(
                    stripes.on(
                            i,
                            (now, stripe) -> {
                                Map<String, Object> one = new LinkedHashMap<>();
                                Who keeper =
                                        stripe.office().inOffice(now)
                                                ? self
                                                : stripe.office().keeper(now);
                                one.put("keeper", keeper == null ? null : keeper.name());
                                one.put("inOffice", stripe.office().inOffice(now));
                                one.put("grants", stripe.keeper().grants(now));
                                one.put("term", stripe.office().term());
                                Map<String, Object> leased = new LinkedHashMap<>();
                                stripe.leased(now)
                                        .forEach(
                                                (node, amount) ->
                                                        leased.put(
                                                                node.node()
                                                                        + "#"
                                                                        + node.incarnation(),
                                                                amount));
                                one.put("leased", leased);
                                return one;
                            }));
        }
        return PeerForm.bytes(
                Map.of(
                        "name",
                        self.name(),
                        "run",
                        self.incarnation(),
                        "terms",
                        digest,
                        "stripes",
                        all));
    }
}
