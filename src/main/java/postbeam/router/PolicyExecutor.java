package postbeam.router;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import postbeam.config.InstanceSettings;
import postbeam.config.PolicyFactory;
import postbeam.dispatch.AttemptListener;
import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.dispatch.QueryAction;
import postbeam.endpoints.EndpointRegistry;
import postbeam.endpoints.EndpointUpdate;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.Cluster;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.Readiness;
import postbeam.model.ShardRequest;
import postbeam.model.Tenant;
import postbeam.pages.RowFetch;
import postbeam.policy.PolicyActions;
import postbeam.policy.RoutingPolicy;
import postbeam.slices.KeyRange;
import postbeam.slices.KeyRangeRequest;
import postbeam.slices.Layout;
import postbeam.slices.LayoutCompleteness;
import postbeam.slices.SliceRequest;
import postbeam.slices.SliceTranslator;
import postbeam.slices.UnroutableQueryException;

/**
 * The decisions in blocking style, for threads that speak to peers: {@link #awaitAction} gives a
 * query's thread the next thing to do, {@link #report} tells how leaf calls ended, {@link
 * #awaitBackgroundActions} does what time brings. Sole owner of Decide and of its lock, under which
 * nothing waits for a peer.
 */
public final class PolicyExecutor implements PolicyActions, AttemptListener {
    private static final System.Logger LOG = System.getLogger(PolicyExecutor.class.getName());

    /**
     * Times what deciding took, until it is done again: it then takes a quarter of the core at
     * most.
     */
    private static final int PAUSE_FACTOR = 3;

    /**
     * Two ticks of the simulator, on which the decisions were made: longer, and what comes would
     * wait for it.
     */
    private static final Duration MAX_PAUSE = Duration.ofMillis(10);

    /**
     * Longer than a watch of the list and the pause after it may take (PollSchedule): the process
     * has stood still.
     */
    private static final Duration DISCOVERY_STALE_AFTER = Duration.ofSeconds(5);

    /** How long the list is then waited for: a call to discovery that answers, and its pause. */
    private static final Duration MAX_WAIT_FOR_DISCOVERY = Duration.ofSeconds(1);

    private record Timer(Duration at, long number, Runnable task) {}

    /** A call that is out, and what ends it when its time is over. */
    private record InFlightAttempt(DispatchedAttempt attempt, Timer timer) {}

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition timersChanged = lock.newCondition();
    private final long startNanos = System.nanoTime();
    private final long startUnixMicros = System.currentTimeMillis() * 1000;
    private final Map<String, QueryClass> queryClasses;
    private final Map<String, Tenant> tenants;
    private final EndpointRegistry endpoints;
    private final RoutingPolicy policy;
    private final SliceTranslator slicing;
    private final PagingService paging;
    private final int maxBatchSize;
    private final Duration healthCheckTimeout;
    private final Map<DataNode, String> addresses = new IdentityHashMap<>();
    private final Map<DataNode, Object> pendingHealthChecks = new IdentityHashMap<>();
    private final Map<String, InFlightQuery> queriesById = new LinkedHashMap<>();
    private final Map<Query, InFlightQuery> inFlightQueries = new IdentityHashMap<>();
    private final Map<Attempt, InFlightAttempt> attemptsInFlight = new IdentityHashMap<>();
    private final TreeSet<Timer> timers =
            new TreeSet<>(Comparator.comparing(Timer::at).thenComparingLong(Timer::number));
    private long nextTimerNumber;

    /** When the turn under way may end, and whether something waits for that. */
    private Duration nextDecisionAt = Duration.ZERO;

    private boolean decisionScheduled;

    /**
     * When discovery was last heard or found silent, by {@link System#nanoTime}; null where nothing
     * follows it.
     */
    private volatile Long discoveryAnsweredNanos;

    /** Since when it is waited for after a standstill; null while it is not. */
    private Duration discoveryStaleSince;

    private long decisionCount;

    /**
     * What has happened since the last end was about these, the latest first: one of them if
     * deciding fails.
     */
    private final Deque<InFlightQuery> recentQueries = new ArrayDeque<>();

    private final List<QueryAction> backgroundActions = new ArrayList<>();

