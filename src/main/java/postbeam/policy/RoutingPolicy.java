package postbeam.policy;

import java.time.Duration;
import java.util.*;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.Cluster;
import postbeam.model.DataNode;
import postbeam.model.HealthState;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.Readiness;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;
import postbeam.model.SlidingWindowCounter;
import postbeam.model.Tenant;
import postbeam.model.Zone;

/**
 * calls one method for each thing that happens, in order, and {@link #onBatchEnd} once all that
 * came together is told. It acts by calling {@link PolicyActions}; facts stand in postbeam.model.
 * It reads no clock and looks at no names; times are spans since the start. The order of free slots
 * is non-preemptive SEDPT-R (Sun et al.); docs/design.md tells what was kept and added, and why.
 */
public final class RoutingPolicy {
    // ---- constants: unit, and why this size
    /** Parts: the window at the start, as the design page has it, and the least it falls to. */
    private static final int WINDOW_START = 32;

    private static final int WINDOW_LEAST = 4;

    /**
     * Parts: what all routers together may have out at each node, even with the narrowest windows.
     */
    private static final double PARTS_A_NODE = 2.5;

    /** Share of the SLO time from which a part is late, and parts it narrows the window by. */
    private static final double LATE_SHARE = 0.25;

    private static final int LATE_STEP = 2;

    /**
     * Shares of the SLO time within which a query is begun or rejected: usually, and if worth
     * little.
     */
    private static final double START_SHARE = 0.4;

    private static final double START_SHARE_LITTLE = 0.1;

    /**
     * Share of the window up to which a query worth little is begun, and from which the window is
     * in use.
     */
    private static final double IN_USE_SHARE = 0.6;

    /**
     * Oldest open queries that compete for slots: more than most limits allow, and it bounds a
     * turn.
     */
    private static final int CANDIDATES = 48;

    /** Share of parts in flight that may be spares, as the design page has it. */
    private static final double SPARE_SHARE = 0.1;

    /**
     * Share of the SLO time after which a part out marks its node as stuck, as the design page has
     * it.
     */
    private static final double STUCK_SHARE = 0.5;

    /**
     * Shares of the SLO time between which a leaf call becomes overdue: a second try is in time.
     */
    private static final double OVERDUE_LEAST = 0.45;

    private static final double OVERDUE_MOST = 0.6;

    /**
     * Times the usual time that the slowest of many parts takes: past this one is no longer just
     * unlucky.
     */
    private static final double SLOWEST_TIMES = 2.5;

    /**
     * Places of the usual node, the fastest first: the middle, unless so many times as slow as the
     * other.
     */
    private static final double USUAL_PLACE = 0.5;

    private static final double SOUND_PLACE = 0.33;
    private static final double SOUND_TIMES = 2;

    /** Times the usual node's slowness, from which a node is held to be slow. */
    private static final double SLOW_TIMES = 3;

    /** How long a slow or failing node is remembered without a new answer; a few queries' worth. */
    private static final Duration HEALTH_MEMORY = Duration.ofSeconds(4);

    /**
     * Share of failures among a node's outcomes from which it is avoided, and the fewest that say
     * so.
     */
    private static final double FAILING_SHARE = 0.3;

    private static final int FAILURES_LEAST = 2;

    /** The same for a zone, whose nodes fail together only if the way there does. */
    private static final double ZONE_FAILING_SHARE = 0.5;

    private static final int ZONE_FAILURES_LEAST = 4;

    /** How often a node counts among its zone's: in a small zone a few bad ones are no bad zone. */
    private static final Duration ZONE_COUNTS = Duration.ofSeconds(2);

    /** First and longest time for which a failing node is left alone; doubled by each strike. */
    private static final Duration AVOID_FIRST = Duration.ofMillis(500);

    private static final Duration AVOID_LONGEST = Duration.ofSeconds(4);

    /** Weight of a new answer in a node's smoothed slowness: about the last four count. */
    private static final double SMOOTHING = 0.25;

    /**
     * Weights with which a vertical's quiet time falls to a faster answer and creeps up to a slower
     * one.
     */
    private static final double QUIET_FALL = 0.2;

    private static final double QUIET_RISE = 0.01;
    private static final double QUIET_SPAN =
            20; // seconds of creeping at least: a short jam is not quiet

    /** Share of the SLO time taken for a part's quiet time before any answer has shown it. */
    private static final double QUIET_GUESS = 0.1;

    /**
     * Calls that a suspect node counts for when an offset is chosen: more than a sound one mostly
     * has.
     */
    private static final int SUSPECT_CALLS = 4;

    /**
     * Seconds of work a second that a warm node does at least: two cores'; smaller machines are
     * rare.
     */
    private static final double WARM_WORK = 2.0;

    /**
     * Share of a cold node's budget that is used: the rest is for what travels while it is counted.
     */
    private static final double COLD_SAFETY = 0.9;

    /**
     * Routers from which their even shares of a cold node's budget are so small that lots round
     * them.
     */
    private static final int COLD_LOTS_FROM = 9;

    /** Share of the limit on held queries and parts from which the router is crowded. */
    private static final double CROWDED_SHARE = 0.7;

    /**
     * How long a crash counts as a sign of queries that crash nodes, and how many such tell of
     * them.
     */
    private static final Duration CRASH_MEMORY = Duration.ofSeconds(10);

    private static final int CRASHES_LEAST = 2;

    /**
     * How long customers' queries and this router's work are counted; queries a customer may be
     * ahead.
     */
    private static final Duration SHARE_SPAN = Duration.ofSeconds(5);

    private static final double SHARE_AHEAD = 2;

    /** Time between looks at open queries: fine beside SLO times, coarse beside a turn. */
    private static final Duration LOOK = Duration.ofMillis(20);

    /**
     * Time before the client's limit at which the last word is given: two looks, and one to spare.
     */
    private static final Duration LAST_WORD = LOOK.multipliedBy(3);

    /** Time a client is told to wait after a rejection while the router is crowded. */
    private static final Duration COME_BACK = Duration.ofMillis(300);

