package postbeam.peers;

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
import postbeam.clients.QueryServer;
import postbeam.clients.RouterExtension;
import postbeam.coordination.CoordinationError;
import postbeam.coordination.CoordinationStripe;
import postbeam.coordination.ElectionTimeouts;
import postbeam.coordination.LeaseGrant;
import postbeam.coordination.LeaseParameters;
import postbeam.coordination.LeaseRequest;
import postbeam.coordination.NodeIncarnation;
import postbeam.coordination.ProcessIdentity;
import postbeam.coordination.SlowStartRamp;
import postbeam.coordination.StripedCoordinator;
import postbeam.coordination.VoteRequest;
import postbeam.coordination.VoteResponse;
import postbeam.errors.OperatorError;
import postbeam.errors.OperatorErrorException;
import postbeam.json.Json;

/**
 * A router's talk with the others: one thread asks what the stripes have to ask, over HTTP; answers
 * come on the client's threads, asks at the router's own door. No query's thread waits for any of
 * it, and no lock is held over it.
 */
public final class PeerCoordinator implements RouterExtension {
    private static final System.Logger LOG = System.getLogger(PeerCoordinator.class.getName());
    private static final String REQUEST_PATH = "/together/v1/ask";

    /** Between looks at what there is to ask: fine beside an office's or a lease's third. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    /** How long one is waited for: an answer that comes later is of little use. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(500);

    /** Asks out to one router at once; what can't be asked is as if it was lost. */
    private static final int MAX_REQUESTS_IN_FLIGHT = 4;

    /** Bytes of an answer. */
    private static final int MAX_RESPONSE_BYTES = 64 << 10;

    /** Asks without an answer, after which it is told in the log. */
    private static final int UNRESPONSIVE_AFTER = 50;

    /** Nodes whose first hearing is remembered. */
    private static final int MAX_NODES = 10_000;

    /** Between two lines of one kind about one router. */
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(30);

    /** Its name, where all are by name, and what all agree on. */
    public record FleetConfig(
            String name,
            Map<String, String> routers,
            int stripes,
            LeaseParameters leaseParameters,
            ElectionTimeouts electionTimeouts,
            SlowStartRamp slowStartRamp) {}

    private final FleetConfig config;
    private final ProcessIdentity self;
    private final String digest;
    private final long startNanos = System.nanoTime();
    private final StripedCoordinator stripes;
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
                    .connectTimeout(RESPONSE_TIMEOUT)
                    .executor(threads)
                    .build();
    private final Map<String, AtomicInteger> out = new TreeMap<>();
    private final Map<String, AtomicInteger> consecutiveFailures = new TreeMap<>();
    private final Map<String, Long> lastLoggedAt = new ConcurrentHashMap<>();
    private final Map<NodeIncarnation, Duration> firstSeenAt = new ConcurrentHashMap<>();
    private final Thread pollThread = new Thread(this::pollLoop, "together");
    private volatile boolean stopped;

    /** An OperatorErrorException names what is wrong in the settings. */
    public PeerCoordinator(FleetConfig place) throws OperatorErrorException {
        if (!place.routers().containsKey(place.name())) {
            throw new OperatorErrorException(new CoordinationError.NotAMember(place.name()));
        }
        this.config = place;
        this.self = new ProcessIdentity(place.name(), System.currentTimeMillis());
        List<String> names = List.copyOf(new TreeMap<>(place.routers()).keySet());
        this.digest = digest(terms(names, place));
        this.stripes =
                StripedCoordinator.of(
                        place.stripes(),
                        self,
                        names,
                        place.leaseParameters(),
                        place.electionTimeouts(),
                        this::now,
                        new Random(self.incarnation() ^ self.name().hashCode()));
        place.routers()
                .keySet()
                .forEach(
                        name -> {
                            out.put(name, new AtomicInteger());
                            consecutiveFailures.put(name, new AtomicInteger());
                        });
        pollThread.setDaemon(true);
    }