    /** What the turn under way has sent, by node, and called off. */
    private final Map<DataNode, List<DispatchedAttempt>> outboundAttempts = new LinkedHashMap<>();

    private final List<Attempt> cancelledAttempts = new ArrayList<>();

    /** The slicing is null where shards stay where the fixed rule puts them. */
    public PolicyExecutor(
            InstanceSettings settings,
            long seed,
            int partsACall,
            Duration probeWithin,
            SliceTranslator slicing) {
        this(settings, seed, partsACall, probeWithin, slicing, null);
    }

    /** The paging is null where no pages are given; it needs slices. */
    public PolicyExecutor(
            InstanceSettings settings,
            long seed,
            int partsACall,
            Duration probeWithin,
            SliceTranslator slicing,
            PagingService paging) {
        this.queryClasses = PolicyFactory.queryClasses(settings);
        this.tenants = PolicyFactory.tenants(settings);
        this.endpoints = new EndpointRegistry(settings.text("zone"));
        this.maxBatchSize = partsACall;
        this.healthCheckTimeout = probeWithin;
        this.slicing = slicing;
        this.paging = paging;
        if (slicing != null) {
            slicing.holders()
                    .configure(
                            endpoints::nameOf,
                            at -> at.minus(Duration.ofNanos(startUnixMicros * 1000)));
        }
        this.policy =
                PolicyFactory.routingPolicy(
                        this,
                        new Random(seed),
                        slicing == null
                                ? PolicyFactory.fleet(settings)
                                : new Cluster(slicing.holders()),
                        paging == null ? settings : paging.withReducedRetryBudget(settings));
    }

    // ---- for the threads that serve queries

    /**
     * Takes a query so long after its first byte was seen; null where one of that id is still open.
     * An Unroutable says why its slices can't be found; nothing is kept of it then.
     */
    public InFlightQuery accept(ClientRequest clientRequest, Duration age)
            throws UnroutableQueryException {
        return clientRequest.pageRequest() == null
                ? accept(clientRequest, age, null, 0)
                : acceptPaged(clientRequest, age);
    }

    /** The cursor is opened, and what to ask of whom worked out, while nothing is locked. */
    private InFlightQuery acceptPaged(ClientRequest clientRequest, Duration age)
            throws UnroutableQueryException {
        Layout held;
        List<LayoutCompleteness.RequestedSlice> named;
        lock.lock();
        try {
            // With a cursor the keys are those that it holds.
            named =
                    slicing.resolveSlices(
                            clientRequest.requestedShards().isEmpty()
                                    ? 0
                                    : clientRequest.layoutVersion(),
                            sliceRequests(clientRequest));
            held = slicing.currentLayout();
        } finally {
            lock.unlock();
        }
        return accept(
                clientRequest,
                age,
                paging.start(
                        clientRequest, queryClasses.get(clientRequest.queryClass()), held, named),
                held.version);
    }

    private static List<SliceRequest> sliceRequests(ClientRequest clientRequest) {
        return clientRequest.requestedShards().stream()
                .map(part -> new SliceRequest(part.shard(), part.weight(), part.estimatedWork()))
                .toList();
    }