    /** Weights of parts add up to 1 but for rounding. */
    private static final double ROUNDING = 0.00005;

    /**
     * Buckets in which a span is kept: coarse enough to be cheap, fine enough to lose a fiftieth.
     */
    private static final int BUCKETS = 50;

    private final PolicyActions actions;
    private final Random chance;
    private final Cluster cluster;
    private final AdmissionControl held;
    private final AttemptLimits calls;
    private final RetryBudget further;
    private final SlowStart cold;
    private final List<Query> open = new ArrayList<>();
    private final Set<Zone> zones = new LinkedHashSet<>();
    private final Set<DataNode> resting = new LinkedHashSet<>();
    private double window = WINDOW_START;
    private Duration halvedAt;
    private int inFlight;

    /** Nodes that the list tells to have died or started anew with no drain before. */
    private final SlidingWindowCounter crashes = new SlidingWindowCounter(CRASH_MEMORY, BUCKETS);

    private boolean waking, crowded;

    /** Spares in flight: parts out beyond what their queries still need. */
    private int spares;

    private Duration usualAt;
    private double usual;

    public RoutingPolicy(
            PolicyActions actions,
            Random chance,
            Cluster cluster,
            AdmissionControl held,
            AttemptLimits calls,
            RetryBudget further,
            SlowStart cold) {
        this.actions = actions;
        this.chance = chance;
        this.cluster = cluster;
        this.held = held;
        this.calls = calls;
        this.further = further;
        this.cold = cold;
        // Our zone first, then by place within a shard's reach: one offset leads neighbouring
        // shards to the
        // same nodes, and their parts share calls, which have a cost.
        if (calls.batchingEnabled) {
            int reach = cluster.replicationFactor();
            cluster.setReplicaOrder(
                    Comparator.comparingInt(n -> (n.zone.local ? 0 : reach) + n.cell % reach));
        }
    }

    /** Whether the node is left alone for now, as it lately failed. */
    public boolean isEjected(DataNode node) {
        return node.ejectedUntil != null;
    }

    // ---- what can happen
    public void onNodeUpdate(Duration now, DataNode node, Readiness readiness, Duration startedAt) {
        boolean fresh = node.recentWorkSent == null;
        if (fresh) {
            node.recentWorkSent = cold.ring();
            node.samplingThreshold = chance.nextDouble();
            zones.add(node.zone);
            node.startMeasuring(HEALTH_MEMORY, BUCKETS);
            node.zone.startMeasuring(HEALTH_MEMORY, BUCKETS);
        }
        if (readiness == Readiness.REMOVED) {
            cluster.remove(node);
        } else if (fresh || node.readiness() == Readiness.REMOVED) {
            cluster.add(node);
        }
        if (!fresh
                && node.readiness() == Readiness.READY
                && (readiness == Readiness.REMOVED
                        || startedAt != null && !startedAt.equals(node.startedAt()))) {
            crashes.add(now, 1);
        }
        if (startedAt != null && !startedAt.equals(node.startedAt())) {
            node.slowdown = 0;
            node.ejectionCount = 0;
            node.ejectedUntil = null;
            node.probeInFlight = false;
        }
        node.update(readiness, startedAt);
        if (startedAt != null
                && node.unreachableAt != null
                && node.unreachableAt.compareTo(startedAt) < 0) {
            node.unreachableAt = null;
        }
    }

    public void onQuery(Duration now, Query query) {
        open.add(query);
        further.requests().add(now, 1);
        dateBack(query.queryClass(), query, query.deadline.minus(now));
        if (held.beyondShare(now, query.tenant)) {
            query.markOverQuota();
        }
    }

    /**
     * Guards against work for repeats whose SLO time, which runs from the first try, is over or
     * nearly so: one that may wait less than a first try has what is left of its client's whole
     * time. It could hurt where clients give their repeats less time for reasons of their own.
     */
    private static void dateBack(QueryClass queryClass, Query query, Duration wait) {
        if (!query.isClientRetry()) {
            queryClass.firstTryTimeout =
                    queryClass.firstTryTimeout == null
                                    || wait.compareTo(queryClass.firstTryTimeout) < 0
                            ? wait
                            : queryClass.firstTryTimeout.plus(
                                    times(wait.minus(queryClass.firstTryTimeout), SMOOTHING));
        } else if (queryClass.totalClientTimeout != null
                && queryClass.firstTryTimeout != null
                && wait.plus(LAST_WORD).compareTo(queryClass.firstTryTimeout) < 0) {
            query.backdateTo(query.deadline.minus(queryClass.totalClientTimeout));
        }
    }

    public void onShardRequest(Duration now, ShardRequest request) {
        further.requests().add(now, 1);
    }

    public void onAttemptEnded(
            Duration now,
            Attempt attempt,
            AttemptOutcome outcome,
            Duration took,
            boolean partOver) {
        attempt.end();
        inFlight--;
        ShardRequest request = attempt.shardRequest;
        Query query = request.query;
        if (!outcome.provesNotExecuted) {
            request.recordPossibleExecution(attempt.sentAt);
        }
        // What was sent before the last halving tells nothing new: else a few full nodes close the
        // window.
        if (outcome == AttemptOutcome.OVERLOADED
                && attempt.node.ejectedUntil == null
                && (halvedAt == null || attempt.sentAt.compareTo(halvedAt) > 0)) {
            halvedAt = now;
            window = Math.max(leastWindow(), window / 2);
        }
        learn(now, attempt, outcome, took);
        attempt.node.unreachableAt =
                outcome == AttemptOutcome.UNREACHABLE ? now : attempt.node.unreachableAt;
        if (outcome == AttemptOutcome.RESET) {
            query.recordReset();
            if (attempt.isCanary()) {
                query.markPoisoned();
            }
        }
        if (outcome == AttemptOutcome.SUCCESS && !query.hasEnded() && !request.isAnswered()) {
            request.markAnswered();
            // Guards against a wide window while every node is slow, which no rejection tells: late
            // parts
            // narrow it where the usual node is slow too. It grows only in use.
            Duration limit = times(query.queryClass().latencyObjective, LATE_SHARE);
            boolean late =
                    took.compareTo(limit) > 0
                            && usualTime(now, query.queryClass(), 2).compareTo(limit) > 0;
            window =
                    Math.max(
                            leastWindow(),
                            late
                                    ? window - LATE_STEP
                                    : inFlight + 1 >= window * IN_USE_SHARE ? window + 1 : window);
            cancelAll(request);
        } else if (outcome == AttemptOutcome.NEVER_SENT || partOver) {
            request.close();
        }
    }

