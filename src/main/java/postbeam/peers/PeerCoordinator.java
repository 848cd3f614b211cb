package postbeam.peers;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import postbeam.clients.QueryServer;
import postbeam.clients.RouterExtension;
import postbeam.coordination.CoordinationError;
import postbeam.coordination.CoordinationStripe;
import postbeam.coordination.NodeIncarnation;
import postbeam.coordination.ProcessIdentity;
import postbeam.coordination.SlowStartBudget;
import postbeam.coordination.StripedCoordinator;
import postbeam.errors.OperatorErrorException;
import postbeam.json.Json;

/**
 * Coordinates this router with the others of its fleet. It connects the stripes, the client that
 * sends to other routers and the handlers for their requests at this router's own server. No thread
 * that handles a query waits for another router.
 */
public final class PeerCoordinator implements RouterExtension {
    private static final System.Logger LOG = System.getLogger(PeerCoordinator.class.getName());
    private static final String STATE_PATH = "/together/v1/state";
    private static final String ACQUIRE_PATH = "/together/v1/take";

    /** Maximum number of nodes in {@link #firstUsedAt}; the age of further nodes counts as 0. */
    private static final int MAX_NODES = 10_000;

    private final FleetConfig config;
    private final ProcessIdentity self;
    private final long startNanos = System.nanoTime();
    private final StripedCoordinator stripes;
    private final PeerClient client;
    private final PeerRequestHandler requestHandler;
    private final Map<NodeIncarnation, Duration> firstUsedAt = new ConcurrentHashMap<>();

    /**
     * Creates a coordinator that does not send until {@link #start}.
     *
     * @throws OperatorErrorException if the list of routers does not include this one
     */
    public PeerCoordinator(FleetConfig config) throws OperatorErrorException {
        if (!config.routers().containsKey(config.name())) {
            throw new OperatorErrorException(new CoordinationError.NotAMember(config.name()));
        }
        this.config = config;
        this.self = new ProcessIdentity(config.name(), System.currentTimeMillis());
        this.stripes =
                StripedCoordinator.of(
                        config.stripeCount(),
                        self,
                        config.members(),
                        config.leaseParameters(),
                        config.electionTimeouts(),
                        this::now,
                        new Random(self.incarnation() ^ self.name().hashCode()));
        PeerStripes peerStripes = new PeerStripes(stripes);
        PeerErrorLog errorLog = new PeerErrorLog();
        this.client = new PeerClient(config, self, peerStripes, errorLog);
        this.requestHandler = new PeerRequestHandler(config, self, peerStripes, errorLog);
    }

    private Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    @Override
    public void registerHandlers(QueryServer server) {
        server.addHandler(PeerRequestHandler.REQUEST_PATH, requestHandler::handle);
        server.addHandler(STATE_PATH, body -> describeState());
        server.addHandler(ACQUIRE_PATH, this::handleAcquire);
    }

    @Override
    public void start() {
        client.start();
        LOG.log(
                System.Logger.Level.INFO,
                "router {0} coordinates with {1} other routers; digest of the parameters {2}",
                self.name(),
                config.routers().size() - 1,
                config.digest());
    }

    @Override
    public void stop() {
        client.stop();
    }

    // ---- slow-start budget of nodes that warm up

    /**
     * Reserves part of the work budget of a node that warms up for one request to it, if that much
     * is left. The caller must {@link #release} it once the request has been sent or is given up.
     */
    boolean tryAcquire(NodeIncarnation node, double work) {
        return stripes.tryAcquire(node, work, now -> budget(now, node));
    }

    /**
     * Releases work reserved for a request; called once the request has been sent or is given up.
     */
    void release(NodeIncarnation node, double work) {
        stripes.release(node, work);
    }

    /**
     * The work budget of a warming node, computed from the time since this router first used the
     * node. That time is never more than the node's real age, so the budget is never too high.
     */
    private SlowStartBudget budget(Duration now, NodeIncarnation node) {
        return config.slowStartRamp().budgetAt(age(now, node));
    }

    private Duration age(Duration now, NodeIncarnation node) {
        if (firstUsedAt.size() >= MAX_NODES && !firstUsedAt.containsKey(node)) {
            return Duration.ZERO;
        }
        return now.minus(firstUsedAt.computeIfAbsent(node, absent -> now));
    }

    // ---- handlers for clients that are not peers

    /**
     * Answers a program that sends to nodes itself and uses this router's quota: whether it may
     * send that much work now. The work is released at once, as the program does not report what it
     * sends.
     */
    private byte[] handleAcquire(byte[] body) throws IOException {
        Map<String, Object> request = Json.parseObject(body);
        NodeIncarnation node =
                new NodeIncarnation(
                        PeerMessageCodec.readName(request.get("node")),
                        PeerMessageCodec.readLong(request.get("incarnation")));
        double work = PeerMessageCodec.readDouble(request.get("work"));
        boolean acquired = tryAcquire(node, work);
        if (acquired) {
            release(node, work);
        }
        return PeerMessageCodec.toJson(Map.of("taken", acquired));
    }

    private byte[] describeState() {
        List<Object> states = new ArrayList<>();
        for (int i = 0; i < stripes.stripeCount(); i++) {
            states.add(stripes.withStripe(i, this::describeStripe));
        }
        return PeerMessageCodec.toJson(
                Map.of(
                        "name", self.name(),
                        "run", self.incarnation(),
                        "terms", config.digest(),
                        "stripes", states));
    }

    private Map<String, Object> describeStripe(Duration now, CoordinationStripe stripe) {
        boolean isLeader = stripe.election().isLeader(now);
        ProcessIdentity leader = isLeader ? self : stripe.election().knownLeader(now);
        Map<String, Object> leasedAmounts = new LinkedHashMap<>();
        stripe.leasedAmounts(now)
                .forEach(
                        (node, amount) ->
                                leasedAmounts.put(node.name() + "#" + node.incarnation(), amount));
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("keeper", leader == null ? null : leader.name());
        state.put("inOffice", isLeader);
        state.put("grants", stripe.leaseIssuer().canGrant(now));
        state.put("term", stripe.election().term());
        state.put("leased", leasedAmounts);
        return state;
    }
}