    private Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    /**
     * The text that the digest is taken of: peers of all versions must write the same, whatever
     * types are called.
     */
    private static String terms(List<String> names, FleetConfig place) {
        LeaseParameters leases = place.leaseParameters();
        ElectionTimeouts offices = place.electionTimeouts();
        SlowStartRamp ramp = place.slowStartRamp();
        return names
                + " "
                + place.stripes()
                + " LeaseTerms[use="
                + leases.duration()
                + ", window="
                + leases.window()
                + ", drift="
                + leases.maxClockDrift()
                + ", reserved="
                + leases.reservedFraction()
                + ", underWay="
                + leases.inFlight()
                + ", shares="
                + leases.maxRouters()
                + ", callMost="
                + leases.maxAttemptWork()
                + "]"
                + " OfficeTerms[office="
                + offices.leaderLease()
                + ", longest="
                + offices.maxLeaderLease()
                + ", drift="
                + offices.maxClockDrift()
                + "]"
                + " Ramp[first="
                + ramp.initial()
                + ", risesTo="
                + ramp.peakFactor()
                + ", length="
                + ramp.duration()
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
    public void registerHandlers(QueryServer door) {
        door.addHandler(REQUEST_PATH, this::handleRequest);
        door.addHandler("/together/v1/state", body -> state());
        door.addHandler("/together/v1/take", this::tryAcquire);
    }

    @Override
    public void start() {
        pollThread.start();
        LOG.log(
                System.Logger.Level.INFO,
                "router {0} shares with {1} others; terms {2}",
                self.name(),
                config.routers().size() - 1,
                digest);
    }

    @Override
    public void stop() {
        stopped = true;
        pollThread.interrupt();
        threads.shutdownNow();
    }

    /**
     * What may be sent on this router's account; the node's age is as heard here, which is never
     * too high.
     */
    public boolean tryAcquire(NodeIncarnation node, double work) {
        return stripes.tryAcquire(
                node, work, now -> config.slowStartRamp().budgetAt(nodeAge(now, node)));
    }

    /** What was taken is sent. */
    public void out(NodeIncarnation node, double work) {
        stripes.release(node, work);
    }

    private Duration nodeAge(Duration now, NodeIncarnation node) {
        if (firstSeenAt.size() >= MAX_NODES && !firstSeenAt.containsKey(node)) {
            return Duration.ZERO;
        }
        return now.minus(firstSeenAt.computeIfAbsent(node, key -> now));
    }

    // ---- asking

    private void pollLoop() {
        while (!stopped) {
            try {
                poll();
                Thread.sleep(POLL_INTERVAL.toMillis());
            } catch (InterruptedException e) {
                return;
            } catch (IOException | RuntimeException e) {
                LOG.log(System.Logger.Level.ERROR, "asking the other routers failed", e);
            }
        }
    }

    private void poll() throws IOException {
        List<VoteRequest> ballots = new ArrayList<>();
        Map<String, Map<Integer, List<LeaseRequest>>> asks = new TreeMap<>();
        for (int i = 0; i < stripes.count(); i++) {
            CoordinationStripe.OutgoingMessages due =
                    stripes.withStripe(i, (now, stripe) -> stripe.pollMessages(now));
            if (due.voteRequest() != null) {
                ballots.add(due.voteRequest());
            }
            if (!due.leaseRequests().isEmpty()) {
                asks.computeIfAbsent(due.leader().name(), name -> new TreeMap<>())
                        .put(i, due.leaseRequests());
            }
        }
        for (String name : config.routers().keySet()) {
            Map<Integer, List<LeaseRequest>> leases = asks.getOrDefault(name, Map.of());
            if (!name.equals(self.name()) && (!ballots.isEmpty() || !leases.isEmpty())) {
                send(
                        name,
                        PeerMessageCodec.encode(
                                new PeerMessageCodec.PeerRequest(digest, self, ballots, leases)));
            }
        }
    }

    private void send(String name, byte[] body) {
        if (out.get(name).incrementAndGet() > MAX_REQUESTS_IN_FLIGHT) {
            out.get(name).decrementAndGet();
            return;
        }
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://" + config.routers().get(name) + REQUEST_PATH))
                        .timeout(RESPONSE_TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                        .build();
        client.sendAsync(request, info -> new BoundedBodySubscriber(MAX_RESPONSE_BYTES))
                .orTimeout(RESPONSE_TIMEOUT.toMillis() * 2, TimeUnit.MILLISECONDS)
                .whenComplete(
                        (answer, failed) -> {
                            out.get(name).decrementAndGet();
                            onResponse(name, answer, failed);
                        });
    }

    private void onResponse(String name, HttpResponse<byte[]> answer, Throwable failed) {
        if (failed != null || answer.statusCode() != 200) {
            int asks = consecutiveFailures.get(name).incrementAndGet();
            if (asks % UNRESPONSIVE_AFTER == 0) {
                String why =
                        failed == null
                                ? "status " + answer.statusCode()
                                : String.valueOf(failed.getMessage());
                logRateLimited(name, new CoordinationError.UnresponsiveRouter(name, why, asks));
            }
            return;
        }
        consecutiveFailures.get(name).set(0);
        try {
            PeerMessageCodec.PeerResponse read =
                    PeerMessageCodec.decodeResponse(answer.body(), self);
            if (!read.sender().name().equals(name)) {
                throw new IOException("it is from " + read.sender().name());
            }
            for (VoteResponse vote : read.votes()) {
                withStripe(
                        vote.stripe(),
                        (now, stripe) -> {
                            stripe.onVote(now, vote);
                            return null;
                        });
            }
            for (Map.Entry<Integer, List<LeaseGrant>> grants : read.grants().entrySet()) {
                withStripe(
                        grants.getKey(),
                        (now, stripe) -> {
                            grants.getValue().forEach(grant -> stripe.onGrant(now, grant));
                            return null;
                        });
            }
        } catch (IOException e) {
            logRateLimited(
                    name,
                    new CoordinationError.MalformedMessage(name, String.valueOf(e.getMessage())));
        }
    }

    private <T> T withStripe(int stripe, StripedCoordinator.StripeOperation<T> turn)
            throws IOException {
        if (stripe < 0 || stripe >= stripes.count()) {
            throw new IOException("there is no stripe " + stripe);
        }
        return stripes.withStripe(stripe, turn);
    }

    // ---- being asked

    private byte[] handleRequest(byte[] body) throws IOException, OperatorErrorException {
        PeerMessageCodec.PeerRequest asks;
        try {
            asks = PeerMessageCodec.decodeRequest(body);
        } catch (IOException e) {
            throw logged(
                    "-",
                    new CoordinationError.MalformedMessage(
                            "a router", String.valueOf(e.getMessage())));
        }
        String name = asks.sender().name();
        if (!config.routers().containsKey(name)) {
            throw logged("-", new CoordinationError.UnknownRouter(name));
        }
        if (name.equals(self.name())) {
            throw logged(
                    name,
                    new CoordinationError.DuplicateName(
                            name, self.incarnation(), asks.sender().incarnation()));
        }
        if (!asks.digest().equals(digest)) {
            throw logged(name, new CoordinationError.MismatchedTerms(name));
        }
        List<VoteResponse> votes = new ArrayList<>();
        for (VoteRequest ballot : asks.voteRequests()) {
            votes.add(withStripe(ballot.stripe(), (now, stripe) -> stripe.handle(now, ballot)));
        }
        Map<Integer, List<LeaseGrant>> grants = new LinkedHashMap<>();
        for (Map.Entry<Integer, List<LeaseRequest>> leases : asks.leaseRequests().entrySet()) {
            grants.put(
                    leases.getKey(),
                    withStripe(
                            leases.getKey(),
                            (now, stripe) ->
                                    leases.getValue().stream()
                                            .map(ask -> stripe.handle(now, ask))
                                            .toList()));
        }
        return PeerMessageCodec.encode(new PeerMessageCodec.PeerResponse(self, votes, grants));
    }

    private OperatorErrorException logged(String about, OperatorError error) {
        logRateLimited(about, error);
        return new OperatorErrorException(error);
    }

    /** In the log, once in a while. */
    private void logRateLimited(String about, OperatorError error) {
        long at = System.nanoTime();
        Long last = lastLoggedAt.get(about + error.getClass().getSimpleName());
        if (last == null || at - last > LOG_INTERVAL.toNanos()) {
            lastLoggedAt.put(about + error.getClass().getSimpleName(), at);
            LOG.log(System.Logger.Level.WARNING, error.message());
        }
    }

    /**
     * For whoever sends on this router's account beside its queries: whether it may send so much
     * work to a node now.
     */
    private byte[] tryAcquire(byte[] body) throws IOException {
        Map<String, Object> object = Json.parseObject(body);
        NodeIncarnation node =
                new NodeIncarnation(
                        PeerMessageCodec.readName(object.get("node")),
                        PeerMessageCodec.readLong(object.get("incarnation")));
        double work = PeerMessageCodec.readDouble(object.get("work"));
        boolean taken = tryAcquire(node, work);
        if (taken) {
            out(node, work);
        }
        return PeerMessageCodec.toJson(Map.of("taken", taken));
    }

    private byte[] state() throws IOException {
        List<Object> all = new ArrayList<>();
        for (int i = 0; i < stripes.count(); i++) {
            all.add(
                    stripes.withStripe(
                            i,
                            (now, stripe) -> {
                                Map<String, Object> one = new LinkedHashMap<>();
                                ProcessIdentity keeper =
                                        stripe.election().isLeader(now)
                                                ? self
                                                : stripe.election().knownLeader(now);
                                one.put("keeper", keeper == null ? null : keeper.name());
                                one.put("inOffice", stripe.election().isLeader(now));
                                one.put("grants", stripe.leaseIssuer().canGrant(now));
                                one.put("term", stripe.election().term());
                                Map<String, Object> leased = new LinkedHashMap<>();
                                stripe.leasedAmounts(now)
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
        return PeerMessageCodec.toJson(
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