    public void onClientDisconnected(Duration now, Query query) {
        end(query);
    }

    public void onWakeUp(Duration now) {
        waking = false;
    }

    public void onProbeResult(Duration now, DataNode node, boolean answered) {
        node.probeInFlight = false;
        if (answered) {
            node.ejectedUntil = null;
        } else {
            strike(now, node);
        }
    }

    /** All that came in together has been told. */
    public void onBatchEnd(Duration now) {
        crowded = held.crowded(open);
        for (Query query : new ArrayList<>(open)) {
            settle(now, query);
        }
        lookAfter(now);
        open.forEach(query -> callBack(now, query));
        fill(now);
        if (!open.isEmpty() && !waking) {
            waking = true;
            actions.wakeAfter(LOOK);
        }
    }

    // ---- when to answer, and when to give up
    private void settle(Duration now, Query query) {
        double in = query.answeredWeight();
        double possible =
                query.weightOf(
                        request ->
                                request.isAnswered()
                                        || !request.attemptsInFlight.isEmpty()
                                        || mayStillSend(now, request));
        Duration left = query.deadline.minus(now);
        boolean coming =
                query.shardRequests
                        .isEmpty(); // a second step's parts come a turn after the first is answered
        if (!coming && in + ROUNDING >= query.queryClass().requiredWeight) {
            answerWhole(query);
        } else if (left.compareTo(LAST_WORD) <= 0
                || query.isPoisoned()
                || partialIsBest(now, query, in)
                || !coming
                        && possible + ROUNDING < query.queryClass().requiredWeight
                        && (in + ROUNDING >= possible
                                || possible + ROUNDING < query.queryClass().minimumWeight)
                || lateForGood(now, query)
                || query.hasNotStarted() && noLongerBegun(now, query)) {
            giveUp(now, query);
        }
    }

    /**
     * The answer to all that was asked so far: the final one, or what brings the second step's
     * parts.
     */
    private void answerWhole(Query query) {
        if (query.queryClass().secondStep == null) {
            end(query);
        } else {
            query.shardRequests.forEach(this::cancelAll);
            query.beginSecondStep();
        }
        actions.answer(query, true);
    }

    /** What is only late may still come: throwing it away would feed an overload. */
    private boolean lateForGood(Duration now, Query query) {
        return tooLate(now, query, 1)
                && (query.queryClass().lateUtility == 0
                        || crowded
                                && (query.requestsNeeded() > query.requestsInFlight()
                                        || now.minus(query.sloDeadline())
                                                        .compareTo(
                                                                times(
                                                                        query.queryClass()
                                                                                .latencyObjective,
                                                                        STUCK_SHARE))
                                                > 0));
    }

    /**
     * Guards against overload of any cause: what can't begin soon is told so while its client can
     * act.
     */
    private boolean noLongerBegun(Duration now, Query query) {
        double waited =
                seconds(now.minus(query.arrivedAt)) / seconds(query.queryClass().latencyObjective);
        return hopeless(now, query)
                || waited > START_SHARE
                || waited > START_SHARE_LITTLE && worthLittle(now, query);
    }

    /**
     * The SLO time is about to pass, and what is in is worth more now than a whole answer after it.
     */
    private static boolean partialIsBest(Duration now, Query query, double in) {
        QueryClass queryClass = query.queryClass();
        return queryClass.secondStep == null
                && queryClass.minimumWeight < queryClass.requiredWeight
                && in + ROUNDING >= queryClass.minimumWeight
                && queryClass.partialUtility * in / queryClass.requiredWeight
                        > queryClass.lateUtility
                && now.plus(LAST_WORD).compareTo(query.sloDeadline()) >= 0;
    }

    /** Its SLO time is over, or so many usual times for what is unsent last past its end. */
    private boolean tooLate(Duration now, Query query, double rounds) {
        Duration done =
                query.requestsNeeded() > query.requestsInFlight()
                        ? now.plus(usualTime(now, query.queryClass(), rounds))
                        : now;
        done =
                query.queryClass().secondStep == null
                        ? done
                        : done.plus(usualTime(now, query.queryClass().secondStep, 1));
        return done.compareTo(query.sloDeadline()) >= 0;
    }

    /**
     * Guards against beginning what the usual time brings past its client's limit or SLO time, over
     * and over. While nothing else is out it is tried: what was learnt may be out of date.
     */
    private boolean hopeless(Duration now, Query query) {
        double slowest =
                query.queryClass().acceptsSubset() || query.shardRequests.size() == 1
                        ? 1
                        : Math.max(
                                SLOWEST_TIMES,
                                query.queryClass().minimumWeight
                                        * query.shardRequests.size()
                                        / window);
        Duration left = min(query.sloDeadline(), query.deadline.minus(LAST_WORD)).minus(now);
        QueryClass second = query.queryClass().secondStep;
        left = second == null ? left : left.minus(usualTime(now, second, slowest));
        return inFlight > 0
                && query.queryClass().baselineLatency != null
                && left.compareTo(usualTime(now, query.queryClass(), slowest)) < 0;
    }

    /** What the window as it is would bring too late only comes last: the window grows in use. */
    private boolean worthLittle(Duration now, Query query) {
        return query.isOverQuota()
                || tooLate(now, query, 1 + query.requestsNeeded() / window)
                || query.hasNotStarted() && !placeable(now, query);
    }

