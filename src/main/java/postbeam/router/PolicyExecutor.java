package postbeam.router;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import postbeam.config.InstanceSettings;
import postbeam.config.PolicyFactory;
import postbeam.dispatch.AttemptListener;
import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.dispatch.QueryAction;
import postbeam.dispatch.ReusedRequestIdException;
import postbeam.endpoints.EndpointUpdate;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.Cluster;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.pages.RowFetch;
import postbeam.policy.RoutingPolicy;
import postbeam.slices.Layout;
import postbeam.slices.SliceTranslator;
import postbeam.slices.UnroutableQueryException;

/**
 * Runs the routing policy for the threads that communicate with clients, data nodes, discovery and
 * the layout service. Each event is passed to the policy, which decides right after it unless the
 * last decision is too recent ({@link DecisionPacer}). The decisions are returned as actions:
 * {@link #awaitAction} returns those of a query to its thread, {@link #awaitBackgroundActions} all
 * others.
 *
 * <p>This class owns the one lock that guards the policy, the slices and all tables of this
 * package; no thread waits for a peer while it holds the lock.
 */
public final class PolicyExecutor implements AttemptListener {
    private static final System.Logger LOG = System.getLogger(PolicyExecutor.class.getName());

    private final ReentrantLock lock = new ReentrantLock();

    /** Signalled when an action for the background thread or a timer is added. */
    private final Condition backgroundWork = lock.newCondition();

    private final MonotonicClock clock = new MonotonicClock();
    private final TimerQueue timers = new TimerQueue(backgroundWork);
    private final QueryTable queries = new QueryTable();
    private final AttemptTable attempts = new AttemptTable(timers);
    private final DiscoveryFreshness discoveryFreshness = new DiscoveryFreshness();
    private final DecisionPacer pacer = new DecisionPacer(clock, discoveryFreshness);
    private final NodeDirectory nodes;
    private final ActionOutbox outbox;
    private final QueryFactory queryFactory;
    private final RoutingPolicy policy;
    private final DecisionLoop decisionLoop;

    /** Resolves slices by the layout in force; null if shards have fixed replicas. */
    private final SliceTranslator slicing;

    private final boolean servesPages;

    /** Creates an executor that serves no pages and knows no data nodes yet. */
    public PolicyExecutor(
            InstanceSettings settings,
            long seed,
            int maxBatchSize,
            Duration healthCheckTimeout,
            SliceTranslator slicing) {
        this(settings, seed, maxBatchSize, healthCheckTimeout, slicing, null);
    }

    /**
     * Creates an executor that knows no data nodes yet.
     *
     * @param seed of the policy's random decisions
     * @param maxBatchSize maximum number of attempts that are sent to a node together
     * @param healthCheckTimeout time after which an unanswered health check counts as failed
     * @param slicing null if shards have fixed replicas
     * @param paging null if pages are disabled; requires {@code slicing}
     */
    public PolicyExecutor(
            InstanceSettings settings,
            long seed,
            int maxBatchSize,
            Duration healthCheckTimeout,
            SliceTranslator slicing,
            PagingService paging) {
        this.slicing = slicing;
        this.servesPages = paging != null;
        this.nodes = new NodeDirectory(settings.text("zone"));
        this.outbox = new ActionOutbox(queries, nodes, backgroundWork, maxBatchSize);
        this.queryFactory =
                new QueryFactory(
                        PolicyFactory.queryClasses(settings),
                        PolicyFactory.tenants(settings),
                        slicing,
                        paging,
                        lock::newCondition);
        if (slicing != null) {
            slicing.placement().configure(nodes::name, clock::fromUnixTime);
        }
        PolicyActionHandler actions =
                new PolicyActionHandler(
                        clock,
                        timers,
                        queries,
                        attempts,
                        nodes,
                        outbox,
                        slicing,
                        healthCheckTimeout,
                        new ExpirationHandler());
        this.policy =
                PolicyFactory.routingPolicy(
                        actions,
                        new Random(seed),
                        slicing == null
                                ? PolicyFactory.cluster(settings)
                                : new Cluster(slicing.placement()),
                        paging == null ? settings : paging.withReducedRetryBudget(settings));
        this.decisionLoop =
                new DecisionLoop(policy, slicing, clock, pacer, timers, queries, attempts, outbox);
    }

    // ---- called by the threads that serve queries