    private InFlightQuery accept(
            ClientRequest clientRequest, Duration age, PagedQuery paged, long layout)
            throws UnroutableQueryException {
        lock.lock();
        try {
            if (queriesById.containsKey(clientRequest.id())) {
                return null;
            }
            Duration now = now();
            Query query =
                    new Query(
                            queryClasses.get(clientRequest.queryClass()),
                            tenants.get(clientRequest.tenant()),
                            now,
                            now.plus(clientRequest.timeout()).minus(age));
            if (clientRequest.clientRetry()) {
                query.markClientRetry();
            }
            if (paged != null) {
                slicing.assignKeys(query, paged.layoutVersion, paged.namedRanges);
            } else if (slicing != null) {
                slicing.assignParts(
                        query, clientRequest.layoutVersion(), sliceRequests(clientRequest));
            }
            InFlightQuery q =
                    new InFlightQuery(clientRequest, query, lock.newCondition(), paged, layout);
            queriesById.put(clientRequest.id(), q);
            inFlightQueries.put(query, q);
            runTurn(
                    q,
                    now,
                    () -> {
                        policy.onQuery(now, query);
                        if (slicing == null) {
                            for (ClientRequest.RequestedShard part :
                                    clientRequest.requestedShards()) {
                                new ShardRequest(
                                        query, part.shard(), part.weight(), part.estimatedWork());
                            }
                        }
                        query.shardRequests.forEach(request -> policy.onShardRequest(now, request));
                    });
            return q;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Asks again for the page of a query that was answered; null where that may not be. It goes as
     * a query that arrived with the first and ends within its SLO time, and whose parts inherit the
     * leaf calls for their keys: each of its own is then one beyond the part's first, for rule 6
     * and for the part's limit.
     */
    InFlightQuery acceptFollowUp(InFlightQuery first, List<RowFetch> asks) {
        lock.lock();
        try {
            Duration now = now();
            Query old = first.query;
            Duration until = paging.followUpDeadline(now, old);
            ClientRequest clientRequest = first.request.followUp(first.followUps.size() + 1);
            if (first.clientGone
                    || until.compareTo(now) <= 0
                    || queriesById.containsKey(clientRequest.id())) {
                return null;
            }
            Query query = new Query(old.queryClass(), old.tenant, old.arrivedAt, until);
            query.backdateTo(old.firstRequestedAt());
            Layout held = slicing.currentLayout();
            PagedQuery paged =
                    first.pagedQuery.followUp(
                            asks, held.version, PagingService.followUpRanges(held, asks));
            try {
                slicing.assignKeys(query, paged.layoutVersion, paged.namedRanges);
            } catch (UnroutableQueryException e) {
                return null;
            }
            if (!paging.mayStartFollowUp(now, query.shardRequests.size())) {
                return null;
            }
            for (ShardRequest request : query.shardRequests) {
                inheritAttempts((KeyRangeRequest) request, old);
                first.followUps.forEach(
                        before -> inheritAttempts((KeyRangeRequest) request, before.query));
            }
            InFlightQuery q =
                    new InFlightQuery(
                            clientRequest, query, lock.newCondition(), paged, held.version);
            q.shareClientCheck(first);
            first.followUps.add(q);
            queriesById.put(clientRequest.id(), q);
            inFlightQueries.put(query, q);
            runTurn(
                    q,
                    now,
                    () -> {
                        policy.onQuery(now, query);
                        query.shardRequests.forEach(request -> policy.onShardRequest(now, request));
                    });
            return q;
        } finally {
            lock.unlock();
        }
    }

    private static void inheritAttempts(KeyRangeRequest young, Query from) {
        for (ShardRequest request : from.shardRequests) {
            if (((KeyRangeRequest) request).keys.overlaps(young.keys)) {
                young.inheritAttempts(request);
            }
        }
    }

    /** What came for the page of a query that was answered. */
    void collectPartialPages(InFlightQuery q) {
        lock.lock();
        try {
            q.pagedQuery.received.addAll(q.countedPages);
        } finally {
            lock.unlock();
        }
    }

    /** The next thing to do for the query; waits until there is one. */
    public QueryAction awaitAction(InFlightQuery q) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            while (q.actions.isEmpty()) {
                q.actionAvailable.await();
            }
            return q.actions.poll();
        } finally {
            lock.unlock();
        }
    }

    /** The same without waiting: null where there is none yet. */
    QueryAction pollAction(InFlightQuery q) {
        lock.lock();
        try {
            return q.actions.poll();
        } finally {
            lock.unlock();
        }
    }

    /** Its client no longer waits. */
    public void clientDisconnected(InFlightQuery q) {
        lock.lock();
        try {
            q.clientGone = true;
            disconnect(q);
            q.followUps.forEach(this::disconnect);
        } finally {
            lock.unlock();
        }
    }

    private void disconnect(InFlightQuery q) {
        if (inFlightQueries.containsKey(q.query)) {
            Duration now = now();
            runTurn(q, now, () -> policy.onClientDisconnected(now, q.query));
            finish(q, new QueryAction.ClientGone());
        }
    }

    // ---- for those that hear from data nodes and discovery