    /**
     * Guards against work for queries that a shard without a sound node, or with cold ones alone,
     * will spoil: where others wait, they come last. Alone, they are tried all the same.
     */
    private boolean placeable(Duration now, Query query) {
        chooseOffset(now, query);
        return query.requestsNeeded()
                <= query.countRequests(
                        request -> {
                            DataNode node = chooseNode(now, request);
                            return node != null && !suspect(now, node, query.queryClass());
                        });
    }

    /**
     * The final answer at once: from what is in where the floor allows it, else rejected where
     * harmless.
     */
    private void giveUp(Duration now, Query query) {
        double in = query.answeredWeight();
        boolean harmless =
                query.queryClass().sideEffects == SideEffects.IDEMPOTENT
                        || query.firstStepRequests.isEmpty()
                                && query.countRequests(
                                                request ->
                                                        request.mayHaveExecutedSince() != null
                                                                || !request.attemptsInFlight
                                                                        .isEmpty())
                                        == 0;
        end(query);
        if (in > 0
                && in + ROUNDING >= query.queryClass().minimumWeight
                && query.queryClass().secondStep == null) {
            actions.answer(query, false);
        } else if (harmless) {
            actions.reject(query, held.comeBack(crowded));
        } else {
            actions.abort(query);
        }
    }

    private void end(Query query) {
        query.end();
        open.remove(query);
        crowded = held.crowded(open);
        query.shardRequests.forEach(this::cancelAll);
    }

    private void cancelAll(ShardRequest request) {
        for (Attempt attempt : request.attemptsInFlight) {
            if (calls.cancellationAllowed && !attempt.isCancellationRequested()) {
                attempt.requestCancellation();
                actions.cancel(attempt);
            }
        }
    }

    // ---- which query gets a free slot: SEDPT-R
    /** Parts in flight that can be counted on: an overdue part counts no more. */
    private int delta(Duration now, Query query) {
        return query.countRequests(request -> counted(now, request));
    }

    private boolean counted(Duration now, ShardRequest request) {
        for (Attempt attempt : request.attemptsInFlight) {
            if (!attempt.isCancellationRequested() && !lost(now, attempt)) {
                return !request.isAnswered();
            }
        }
        return false;
    }

    /**
     * This router's share of a few parts a node: less would leave nodes idle while queries wait.
     */
    private double leastWindow() {
        return Math.max(WINDOW_LEAST, PARTS_A_NODE * cluster.size() / cold.routerCount());
    }

    private void fill(Duration now) {
        // A lost call holds no slot: else links that swallow calls would fill the window.
        int lost =
                open.stream()
                        .mapToInt(
                                query ->
                                        query.countRequests(
                                                p ->
                                                        !p.attemptsInFlight.isEmpty()
                                                                && !counted(now, p)))
                        .sum();
        if (inFlight - lost >= window) {
            return;
        }
        spares =
                open.stream()
                        .mapToInt(
                                query ->
                                        Math.max(
                                                0,
                                                query.requestsInFlight() - query.requestsNeeded()))
                        .sum();
        PriorityQueue<Candidate> candidates = new PriorityQueue<>(ORDER);
        for (Query query : open.subList(0, Math.min(open.size(), CANDIDATES))) {
            candidates.add(
                    new Candidate(
                            query,
                            query.requestsNeeded() - delta(now, query),
                            worthLittle(now, query),
                            candidates.size()));
        }
        while (inFlight - lost < window && !candidates.isEmpty()) {
            Candidate best = candidates.poll();
            Query query = best.q;
            boolean room =
                    !query.hasNotStarted()
                            || !best.little
                            || inFlight - lost < window * IN_USE_SHARE;
            if (room && sendNext(now, query, best.value)) {
                candidates.add(
                        new Candidate(
                                query,
                                query.requestsNeeded() - delta(now, query),
                                best.little,
                                best.place));
            }
        }
    }

    private record Candidate(Query q, int value, boolean little, int place) {}

    /** Among equals, what is worth little comes last, then the oldest first. */
    private static final Comparator<Candidate> ORDER =
            Comparator.comparingInt(Candidate::value)
                    .thenComparing(Candidate::little)
                    .thenComparing(c -> c.q.sloDeadline())
                    .thenComparing(Candidate::place);

    /**
     * Sends the query's next part; false where none. In a narrow window a spare lengthens the wait.
     */
    private boolean sendNext(Duration now, Query query, int value) {
        boolean anyN = query.queryClass().acceptsSubset();
        if (value <= 0
                        && (!anyN
                                || window < WINDOW_START
                                || spares + 1 > SPARE_SHARE * (inFlight + 1))
                || anyN && query.requestsInFlight() > query.requestsNeeded()
                || scouted(now, query) && delta(now, query) > 0) {
            return false;
        }
        chooseOffset(now, query);
        ShardRequest bestPart = null;
        DataNode bestNode = null;
        double bestRank = Double.MAX_VALUE;
        for (ShardRequest request : query.shardRequests) {
            DataNode node =
                    request.isAnswered() || counted(now, request) || !maySendNow(now, request)
                            ? null
                            : chooseNode(now, request);
            if (node == null) {
                continue;
            }
            // First parts before copies. Where any n will do, those whose nodes have least to do;
            // where less
            // than all will do, the quickest: what a few popular shards jam is left for the end.
            double rank =
                    (request.attemptsInFlight.isEmpty() ? 0 : 1000)
                            + (anyN
                                    ? node.batchesInFlight()
                                            + (suspect(now, node, query.queryClass())
                                                    ? SUSPECT_CALLS
                                                    : 0)
                                    : query.queryClass().minimumWeight < 1
                                            ? (1 + node.attemptsInFlight.size()) * beside(now, node)
                                            : 0);
            if (rank < bestRank) {
                bestPart = request;
                bestNode = node;
                bestRank = rank;
            }
        }
        if (bestPart != null) {
            spares += value <= 0 ? 1 : 0;
            send(now, bestPart, bestNode);
        }
        return bestPart != null;
    }