    /**
     * Accepts a query.
     *
     * @param age time since the query's first byte arrived
     * @return the accepted query; empty if one with the same id is in flight
     * @throws UnroutableQueryException if its slices can't be resolved; the query is not added then
     * @throws ReusedRequestIdException if attempts were made for an earlier query with this id; the
     *     query is not added then
     */
    public Optional<InFlightQuery> accept(ClientRequest request, Duration age)
            throws UnroutableQueryException, ReusedRequestIdException {
        // Decoding a cursor is slow, so it is done without the lock.
        PagedQuery page = request.pageRequest() == null ? null : startPage(request);
        lock.lock();
        try {
            if (queries.containsId(request.id())) {
                return Optional.empty();
            }
            if (queries.wasAttempted(request.id())) {
                throw new ReusedRequestIdException();
            }
            Duration now = clock.now();
            InFlightQuery inFlight = queryFactory.create(request, now, age, page);
            startQuery(inFlight, now);
            return Optional.of(inFlight);
        } finally {
            lock.unlock();
        }
    }

    private PagedQuery startPage(ClientRequest request) throws UnroutableQueryException {
        QueryFactory.ResolvedSlices resolved;
        lock.lock();
        try {
            resolved = queryFactory.resolveSlices(request);
        } finally {
            lock.unlock();
        }
        return queryFactory.startPage(request, resolved);
    }

    /**
     * Accepts a follow-up query for rows that a page still needs; returns empty if none is allowed.
     */
    Optional<InFlightQuery> acceptFollowUp(InFlightQuery first, List<RowFetch> fetches) {
        lock.lock();
        try {
            Duration now = clock.now();
            ClientRequest request = first.request().followUp(first.followUps().size() + 1);
            if (first.isClientGone() || queries.containsId(request.id())) {
                return Optional.empty();
            }
            Optional<InFlightQuery> followUp =
                    queryFactory.createFollowUp(first, request, now, fetches);
            followUp.ifPresent(inFlight -> startQuery(inFlight, now));
            return followUp;
        } finally {
            lock.unlock();
        }
    }

    private void startQuery(InFlightQuery inFlight, Duration now) {
        Query query = inFlight.query();
        queries.add(inFlight);
        decisionLoop.processEvent(
                inFlight,
                now,
                () -> {
                    policy.onQuery(now, query);
                    queryFactory.addShardRequests(inFlight);
                    query.shardRequests.forEach(request -> policy.onShardRequest(now, request));
                });
    }

    /** Returns the next action for the query; waits until there is one. */
    public QueryAction awaitAction(InFlightQuery query) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            return query.awaitAction();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the next action for the query; null if there is none yet. */
    QueryAction pollAction(InFlightQuery query) {
        lock.lock();
        try {
            return query.pollAction();
        } finally {
            lock.unlock();
        }
    }

    /** Ends the query and its follow-ups, since the client no longer waits for an answer. */
    public void clientDisconnected(InFlightQuery query) {
        lock.lock();
        try {
            query.markClientGone();
            disconnect(query);
            query.followUps().forEach(this::disconnect);
        } finally {
            lock.unlock();
        }
    }

    private void disconnect(InFlightQuery query) {
        if (queries.contains(query.query())) {
            Duration now = clock.now();
            decisionLoop.processEvent(
                    query, now, () -> policy.onClientDisconnected(now, query.query()));
            queries.finish(query, new QueryAction.ClientDisconnected());
        }
    }

    // ---- called by the threads that receive from data nodes, discovery and the layout service