    /**
     * Tells how leaf calls ended, each once; one that has ended otherwise meanwhile is passed over.
     * Spoilt rows are an error of the node, and the part may go to another.
     */
    @Override
    public void onAttemptResults(List<AttemptResult> told) {
        // Before the lock is taken: it may be much to read.
        List<AttemptResult> endings =
                paging == null ? told : told.stream().map(PagedAttempt::readRows).toList();
        lock.lock();
        try {
            Duration now = now();
            runTurn(null, now, () -> endings.forEach(ending -> onAttemptEnded(now, ending)));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void onHealthCheck(String node, boolean answered) {
        lock.lock();
        try {
            DataNode probed = endpoints.node(node);
            if (probed != null && pendingHealthChecks.remove(probed) != null) {
                Duration now = now();
                runTurn(null, now, () -> policy.onProbeResult(now, probed, answered));
            }
        } finally {
            lock.unlock();
        }
    }

    public void onEndpointUpdate(EndpointUpdate update) {
        lock.lock();
        try {
            Duration now = now();
            runTurn(
                    null,
                    now,
                    () -> {
                        endpoints.update(
                                now,
                                update.endpoints(),
                                update.complete(),
                                micros -> Duration.ofNanos((micros - startUnixMicros) * 1000),
                                policy);
                        // Before the turn ends: it may send to a node told of just now.
                        update.addresses()
                                .forEach(
                                        (name, address) -> {
                                            if (endpoints.node(name) != null) {
                                                addresses.put(endpoints.node(name), address);
                                            }
                                        });
                        addresses.keySet().removeIf(node -> endpoints.nameOf(node) == null);
                        // What is decided on and still waits for its connection would go after the
                        // node's grace.
                        attemptsInFlight.forEach(
                                (attempt, sent) -> {
                                    if (attempt.node.readiness() != Readiness.READY) {
                                        sent.attempt()
                                                .requireSentBy(
                                                        startNanos + now.toNanos(),
                                                        AttemptOutcome.UNREACHABLE);
                                    }
                                });
                    });
        } finally {
            lock.unlock();
        }
    }

    /** Discovery was asked and has answered or failed to. */
    public void onDiscoveryAnswer() {
        discoveryAnsweredNanos = System.nanoTime();
    }

    /**
     * Guards against deciding by the list as it was before a standstill of the whole process
     * (stopped, its machine paused): what it missed has long counted as told. It costs queries that
     * wait meanwhile what one call to discovery takes, 1 s at most where that is silent, or where
     * what follows it has died.
     */
    private boolean isDiscoveryStale(Duration now) {
        Long at = discoveryAnsweredNanos;
        if (at == null || System.nanoTime() - at < DISCOVERY_STALE_AFTER.toNanos()) {
            discoveryStaleSince = null;
            return false;
        }
        discoveryStaleSince = discoveryStaleSince == null ? now : discoveryStaleSince;
        return now.minus(discoveryStaleSince).compareTo(MAX_WAIT_FOR_DISCOVERY) < 0;
    }

    /** The version of the layout that is held; 0 for none. */
    public long layoutVersion() {
        lock.lock();
        try {
            return slicing.currentLayout() == null ? 0 : slicing.currentLayout().version;
        } finally {
            lock.unlock();
        }
    }

    /** A version of the layout that was asked for just now. */
    public void onLayout(Layout next) {
        onLayout(next, System.nanoTime());
    }

    /**
     * A version of the layout and when it was asked for, by {@link System#nanoTime}; one that goes
     * back is passed over.
     */
    public void onLayout(Layout next, long askedNanos) {
        lock.lock();
        try {
            slicing.renewLease(Duration.ofNanos(askedNanos - startNanos));
            long before = slicing.rejectedLayouts();
            runTurn(
                    null,
                    now(),
                    () -> {
                        if (slicing.onUpdate(next)) {
                            inFlightQueries.keySet().forEach(slicing::remapStaleParts);
                        }
                    });
            if (slicing.rejectedLayouts() > before) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "layout {0} is refused: version {1} is held",
                        next.version,
                        slicing.currentLayout().version);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Waits until time or a turn brings something to do that belongs to no query's thread. */
    public List<QueryAction> awaitBackgroundActions() throws InterruptedException {
        lock.lockInterruptibly();
        try {
            while (true) {
                runDueTimers();
                if (!backgroundActions.isEmpty()) {
                    List<QueryAction> todo = List.copyOf(backgroundActions);
                    backgroundActions.clear();
                    return todo;
                }
                if (timers.isEmpty()) {
                    timersChanged.await();
                } else {
                    timersChanged.awaitNanos(timers.first().at().minus(now()).toNanos());
                }
            }
        } finally {
            lock.unlock();
        }
    }

    /** What is believed, in a line for operators: to be held against what passes on the sockets. */
    public String summary() {
        lock.lock();
        try {
            int byNodes = 0;
            int listed = 0;
            int alone = 0;
            for (DataNode node : endpoints.nodes()) {
                byNodes += node.attemptsInFlight.size();
                listed += node.readiness() == Readiness.REMOVED ? 0 : 1;
                alone += node.readiness() != Readiness.REMOVED && policy.isEjected(node) ? 1 : 0;
            }
            return String.format(
                    "%d queries open, %d calls out, %d by their nodes; of %d nodes listed %d left"
                            + " alone",
                    queriesById.size(), attemptsInFlight.size(), byNodes, listed, alone);
        } finally {
            lock.unlock();
        }
    }

    /** Does what time has brought. */
    void runDueTimers() {
        lock.lock();
        try {
            Duration now = now();
            List<Runnable> events = new ArrayList<>();
            while (!timers.isEmpty() && timers.first().at().compareTo(now) <= 0) {
                events.add(timers.pollFirst().task());
            }
            if (!events.isEmpty()) {
                runTurn(null, now, () -> events.forEach(event -> runGuarded(null, event)));
            }
        } finally {
            lock.unlock();
        }
    }

    /** Times that are waited for. */
    int pendingTimers() {
        lock.lock();
        try {
            return timers.size();
        } finally {
            lock.unlock();
        }
    }

    /** How often it was decided. */
    long decisionCount() {
        lock.lock();
        try {
            return decisionCount;
        } finally {
            lock.unlock();
        }
    }

    // ---- turns

    private Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    private Timer schedule(Duration at, Runnable event) {
        Timer timer = new Timer(at, nextTimerNumber++, event);
        timers.add(timer);
        timersChanged.signal();
        return timer;
    }

    /** What happened, and, once the last turn's end is long enough ago, what is decided on it. */
    private void runTurn(InFlightQuery about, Duration now, Runnable event) {
        runGuarded(about, event);
        if (about != null) {
            recentQueries.push(about);
        }
        if (now.compareTo(nextDecisionAt) >= 0 && isDiscoveryStale(now)) {
            nextDecisionAt = now.plus(MAX_PAUSE);
        }
        if (now.compareTo(nextDecisionAt) >= 0) {
            endTurn(now);
        } else if (!decisionScheduled) {
            decisionScheduled = true;
            schedule(nextDecisionAt, () -> {});
        }
    }

    /**
     * Decides on all that happened since the last end, then that the calls called off have ended.
     * Guards against a load under which deciding on each event by itself takes the core, so that
     * all come too late and ever more are open: what comes within a few times the time that
     * deciding takes is decided on together, as the simulator's ticks do. It could hurt nothing on
     * a calm day: a turn's end then takes a fraction of a ms.
     */
    private void endTurn(Duration now) {
        decisionScheduled = false;
        decisionCount++;
        long begun = System.nanoTime();
        while (true) {
            while (!runGuarded(recentQueries.poll(), () -> policy.onBatchEnd(now))) {
                // Again, without the query that was held to be at fault.
            }
            dispatchOutbound();
            if (cancelledAttempts.isEmpty()) {
                break;
            }
            List<Attempt> over = List.copyOf(cancelledAttempts);
            cancelledAttempts.clear();
            over.forEach(
                    attempt ->
                            runGuarded(
                                    inFlightQueries.get(attempt.shardRequest.query),
                                    () -> onAttemptEnded(now, attempt, AttemptOutcome.CANCELLED)));
        }
        recentQueries.clear();
        long pause = Math.min(MAX_PAUSE.toNanos(), PAUSE_FACTOR * (System.nanoTime() - begun));
        nextDecisionAt = now().plusNanos(pause);
    }

    /**
     * Guards against a failure of the decisions, whatever it is: the query that it came with is
     * aborted, else the oldest. A failure that comes back each time costs all that are open, one
     * after the other. True once there is nothing to do again.
     */
    private boolean runGuarded(InFlightQuery about, Runnable step) {
        try {
            step.run();
            return true;
        } catch (RuntimeException | StackOverflowError e) {
            LOG.log(System.Logger.Level.ERROR, "deciding failed; a query is aborted for it", e);
        }
        InFlightQuery victim =
                about != null && inFlightQueries.containsKey(about.query)
                        ? about
                        : queriesById.isEmpty() ? null : queriesById.values().iterator().next();
        if (victim == null) {
            return true;
        }
        try {
            policy.onClientDisconnected(now(), victim.query);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a query could not be ended", e);
        }
        finish(victim, new QueryAction.Abort());
        return false;
    }

    private void dispatchOutbound() {
        outboundAttempts.forEach(
                (node, calls) -> {
                    for (int i = 0; i < calls.size(); i += maxBatchSize) {
                        List<DispatchedAttempt> together =
                                List.copyOf(
                                        calls.subList(i, Math.min(calls.size(), i + maxBatchSize)));
                        QueryAction send = new QueryAction.Send(addresses.get(node), together);
                        deliver(
                                inFlightQueries.get(together.get(0).attempt.shardRequest.query),
                                send);
                    }
                });
        outboundAttempts.clear();
    }

    /** Gives the step to the query's thread or, where that is gone, to the one that ticks. */
    private void deliver(InFlightQuery q, QueryAction step) {
        if (q == null) {
            backgroundActions.add(step);
            timersChanged.signal();
        } else {
            q.addAction(step);
        }
    }

    private void onAttemptEnded(Duration now, AttemptResult ending) {
        Attempt attempt = ending.attempt().attempt;
        InFlightQuery q = inFlightQueries.get(attempt.shardRequest.query);
        if (q != null && !attempt.hasEnded() && ending.outcome() == AttemptOutcome.SUCCESS) {
            if (q.pagedQuery == null) {
                q.shardValues.putIfAbsent(attempt.shardRequest, ending.value());
            } else {
                q.partialPages.putIfAbsent(
                        attempt.shardRequest, PagedAttempt.rows(ending.attempt()));
            }
        }
        runGuarded(q, () -> onAttemptEnded(now, attempt, ending.outcome()));
    }

    private void onAttemptEnded(Duration now, Attempt attempt, AttemptOutcome outcome) {
        InFlightAttempt ended = attemptsInFlight.remove(attempt);
        if (ended != null) {
            // Its client may have named a time of many hours: nothing is kept for that long.
            timers.remove(ended.timer());
            ended.attempt().abandon();
            policy.onAttemptEnded(
                    now,
                    attempt,
                    outcome,
                    now.minus(attempt.sentAt),
                    attempt.shardRequest.query.hasEnded());
            if (slicing != null) {
                updateSlices(attempt, outcome);
            }
        }
    }

    private void updateSlices(Attempt attempt, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.MOVED) {
            slicing.excludeReplica(attempt.shardRequest, attempt.node);
            schedule(
                    now().plus(SliceTranslator.EXCLUSION_TIME),
                    () -> slicing.readmitReplica(attempt.shardRequest.shard, attempt.node));
        }
        if (inFlightQueries.containsKey(attempt.shardRequest.query)) {
            slicing.remapStaleParts(attempt.shardRequest.query);
        }
    }

    private void onAttemptTimeout(Attempt attempt) {
        InFlightAttempt late = attemptsInFlight.get(attempt);
        if (late != null) {
            deliver(null, new QueryAction.CancelAttempt(late.attempt()));
            onAttemptEnded(now(), attempt, AttemptOutcome.TIMEOUT);
        }
    }

    /** The last step of a query; what is not written of it yet will not be. */
    private void finish(InFlightQuery q, QueryAction last) {
        if (inFlightQueries.remove(q.query) != null) {
            queriesById.remove(q.request.id());
            q.attempts.forEach(DispatchedAttempt::abandon);
            q.addAction(last);
        }
    }

    // ---- what the decisions have done

    @Override
    public void send(Attempt attempt) {
        InFlightQuery q = inFlightQueries.get(attempt.shardRequest.query);
        Duration until = attempt.shardRequest.query.deadline;
        if (attempt.timeout != null && attempt.sentAt.plus(attempt.timeout).compareTo(until) < 0) {
            until = attempt.sentAt.plus(attempt.timeout);
        }
        String id = q.request.id() + "." + attempt.shardRequest.shard;
        String more = "";
        if (slicing != null) {
            KeyRange keys = ((KeyRangeRequest) attempt.shardRequest).keys;
            id += "-" + Long.toHexString(keys.from());
            more =
                    ",v="
                            + slicing.currentLayout().version
                            + ",k="
                            + keys
                            + (q.pagedQuery == null ? "" : ",p=" + q.pagedQuery.fetchBytes);
        }
        long untilNanos = startNanos + until.toNanos();
        DispatchedAttempt call =
                q.pagedQuery == null
                        ? new DispatchedAttempt(
                                q, attempt, id, more, q.request.payload(), untilNanos)
                        : q.pagedQuery.attempt(q, attempt, id, more, untilNanos);
        if (attempt.sendDeadline() != null) {
            call.requireSentBy(
                    startNanos + attempt.sendDeadline().toNanos(), AttemptOutcome.NEVER_SENT);
        }
        q.attempts.add(call);
        outboundAttempts.computeIfAbsent(attempt.node, node -> new ArrayList<>()).add(call);
        attemptsInFlight.put(
                attempt,
                new InFlightAttempt(call, schedule(until, () -> onAttemptTimeout(attempt))));
    }

    @Override
    public void cancel(Attempt attempt) {
        InFlightAttempt unwanted = attemptsInFlight.get(attempt);
        if (unwanted != null) {
            unwanted.attempt().abandon();
            cancelledAttempts.add(attempt);
            deliver(
                    inFlightQueries.get(attempt.shardRequest.query),
                    new QueryAction.CancelAttempt(unwanted.attempt()));
        }
    }

    @Override
    public void answer(Query query, boolean whole) {
        InFlightQuery q = inFlightQueries.get(query);
        List<QueryAction.ShardValue> values = new ArrayList<>();
        if (slicing != null) {
            LayoutCompleteness completeness = slicing.completenessOf(query);
            LayoutCompleteness.CompleteParts counted = completeness.completeParts(query);
            for (KeyRangeRequest piece : counted.requests()) {
                if (q.pagedQuery != null) {
                    q.countedPages.add(q.partialPages.get(piece));
                }
                values.add(
                        new QueryAction.ShardValue(
                                piece.shard,
                                q.shardValues.get(piece),
                                new QueryAction.KeyCoverage(
                                        piece.keys.from(),
                                        piece.keys.to(),
                                        completeness.requestedSlicesIn(piece.keys))));
            }
            finish(q, new QueryAction.Answer(whole, values, counted.version()));
            return;
        }
        for (ShardRequest request : query.shardRequests) {
            if (request.isAnswered()) {
                values.add(
                        new QueryAction.ShardValue(
                                request.shard, q.shardValues.get(request), null));
            }
        }
        finish(q, new QueryAction.Answer(whole, values, 0));
    }

    @Override
    public void reject(Query query, Duration comeBack) {
        finish(inFlightQueries.get(query), new QueryAction.Reject(comeBack));
    }

    @Override
    public void abort(Query query) {
        finish(inFlightQueries.get(query), new QueryAction.Abort());
    }

    @Override
    public void wakeAfter(Duration wait) {
        schedule(now().plus(wait), () -> policy.onWakeUp(now()));
    }

    @Override
    public void probe(DataNode node) {
        Object mark = new Object();
        pendingHealthChecks.put(node, mark);
        deliver(null, new QueryAction.HealthCheck(endpoints.nameOf(node), addresses.get(node)));
        schedule(
                now().plus(healthCheckTimeout),
                () -> {
                    if (pendingHealthChecks.remove(node, mark)) {
                        policy.onProbeResult(now(), node, false);
                    }
                });
    }

    @Override
    public void log(String text) {
        LOG.log(System.Logger.Level.INFO, text);
    }
}