    /**
     * Guards against a query whose parts crash the nodes that begin them: while nodes crash, one
     * part goes ahead and the others follow once one is merged; a query that lost such a part is
     * given up. It costs the time of a part, and could hurt where nodes crash for other reasons and
     * time is short.
     */
    private boolean scouted(Duration now, Query query) {
        return query.countRequests(request -> request.isAnswered()) == 0
                && (query.resetCount() > 0
                        || crashes.upperBoundSum(now, CRASH_MEMORY) >= CRASHES_LEAST);
    }

    private void send(Duration now, ShardRequest request, DataNode node) {
        if (!request.attempts.isEmpty()) {
            further.retries().add(now, 1);
        }
        cold.sent(
                now,
                node,
                cluster.acquiredAt(request.shard, node),
                cold.work(request, quiet(request.query.queryClass())));
        Attempt attempt = new Attempt(request, node, now, timeout(now, request.query));
        if (scouted(now, request.query)) {
            attempt.markCanary();
        }
        // What is decided on in the window may wait for a connection past its end.
        if (request.query.queryClass().sideEffects == SideEffects.DEDUPLICATED
                && request.mayHaveExecutedSince() != null) {
            attempt.limitSendTime(
                    request.mayHaveExecutedSince()
                            .plus(request.query.queryClass().deduplicationWindow)
                            .minus(LOOK));
        }
        node.zone.trialAttempt =
                node.zone.ejectionCount > 0 && !shunned(now, node.zone)
                        ? attempt
                        : node.zone.trialAttempt;
        inFlight++;
        actions.send(attempt);
    }

    /**
     * A leaf call runs as long as its answer is of use; a side-effecting one as long as its client
     * waits.
     */
    private static Duration timeout(Duration now, Query query) {
        Duration useful =
                (query.queryClass().lateUtility > 0 ? query.deadline : query.sloDeadline())
                        .minus(now);
        return query.queryClass().sideEffects == SideEffects.NON_IDEMPOTENT
                ? null
                : Collections.max(List.of(LOOK, useful));
    }

    /**
     * Calls off what is out to silent nodes and keeps a part from going elsewhere: where copies are
     * barred, or an any-n query has all its places out. A time-out would also throw away the wait
     * of calls that only wait their turn: when all nodes are slow that feeds the overload.
     */
    private void callBack(Duration now, Query query) {
        QueryClass queryClass = query.queryClass();
        if (calls.hedgingAllowed
                && (!query.queryClass().acceptsSubset()
                        || query.requestsInFlight() <= query.requestsNeeded())) {
            return;
        }
        for (ShardRequest request : query.shardRequests) {
            if (request.attemptsInFlight.isEmpty()
                    || request.isAnswered()
                    || !mayStillSend(now, request)) {
                continue;
            }
            Attempt attempt = request.attemptsInFlight.get(0);
            if (silent(now, attempt)
                    && further.allowed(now)
                    && queryClass.sideEffects != SideEffects.NON_IDEMPOTENT
                    && (queryClass.sideEffects == SideEffects.IDEMPOTENT
                            || inWindow(now.plus(LAST_WORD), attempt.sentAt, queryClass))) {
                DataNode other = chooseNode(now, request);
                if (other != null && !suspect(now, other, queryClass)) {
                    cancelAll(request);
                }
            }
        }
    }

    private static boolean inWindow(Duration now, Duration sentAt, QueryClass queryClass) {
        return queryClass.deduplicationWindow != null
                && now.minus(sentAt).compareTo(queryClass.deduplicationWindow) < 0;
    }

    // ---- which replica
    /**
     * The offset whose nodes have fewest of our parts out; then the one that crosses zones least.
     */
    private void chooseOffset(Duration now, Query query) {
        if (query.hasReplicaOffset()) {
            return;
        }
        int most =
                query.shardRequests.stream()
                        .mapToInt(request -> cluster.replicas(request.shard).size())
                        .reduce(1, Math::max);
        int first = chance.nextInt(most);
        int best = first;
        double least = Double.MAX_VALUE;
        for (int i = 0; i < most; i++) {
            int offset = (first + i) % most;
            Set<DataNode> nodes = new HashSet<>();
            double cost = 0;
            for (ShardRequest request : query.shardRequests) {
                List<DataNode> replicas = cluster.replicas(request.shard);
                if (!replicas.isEmpty()) {
                    DataNode node = replicas.get(offset % replicas.size());
                    cost += node.zone.local ? 0 : 0.01;
                    if (nodes.add(node) || !calls.batchingEnabled) {
                        cost +=
                                node.batchesInFlight()
                                        + (suspect(now, node, query.queryClass())
                                                ? SUSPECT_CALLS
                                                : 0);
                    }
                }
            }
            if (cost < least) {
                least = cost;
                best = offset;
            }
        }
        query.chooseReplicaOffset(best);
    }

    /**
     * The node at the query's offset, or the next that is better placed; null where none may take
     * the part. Suspicion never shuts out all replicas: the least bad is taken.
     */
    private DataNode chooseNode(Duration now, ShardRequest request) {
        List<DataNode> replicas = cluster.replicas(request.shard);
        DataNode best = null;
        double bestRank = Double.MAX_VALUE;
        for (int i = 0; i < replicas.size(); i++) {
            DataNode node = replicas.get((request.query.replicaOffset() + i) % replicas.size());
            // Guards against light parts alone passing, of which each router has some: they count
            // as usual.
            Duration work =
                    Collections.max(
                            List.of(quiet(request.queryClass), cold.work(request, Duration.ZERO)));
            if (node.readiness() != Readiness.READY
                    || !cold.allows(now, node, cluster.acquiredAt(request.shard, node), work)) {
                continue;
            }
            // What can't be sent again is no trial of a node that failed: one that hangs may answer
            // probes.
            double rank =
                    suspect(now, node, request.query.queryClass())
                            ? 2
                            : node.ejectionCount > 0
                                            && request.query.queryClass().sideEffects
                                                    == SideEffects.NON_IDEMPOTENT
                                    ? 1
                                    : 0;
            // Guards against a part's few calls spent within a round trip on holders that are all
            // down: one
            // that failed it gets it again once no longer left alone. It could hurt where it is
            // back unseen.
            boolean here = false;
            for (Attempt attempt : request.attempts) {
                rank += attempt.node == node ? 1 : 0;
                here |= attempt.node == node && (!attempt.hasEnded() || node.ejectedUntil != null);
            }
            double load =
                    calls.batchingEnabled
                            ? 0
                            : (1 + node.attemptsInFlight.size()) * beside(now, node);
            if (!here
                    && (request.attemptsInFlight.isEmpty() || rank == 0)
                    && 100 * rank + load < bestRank) {
                best = node;
                bestRank = 100 * rank + load;
            }
        }
        return best;
    }