    /** {@inheritDoc} Malformed rows of a page count as an error of the node. */
    @Override
    public void onAttemptResults(List<AttemptResult> results) {
        // Decoding rows is slow, so it is done without the lock.
        List<AttemptResult> decodedResults =
                servesPages ? results.stream().map(PagedAttempt::decodeRows).toList() : results;
        lock.lock();
        try {
            Duration now = clock.now();
            decisionLoop.processEvent(
                    null,
                    now,
                    () -> decodedResults.forEach(result -> decisionLoop.endAttempt(now, result)));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void onHealthCheck(String nodeName, boolean healthy) {
        lock.lock();
        try {
            DataNode node = nodes.endHealthCheck(nodeName);
            if (node != null) {
                Duration now = clock.now();
                decisionLoop.processEvent(
                        null, now, () -> policy.onProbeResult(now, node, healthy));
            }
        } finally {
            lock.unlock();
        }
    }

    /** Applies an endpoint list or changes of one. */
    public void onEndpointUpdate(EndpointUpdate update) {
        lock.lock();
        try {
            Duration now = clock.now();
            decisionLoop.processEvent(
                    null,
                    now,
                    () -> {
                        // Addresses are updated first: the policy may send to a new node as soon as
                        // this event is processed.
                        nodes.update(now, update, clock, policy);
                        // An attempt that still waits for a connection would arrive after the
                        // node's grace period.
                        attempts.requireSentByIfNodeNotReady(clock.toNanoTime(now));
                    });
        } finally {
            lock.unlock();
        }
    }

    /** Records that a poll of discovery ended, with or without a response. */
    public void onDiscoveryPollEnd() {
        discoveryFreshness.onPollEnd();
    }

    /** Returns the version of the layout in force; 0 if there is none yet. */
    public long layoutVersion() {
        lock.lock();
        try {
            return slicing.currentLayout() == null ? 0 : slicing.currentLayout().version;
        } finally {
            lock.unlock();
        }
    }

    /** Applies a layout that was requested just now. */
    public void onLayout(Layout layout) {
        onLayout(layout, System.nanoTime());
    }

    /**
     * Applies a layout; logs and ignores one that is older than the layout in force.
     *
     * @param requestedNanos when the layout was requested, by {@link System#nanoTime}
     */
    public void onLayout(Layout layout, long requestedNanos) {
        lock.lock();
        try {
            slicing.renewLease(clock.fromNanoTime(requestedNanos));
            long rejectedBefore = slicing.rejectedLayouts();
            decisionLoop.processEvent(
                    null,
                    clock.now(),
                    () -> {
                        if (slicing.onUpdate(layout)) {
                            queries.queries().forEach(slicing::remapStaleRequests);
                        }
                    });
            if (slicing.rejectedLayouts() > rejectedBefore) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "layout {0} is rejected: version {1} is in force",
                        layout.version,
                        slicing.currentLayout().version);
            }
        } finally {
            lock.unlock();
        }
    }

    // ---- called by the background thread

    /**
     * Returns the actions that belong to no query's thread; runs due timers and waits until there
     * are some actions.
     */
    public List<QueryAction> awaitBackgroundActions() throws InterruptedException {
        lock.lockInterruptibly();
        try {
            while (true) {
                runDueTimers();
                List<QueryAction> actions = outbox.removeBackgroundActions();
                if (!actions.isEmpty()) {
                    return actions;
                }
                timers.awaitNext(clock);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Runs the timers that are due. */
    void runDueTimers() {
        lock.lock();
        try {
            Duration now = clock.now();
            List<Runnable> due = timers.removeDue(now);
            if (!due.isEmpty()) {
                decisionLoop.processEvent(
                        null, now, () -> due.forEach(task -> decisionLoop.runGuarded(null, task)));
            }
        } finally {
            lock.unlock();
        }
    }

    // ---- for operators and tests

    /**
     * Returns the number of queries, attempts and nodes as the policy counts them, in one line for
     * the log.
     */
    public String summary() {
        lock.lock();
        try {
            return String.format(
                    "%d queries and %d attempts in flight (%d by node counters); of %d listed"
                            + " nodes %d are ejected",
                    queries.size(),
                    attempts.size(),
                    nodes.attemptsInFlight(),
                    nodes.listedCount(),
                    nodes.ejectedCount(policy));
        } finally {
            lock.unlock();
        }
    }

    /** Number of timers that have neither run nor been cancelled. */
    int pendingTimers() {
        lock.lock();
        try {
            return timers.size();
        } finally {
            lock.unlock();
        }
    }

    /** Number of decisions of the policy so far. */
    long decisionCount() {
        lock.lock();
        try {
            return pacer.decisionCount();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Handles expired timers. Each method is called as a timer's task, that is, within an event.
     */
    private final class ExpirationHandler implements PolicyActionHandler.Expirations {
        @Override
        public void onAttemptTimeout(Attempt attempt) {
            DispatchedAttempt timedOut = attempts.get(attempt);
            if (timedOut != null) {
                outbox.deliverInBackground(new QueryAction.CancelAttempt(timedOut));
                decisionLoop.endAttempt(clock.now(), attempt, AttemptOutcome.TIMEOUT);
            }
        }

        @Override
        public void onWakeUp() {
            policy.onWakeUp(clock.now());
        }

        @Override
        public void onHealthCheckTimeout(DataNode node) {
            policy.onProbeResult(clock.now(), node, false);
        }
    }
}