    /**
     * How slow the node lately was beside the usual one, with waiting and the way; 1 where not
     * known.
     */
    private double beside(Duration now, DataNode node) {
        boolean lately = node.slowdown > 0 && node.hasAnsweredSince(now.minus(HEALTH_MEMORY));
        return lately ? node.slowdown / usualSlowness(now) : 1;
    }

    // ---- health of nodes, from our own leaf calls alone
    /**
     * Guards against a node that is silent, slow, failing or unreachable, whatever the cause: our
     * own calls show it. It also catches a node the list names ready that is dead, and a zone cut
     * off. It could hurt when all nodes are slow alike, so slowness is measured against the usual
     * node.
     */
    private boolean suspect(Duration now, DataNode node, QueryClass queryClass) {
        Attempt oldest = node.oldestAttemptInFlight();
        return node.ejectedUntil != null
                || node.ejectionCount > 0 && oldest != null
                || shunned(now, node.zone)
                || oldest != null
                        && (silent(now, oldest)
                                || now.minus(oldest.sentAt)
                                                .compareTo(
                                                        times(
                                                                queryClass.latencyObjective,
                                                                STUCK_SHARE))
                                        > 0)
                || beside(now, node) > SLOW_TIMES;
    }

    private void learn(Duration now, Attempt attempt, AttemptOutcome outcome, Duration took) {
        DataNode node = attempt.node;
        QueryClass queryClass = attempt.shardRequest.queryClass;
        if (outcome == AttemptOutcome.SUCCESS) {
            // The first answer may be a slow one, and of a rare vertical the next comes late: what
            // the nodes
            // are like to the others is taken off it.
            Duration known =
                    queryClass.baselineLatency == null
                            ? times(took, 1 / usualSlowness(now))
                            : queryClass.baselineLatency;
            double weight =
                    took.compareTo(known) < 0
                            ? QUIET_FALL
                            : Math.min(
                                    QUIET_RISE,
                                    seconds(now.minus(queryClass.baselineUpdatedAt)) / QUIET_SPAN);
            queryClass.baselineUpdatedAt = now;
            queryClass.baselineLatency = known.plus(times(took.minus(known), weight));
            node.recordAnswer(now, attempt.sentAt);
            cluster.recordAnswer(node);
            node.recentSuccesses.add(now, 1);
            node.ejectionCount = Math.max(0, node.ejectionCount - 1);
        }
        double slow = seconds(took) / Math.max(0.001, seconds(quiet(queryClass)));
        boolean unanswered =
                outcome == AttemptOutcome.TIMEOUT || outcome == AttemptOutcome.CANCELLED;
        if (outcome == AttemptOutcome.SUCCESS || unanswered && slow > node.slowdown) {
            node.slowdown =
                    node.slowdown == 0 ? slow : node.slowdown + SMOOTHING * (slow - node.slowdown);
        }
        // Guards against links that swallow calls and nodes that answer none: once the call is over
        // nothing
        // else would tell of it. It could hurt where a sound node is merely late to its only call
        // of ours.
        boolean late = took.compareTo(overdueAfter(now, queryClass)) > 0;
        boolean broken =
                outcome == AttemptOutcome.UNREACHABLE
                        || outcome == AttemptOutcome.RESET
                        || unanswered && late && !node.hasAnsweredSince(attempt.sentAt);
        learnZone(now, attempt, broken || late);
        if (broken || outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.OVERLOADED) {
            node.recentFailures.add(now, 1);
            if (broken || failing(now, node, FAILURES_LEAST, FAILING_SHARE)) {
                strike(now, node);
            }
        }
    }

    private static boolean failing(Duration now, HealthState health, int least, double share) {
        double failed = health.recentFailures.upperBoundSum(now, HEALTH_MEMORY);
        return failed >= least
                && failed
                        >= share
                                * (failed
                                        + health.recentSuccesses.upperBoundSum(now, HEALTH_MEMORY));
    }

    /**
     * Guards against a way to a whole zone that is cut, slow or lossy, for us or for all: a router
     * meets each node too seldom to learn it there. Where most calls to its nodes failed lately,
     * one at a time shows if it is sound again. It could hurt where nodes fail for reasons of their
     * own, so several must.
     */
    private void learnZone(Duration now, Attempt attempt, boolean failed) {
        Zone zone = attempt.node.zone;
        if (attempt == zone.trialAttempt && !failed) {
            zone.ejectionCount = 0;
            zone.ejectedUntil = null;
        }
        if (attempt.node.countedByZoneAt != null
                && now.minus(attempt.node.countedByZoneAt).compareTo(ZONE_COUNTS) < 0) {
            return;
        }
        attempt.node.countedByZoneAt = now;
        (failed ? zone.recentFailures : zone.recentSuccesses).add(now, 1);
        if (failed
                && (attempt == zone.trialAttempt
                        || failing(now, zone, ZONE_FAILURES_LEAST, ZONE_FAILING_SHARE))) {
            strike(now, zone);
        }
    }

    private boolean shunned(Duration now, Zone zone) {
        boolean onTrial = zone.trialAttempt != null && !zone.trialAttempt.hasEnded();
        return zone.ejectionCount > 0
                && (onTrial || now.compareTo(zone.ejectedUntil) < 0)
                && zones.stream().anyMatch(other -> other.ejectionCount == 0);
    }

    /** Leaves it alone for a while, longer each time; what happens in that while adds nothing. */
    private void strike(Duration now, HealthState health) {
        if (health.ejectedUntil == null || now.compareTo(health.ejectedUntil) >= 0) {
            health.ejectedUntil =
                    now.plus(
                            min(
                                    AVOID_LONGEST,
                                    AVOID_FIRST.multipliedBy(
                                            1L << Math.min(health.ejectionCount, 10))));
            health.ejectionCount++;
            if (health instanceof DataNode node) {
                resting.add(node);
            }
        }
    }

    /**
     * The way back of a node left alone: a probe first, which costs next to nothing beside a part
     * lost, then one part at a time until one is merged, since a node that serves nothing may
     * answer probes.
     */
    private void lookAfter(Duration now) {
        for (DataNode node : List.copyOf(resting)) {
            if (node.ejectedUntil == null || node.readiness() == Readiness.REMOVED) {
                resting.remove(node);
            } else if (now.compareTo(node.ejectedUntil) >= 0 && !node.probeInFlight) {
                if (calls.probesAllowed && node.readiness() == Readiness.READY) {
                    node.probeInFlight = true;
                    actions.probe(node);
                } else {
                    node.ejectedUntil = null;
                }
            }
        }
    }

    /** Of those that answered lately; sound where half of them are not. */
    private double usualSlowness(Duration now) {
        if (!now.equals(usualAt)) {
            usualAt = now;
            usual = Math.max(1, cluster.slowdownAtQuantile(USUAL_PLACE, now.minus(HEALTH_MEMORY)));
            double sound =
                    Math.max(1, cluster.slowdownAtQuantile(SOUND_PLACE, now.minus(HEALTH_MEMORY)));
            usual = usual > SOUND_TIMES * sound ? sound : usual;
        }
        return usual;
    }

    private Duration usualTime(Duration now, QueryClass queryClass, double factor) {
        return times(quiet(queryClass), usualSlowness(now) * factor);
    }

    private Duration overdueAfter(Duration now, QueryClass queryClass) {
        Duration usual = usualTime(now, queryClass, SLOWEST_TIMES);
        Duration most = times(queryClass.latencyObjective, OVERDUE_MOST);
        if (usual.compareTo(most) > 0) {
            return calls.hedgingAllowed
                    ? most
                    : queryClass.latencyObjective; // a recall loses the wait, a copy nothing
        }
        return Collections.max(List.of(usual, times(queryClass.latencyObjective, OVERDUE_LEAST)));
    }

    /**
     * Overdue, and its node has answered nothing for as long; at once where the node is left alone.
     */
    private boolean silent(Duration now, Attempt attempt) {
        Duration since = now.minus(overdueAfter(now, attempt.shardRequest.queryClass));
        return attempt.node.ejectedUntil != null
                || since.compareTo(attempt.sentAt) > 0 && !attempt.node.hasAnsweredSince(since);
    }

    /**
     * Silent, or overdue and overtaken by a call sent later. One that only waits its turn is not
     * lost.
     */
    private boolean lost(Duration now, Attempt attempt) {
        Duration since = now.minus(overdueAfter(now, attempt.shardRequest.queryClass));
        return silent(now, attempt)
                || since.compareTo(attempt.sentAt) > 0
                        && attempt.node.latestAnsweredSendTime.compareTo(attempt.sentAt) > 0;
    }

    private static Duration quiet(QueryClass queryClass) {
        return queryClass.baselineLatency == null
                ? times(queryClass.latencyObjective, QUIET_GUESS)
                : queryClass.baselineLatency;
    }

    // ---- which further leaf calls are allowed
    /** Whether the part may get a leaf call now or later, as far as its past tells. */
    private boolean mayStillSend(Duration now, ShardRequest request) {
        if (request.isClosed() || request.attempts.size() >= calls.maxAttempts) {
            return false;
        }
        QueryClass queryClass = request.query.queryClass();
        return switch (queryClass.sideEffects) {
            case IDEMPOTENT -> true;
            case DEDUPLICATED ->
                    request.mayHaveExecutedSince() == null
                            || inWindow(now.plus(LOOK), request.mayHaveExecutedSince(), queryClass);
            case NON_IDEMPOTENT -> request.mayHaveExecutedSince() == null;
        };
    }

    private boolean maySendNow(Duration now, ShardRequest request) {
        boolean copy =
                calls.hedgingAllowed
                        && request.query.queryClass().sideEffects == SideEffects.IDEMPOTENT;
        return (request.attemptsInFlight.isEmpty() || copy && request.attemptsInFlight.size() < 2)
                && mayStillSend(now, request)
                && (request.attempts.isEmpty() || further.allowed(now));
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Duration times(Duration span, double factor) {
        return Duration.ofNanos(Math.round(span.toNanos() * factor));
    }

    private static double seconds(Duration span) {
        return span.toNanos() / 1e9;
    }

    private static SlidingWindowCounter ringOf(Duration span) {
        return new SlidingWindowCounter(span == null ? HEALTH_MEMORY : span, BUCKETS);
    }

    /** What may be done with leaf calls; what is not stated is not permitted. */
    public record AttemptLimits(
            int maxAttempts,
            boolean hedgingAllowed,
            boolean cancellationAllowed,
            boolean probesAllowed,
            boolean batchingEnabled) {
        public AttemptLimits(
                Integer most,
                Boolean mayDuplicate,
                Boolean mayCancel,
                Boolean mayProbe,
                Integer partsACall) {
            this(
                    most == null ? 1 : most,
                    Boolean.TRUE.equals(mayDuplicate),
                    Boolean.TRUE.equals(mayCancel),
                    Boolean.TRUE.equals(mayProbe),
                    partsACall == null || partsACall > 1);
        }
    }

    /**
     * The ration of leaf calls beyond each part's first, where one is stated: counted so as to err
     * low.
     */
    public record RetryBudget(
            Double baseAllowance,
            Double retryRatio,
            Duration window,
            SlidingWindowCounter requests,
            SlidingWindowCounter retries) {
        public RetryBudget(Double free, Double share, Duration span) {
            this(
                    free == null ? 0 : free,
                    share == null ? 0 : share,
                    span,
                    ringOf(span),
                    ringOf(span));
        }

        boolean allowed(Duration now) {
            return window == null
                    || retries.upperBoundSum(now, window) + 1
                            <= baseAllowance + retryRatio * requests.lowerBoundSum(now, window);
        }
    }

    /**
     * This router's own share of what a cold node may be sent in any window of the rule. Among many
     * routers it is less than a part: each rounds it by its lot, so that what all can send,
     * whatever comes, is under the budget on the mean, with its root as the spread.
     */
    public record SlowStart(
            Double initialCapacityShare,
            Duration rampDuration,
            Double loadFactor,
            Duration window,
            Integer routerCount,
            Duration callOverhead,
            Duration connectTimeout) {
        public SlowStart {
            initialCapacityShare = initialCapacityShare == null ? 0 : initialCapacityShare;
            routerCount = routerCount == null ? 1 : Math.max(1, routerCount);
            callOverhead = callOverhead == null ? Duration.ZERO : callOverhead;
            connectTimeout = connectTimeout == null ? Duration.ZERO : connectTimeout;
        }

        /**
         * A window as this router counts it: what waits for a connection goes so much later than
         * decided.
         */
        private Duration counted() {
            return window.plus(connectTimeout);
        }

        SlidingWindowCounter ring() {
            return ringOf(window == null ? null : counted());
        }

        Duration work(ShardRequest request, Duration quiet) {
            return request.estimatedWork == null ? quiet : request.estimatedWork.plus(callOverhead);
        }

        /** The time when the node took the part's shard over counts only where there is one. */
        void sent(Duration now, DataNode node, Duration tookAt, Duration work) {
            node.recentWorkSent.add(now, seconds(work));
            if (tookAt != null) {
                node.recentWorkOnAcquiredShards =
                        node.recentWorkOnAcquiredShards == null
                                ? ring()
                                : node.recentWorkOnAcquiredShards;
                node.recentWorkOnAcquiredShards.add(now, seconds(work));
            }
        }

        boolean cold(Duration now, Duration since) {
            return window != null
                    && rampDuration != null
                    && loadFactor != null
                    && since != null
                    && now.minus(since).compareTo(rampDuration.plus(window)) < 0;
        }

        /**
         * Capacity is taken as it was when the window began, so each window is within its budget.
         * Guards too against a rush on shards that a node took over just now, whose data is not
         * warm there: for them it counts as cold, with all that it lately took. What else it holds
         * is not held back.
         */
        boolean allows(Duration now, DataNode node, Duration tookAt, Duration work) {
            return allows(
                            now,
                            node.warmingUpSince(),
                            node.recentWorkSent,
                            node.samplingThreshold,
                            work)
                    && (tookAt == null
                            || allows(
                                    now,
                                    tookAt,
                                    node.recentWorkOnAcquiredShards,
                                    node.samplingThreshold,
                                    work));
        }

        private boolean allows(
                Duration now,
                Duration since,
                SlidingWindowCounter ring,
                double lot,
                Duration work) {
            if (!cold(now, since)) {
                return true;
            }
            double risen =
                    Math.max(0, seconds(now.minus(since).minus(window)) / seconds(rampDuration));
            double rate = loadFactor * (initialCapacityShare * (1 - risen) + risen) * WARM_WORK;
            double even = COLD_SAFETY * rate * seconds(window) / routerCount;
            double sent = ring == null ? 0 : ring.upperBoundSum(now, counted());
            boolean forgot =
                    since.isNegative() && now.compareTo(counted()) < 0; // what it sent before
            return !forgot
                    && (sent + seconds(work) <= even
                            || routerCount >= COLD_LOTS_FROM && sent + lot * seconds(work) <= even);
        }
    }

    /** How many queries and parts are held, and what each customer may ask for. */
    public static final class AdmissionControl {
        private final Integer most;
        private final int routers;
        private final Double overShareUtility;
        private final Duration longestComeBack;
        private final SlidingWindowCounter allTaken = new SlidingWindowCounter(SHARE_SPAN, BUCKETS);
        private double allQuotas;

        public AdmissionControl(
                Integer most, Integer routers, Double overShareUtility, Duration longestComeBack) {
            this.most = most;
            this.routers = routers == null ? 1 : Math.max(1, routers);
            this.overShareUtility = overShareUtility;
            this.longestComeBack = longestComeBack;
        }

        boolean crowded(List<Query> open) {
            int count = open.stream().mapToInt(query -> 1 + query.shardRequests.size()).sum();
            return most != null && count > CROWDED_SHARE * most;
        }

        /**
         * Beyond its even share at this router, and further than the router's customers are on the
         * whole: a router that gets more clients than the others sees all customers beyond.
         */
        boolean beyondShare(Duration now, Tenant tenant) {
            if (tenant == null
                    || tenant.quotaPerSecond == null
                    || overShareUtility == null
                    || overShareUtility >= 1) {
                return false;
            }
            if (tenant.recentQueries == null) {
                tenant.recentQueries = new SlidingWindowCounter(SHARE_SPAN, BUCKETS);
                allQuotas += tenant.quotaPerSecond;
            }
            tenant.recentQueries.add(now, 1);
            allTaken.add(now, 1);
            double mine = tenant.recentQueries.lowerBoundSum(now, SHARE_SPAN);
            double even = tenant.quotaPerSecond / routers * seconds(SHARE_SPAN);
            return mine > even + SHARE_AHEAD
                    && mine * allQuotas
                            >= allTaken.lowerBoundSum(now, SHARE_SPAN) * tenant.quotaPerSecond;
        }

        Duration comeBack(boolean crowded) {
            return crowded && longestComeBack != null
                    ? min(COME_BACK, longestComeBack)
                    : Duration.ZERO;
        }
    }
}
