package postbeam;

import java.time.Duration;
import java.util.*;
import postbeam.state.*;

/**
 * All decisions of one query router. A door (see benchlink.Instance) builds one for each instance,
 * calls one method for each thing that happens, in order, and {@link #turnEnded} once all that came
 * together is told. Decide acts by calling {@link Host}; facts stand in postbeam.state. It reads no
 * clock and looks at no names; times are spans since the start. The order of free slots is
 * non-preemptive SEDPT-R (Sun et al.); docs/design.md tells what was kept and added, and why.
 */
public final class Decide {
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

    private final Host host;
    private final Random chance;
    private final Fleet fleet;
    private final Held held;
    private final Calls calls;
    private final FurtherCalls further;
    private final ColdPacing cold;
    private final List<Query> open = new ArrayList<>();
    private final Set<Zone> zones = new LinkedHashSet<>();
    private final Set<DataNode> resting = new LinkedHashSet<>();
    private double window = WINDOW_START;
    private Duration halvedAt;
    private int inFlight;

    /** Nodes that the list tells to have died or started anew with no drain before. */
    private final TimeRing crashes = new TimeRing(CRASH_MEMORY, BUCKETS);

    private boolean waking, crowded;

    /** Spares in flight: parts out beyond what their queries still need. */
    private int spares;

    private Duration usualAt;
    private double usual;

    public Decide(
            Host host,
            Random chance,
            Fleet fleet,
            Held held,
            Calls calls,
            FurtherCalls further,
            ColdPacing cold) {
        this.host = host;
        this.chance = chance;
        this.fleet = fleet;
        this.held = held;
        this.calls = calls;
        this.further = further;
        this.cold = cold;
        // Our zone first, then by place within a shard's reach: one offset leads neighbouring
        // shards to the
        // same nodes, and their parts share calls, which have a cost.
        if (calls.shared) {
            int reach = fleet.reach();
            fleet.order(Comparator.comparingInt(n -> (n.zone.ours ? 0 : reach) + n.cell % reach));
        }
    }

    /** Whether the node is left alone for now, as it lately failed. */
    public boolean isEjected(DataNode node) {
        return node.avoidUntil != null;
    }

    // ---- what can happen
    public void nodeListed(Duration now, DataNode node, Readiness readiness, Duration startedAt) {
        boolean fresh = node.workSent == null;
        if (fresh) {
            node.workSent = cold.ring();
            node.lot = chance.nextDouble();
            zones.add(node.zone);
            node.measure(HEALTH_MEMORY, BUCKETS);
            node.zone.measure(HEALTH_MEMORY, BUCKETS);
        }
        if (readiness == Readiness.GONE) {
            fleet.remove(node);
        } else if (fresh || node.readiness() == Readiness.GONE) {
            fleet.add(node);
        }
        if (!fresh
                && node.readiness() == Readiness.READY
                && (readiness == Readiness.GONE
                        || startedAt != null && !startedAt.equals(node.startedAt()))) {
            crashes.add(now, 1);
        }
        if (startedAt != null && !startedAt.equals(node.startedAt())) {
            node.slowness = 0;
            node.strikes = 0;
            node.avoidUntil = null;
            node.probing = false;
        }
        node.update(readiness, startedAt);
        if (startedAt != null && node.downAt != null && node.downAt.compareTo(startedAt) < 0) {
            node.downAt = null;
        }
    }

    public void queryArrived(Duration now, Query q) {
        open.add(q);
        further.taken().add(now, 1);
        dateBack(q.queryClass(), q, q.deadline.minus(now));
        if (held.beyondShare(now, q.customer)) {
            q.markOverQuota();
        }
    }

    /**
     * Guards against work for repeats whose SLO time, which runs from the first try, is over or
     * nearly so: one that may wait less than a first try has what is left of its client's whole
     * time. It could hurt where clients give their repeats less time for reasons of their own.
     */
    private static void dateBack(Vertical v, Query q, Duration wait) {
        if (!q.isClientRetry()) {
            v.firstWait =
                    v.firstWait == null || wait.compareTo(v.firstWait) < 0
                            ? wait
                            : v.firstWait.plus(times(wait.minus(v.firstWait), SMOOTHING));
        } else if (v.allWait != null
                && v.firstWait != null
                && wait.plus(LAST_WORD).compareTo(v.firstWait) < 0) {
            q.backdateTo(q.deadline.minus(v.allWait));
        }
    }

    public void partArrived(Duration now, Part part) {
        further.taken().add(now, 1);
    }

    public void leafCallEnded(
            Duration now, LeafCall call, Outcome outcome, Duration took, boolean partOver) {
        call.end();
        inFlight--;
        Part part = call.part;
        Query q = part.query;
        if (!outcome.provesNotRun) {
            part.mayHaveRun(call.sentAt);
        }
        // What was sent before the last halving tells nothing new: else a few full nodes close the
        // window.
        if (outcome == Outcome.FULL
                && call.node.avoidUntil == null
                && (halvedAt == null || call.sentAt.compareTo(halvedAt) > 0)) {
            halvedAt = now;
            window = Math.max(leastWindow(), window / 2);
        }
        learn(now, call, outcome, took);
        call.node.downAt = outcome == Outcome.UNREACHABLE ? now : call.node.downAt;
        if (outcome == Outcome.RESET) {
            q.recordReset();
            if (call.isCanary()) {
                q.markPoisoned();
            }
        }
        if (outcome == Outcome.MERGED && !q.hasEnded() && !part.isAnswered()) {
            part.markAnswered();
            // Guards against a wide window while every node is slow, which no rejection tells: late
            // parts
            // narrow it where the usual node is slow too. It grows only in use.
            Duration limit = times(q.queryClass().sloTime, LATE_SHARE);
            boolean late =
                    took.compareTo(limit) > 0
                            && usualTime(now, q.queryClass(), 2).compareTo(limit) > 0;
            window =
                    Math.max(
                            leastWindow(),
                            late
                                    ? window - LATE_STEP
                                    : inFlight + 1 >= window * IN_USE_SHARE ? window + 1 : window);
            cancelAll(part);
        } else if (outcome == Outcome.NEVER_SENT || partOver) {
            part.close();
        }
    }

    public void clientLeft(Duration now, Query q) {
        end(q);
    }

    public void woken(Duration now) {
        waking = false;
    }

    public void probed(Duration now, DataNode node, boolean answered) {
        node.probing = false;
        if (answered) {
            node.avoidUntil = null;
        } else {
            strike(now, node);
        }
    }

    /** All that came in together has been told. */
    public void turnEnded(Duration now) {
        crowded = held.crowded(open);
        for (Query q : new ArrayList<>(open)) {
            settle(now, q);
        }
        lookAfter(now);
        open.forEach(q -> callBack(now, q));
        fill(now);
        if (!open.isEmpty() && !waking) {
            waking = true;
            host.wakeAfter(LOOK);
        }
    }

    // ---- when to answer, and when to give up
    private void settle(Duration now, Query q) {
        double in = q.mergedWeight();
        double possible =
                q.weightOf(
                        part ->
                                part.isAnswered()
                                        || !part.out.isEmpty()
                                        || mayStillSend(now, part));
        Duration left = q.deadline.minus(now);
        boolean coming =
                q.parts.isEmpty(); // a second step's parts come a turn after the first is answered
        if (!coming && in + ROUNDING >= q.queryClass().need) {
            answerWhole(q);
        } else if (left.compareTo(LAST_WORD) <= 0
                || q.isPoisoned()
                || partialIsBest(now, q, in)
                || !coming
                        && possible + ROUNDING < q.queryClass().need
                        && (in + ROUNDING >= possible || possible + ROUNDING < q.queryClass().floor)
                || lateForGood(now, q)
                || q.untouched() && noLongerBegun(now, q)) {
            giveUp(now, q);
        }
    }

    /**
     * The answer to all that was asked so far: the final one, or what brings the second step's
     * parts.
     */
    private void answerWhole(Query q) {
        if (q.queryClass().second == null) {
            end(q);
        } else {
            q.parts.forEach(this::cancelAll);
            q.secondStep();
        }
        host.answer(q, true);
    }

    /** What is only late may still come: throwing it away would feed an overload. */
    private boolean lateForGood(Duration now, Query q) {
        return tooLate(now, q, 1)
                && (q.queryClass().lateUtility == 0
                        || crowded
                                && (q.alpha() > q.out()
                                        || now.minus(q.sloAt())
                                                        .compareTo(
                                                                times(
                                                                        q.queryClass().sloTime,
                                                                        STUCK_SHARE))
                                                > 0));
    }

    /**
     * Guards against overload of any cause: what can't begin soon is told so while its client can
     * act.
     */
    private boolean noLongerBegun(Duration now, Query q) {
        double waited = seconds(now.minus(q.arrivedAt)) / seconds(q.queryClass().sloTime);
        return hopeless(now, q)
                || waited > START_SHARE
                || waited > START_SHARE_LITTLE && worthLittle(now, q);
    }

    /**
     * The SLO time is about to pass, and what is in is worth more now than a whole answer after it.
     */
    private static boolean partialIsBest(Duration now, Query q, double in) {
        Vertical v = q.queryClass();
        return v.second == null
                && v.floor < v.need
                && in + ROUNDING >= v.floor
                && v.shortUtility * in / v.need > v.lateUtility
                && now.plus(LAST_WORD).compareTo(q.sloAt()) >= 0;
    }

    /** Its SLO time is over, or so many usual times for what is unsent last past its end. */
    private boolean tooLate(Duration now, Query q, double rounds) {
        Duration done =
                q.alpha() > q.out() ? now.plus(usualTime(now, q.queryClass(), rounds)) : now;
        done =
                q.queryClass().second == null
                        ? done
                        : done.plus(usualTime(now, q.queryClass().second, 1));
        return done.compareTo(q.sloAt()) >= 0;
    }

    /**
     * Guards against beginning what the usual time brings past its client's limit or SLO time, over
     * and over. While nothing else is out it is tried: what was learnt may be out of date.
     */
    private boolean hopeless(Duration now, Query q) {
        double slowest =
                q.queryClass().anyN() || q.parts.size() == 1
                        ? 1
                        : Math.max(SLOWEST_TIMES, q.queryClass().floor * q.parts.size() / window);
        Duration left = min(q.sloAt(), q.deadline.minus(LAST_WORD)).minus(now);
        Vertical second = q.queryClass().second;
        left = second == null ? left : left.minus(usualTime(now, second, slowest));
        return inFlight > 0
                && q.queryClass().quietTime != null
                && left.compareTo(usualTime(now, q.queryClass(), slowest)) < 0;
    }

    /** What the window as it is would bring too late only comes last: the window grows in use. */
    private boolean worthLittle(Duration now, Query q) {
        return q.isOverQuota()
                || tooLate(now, q, 1 + q.alpha() / window)
                || q.untouched() && !placeable(now, q);
    }

    /**
     * Guards against work for queries that a shard without a sound node, or with cold ones alone,
     * will spoil: where others wait, they come last. Alone, they are tried all the same.
     */
    private boolean placeable(Duration now, Query q) {
        chooseOffset(now, q);
        return q.alpha()
                <= q.count(
                        part -> {
                            DataNode node = chooseNode(now, part);
                            return node != null && !suspect(now, node, q.queryClass());
                        });
    }

    /**
     * The final answer at once: from what is in where the floor allows it, else rejected where
     * harmless.
     */
    private void giveUp(Duration now, Query q) {
        double in = q.mergedWeight();
        boolean harmless =
                q.queryClass().effect == Effect.REPEATABLE
                        || q.firstStep.isEmpty()
                                && q.count(
                                                part ->
                                                        part.mayHaveExecutedSince() != null
                                                                || !part.out.isEmpty())
                                        == 0;
        end(q);
        if (in > 0 && in + ROUNDING >= q.queryClass().floor && q.queryClass().second == null) {
            host.answer(q, false);
        } else if (harmless) {
            host.reject(q, held.comeBack(crowded));
        } else {
            host.abort(q);
        }
    }

    private void end(Query q) {
        q.end();
        open.remove(q);
        crowded = held.crowded(open);
        q.parts.forEach(this::cancelAll);
    }

    private void cancelAll(Part part) {
        for (LeafCall call : part.out) {
            if (calls.mayCancel && !call.isCancellationRequested()) {
                call.requestCancellation();
                host.cancel(call);
            }
        }
    }

    // ---- which query gets a free slot: SEDPT-R
    /** Parts in flight that can be counted on: an overdue part counts no more. */
    private int delta(Duration now, Query q) {
        return q.count(part -> counted(now, part));
    }

    private boolean counted(Duration now, Part part) {
        for (LeafCall call : part.out) {
            if (!call.isCancellationRequested() && !lost(now, call)) {
                return !part.isAnswered();
            }
        }
        return false;
    }

    /**
     * This router's share of a few parts a node: less would leave nodes idle while queries wait.
     */
    private double leastWindow() {
        return Math.max(WINDOW_LEAST, PARTS_A_NODE * fleet.size() / cold.routers());
    }

    private void fill(Duration now) {
        // A lost call holds no slot: else links that swallow calls would fill the window.
        int lost =
                open.stream()
                        .mapToInt(q -> q.count(p -> !p.out.isEmpty() && !counted(now, p)))
                        .sum();
        if (inFlight - lost >= window) {
            return;
        }
        spares = open.stream().mapToInt(q -> Math.max(0, q.out() - q.alpha())).sum();
        PriorityQueue<Candidate> candidates = new PriorityQueue<>(ORDER);
        for (Query q : open.subList(0, Math.min(open.size(), CANDIDATES))) {
            candidates.add(
                    new Candidate(
                            q, q.alpha() - delta(now, q), worthLittle(now, q), candidates.size()));
        }
        while (inFlight - lost < window && !candidates.isEmpty()) {
            Candidate best = candidates.poll();
            Query q = best.q;
            boolean room =
                    !q.untouched() || !best.little || inFlight - lost < window * IN_USE_SHARE;
            if (room && sendNext(now, q, best.value)) {
                candidates.add(
                        new Candidate(q, q.alpha() - delta(now, q), best.little, best.place));
            }
        }
    }

    private record Candidate(Query q, int value, boolean little, int place) {}

    /** Among equals, what is worth little comes last, then the oldest first. */
    private static final Comparator<Candidate> ORDER =
            Comparator.comparingInt(Candidate::value)
                    .thenComparing(Candidate::little)
                    .thenComparing(c -> c.q.sloAt())
                    .thenComparing(Candidate::place);

    /**
     * Sends the query's next part; false where none. In a narrow window a spare lengthens the wait.
     */
    private boolean sendNext(Duration now, Query q, int value) {
        boolean anyN = q.queryClass().anyN();
        if (value <= 0
                        && (!anyN
                                || window < WINDOW_START
                                || spares + 1 > SPARE_SHARE * (inFlight + 1))
                || anyN && q.out() > q.alpha()
                || scouted(now, q) && delta(now, q) > 0) {
            return false;
        }
        chooseOffset(now, q);
        Part bestPart = null;
        DataNode bestNode = null;
        double bestRank = Double.MAX_VALUE;
        for (Part part : q.parts) {
            DataNode node =
                    part.isAnswered() || counted(now, part) || !maySendNow(now, part)
                            ? null
                            : chooseNode(now, part);
            if (node == null) {
                continue;
            }
            // First parts before copies. Where any n will do, those whose nodes have least to do;
            // where less
            // than all will do, the quickest: what a few popular shards jam is left for the end.
            double rank =
                    (part.out.isEmpty() ? 0 : 1000)
                            + (anyN
                                    ? node.callsOut()
                                            + (suspect(now, node, q.queryClass())
                                                    ? SUSPECT_CALLS
                                                    : 0)
                                    : q.queryClass().floor < 1
                                            ? (1 + node.out.size()) * beside(now, node)
                                            : 0);
            if (rank < bestRank) {
                bestPart = part;
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
    private boolean scouted(Duration now, Query q) {
        return q.count(part -> part.isAnswered()) == 0
                && (q.resetCount() > 0 || crashes.atLeast(now, CRASH_MEMORY) >= CRASHES_LEAST);
    }

    private void send(Duration now, Part part, DataNode node) {
        if (!part.calls.isEmpty()) {
            further.sent().add(now, 1);
        }
        cold.sent(
                now,
                node,
                fleet.tookAt(part.shard, node),
                cold.work(part, quiet(part.query.queryClass())));
        LeafCall call = new LeafCall(part, node, now, timeout(now, part.query));
        if (scouted(now, part.query)) {
            call.markCanary();
        }
        // What is decided on in the window may wait for a connection past its end.
        if (part.query.queryClass().effect == Effect.DEDUPLICATED
                && part.mayHaveExecutedSince() != null) {
            call.limitSendTime(
                    part.mayHaveExecutedSince()
                            .plus(part.query.queryClass().repeatWindow)
                            .minus(LOOK));
        }
        node.zone.trial =
                node.zone.strikes > 0 && !shunned(now, node.zone) ? call : node.zone.trial;
        inFlight++;
        host.send(call);
    }

    /**
     * A leaf call runs as long as its answer is of use; a side-effecting one as long as its client
     * waits.
     */
    private static Duration timeout(Duration now, Query q) {
        Duration useful = (q.queryClass().lateUtility > 0 ? q.deadline : q.sloAt()).minus(now);
        return q.queryClass().effect == Effect.SIDE_EFFECTING
                ? null
                : Collections.max(List.of(LOOK, useful));
    }

    /**
     * Calls off what is out to silent nodes and keeps a part from going elsewhere: where copies are
     * barred, or an any-n query has all its places out. A time-out would also throw away the wait
     * of calls that only wait their turn: when all nodes are slow that feeds the overload.
     */
    private void callBack(Duration now, Query q) {
        Vertical v = q.queryClass();
        if (calls.mayDuplicate && (!q.queryClass().anyN() || q.out() <= q.alpha())) {
            return;
        }
        for (Part part : q.parts) {
            if (part.out.isEmpty() || part.isAnswered() || !mayStillSend(now, part)) {
                continue;
            }
            LeafCall call = part.out.get(0);
            if (silent(now, call)
                    && further.allowed(now)
                    && v.effect != Effect.SIDE_EFFECTING
                    && (v.effect == Effect.REPEATABLE
                            || inWindow(now.plus(LAST_WORD), call.sentAt, v))) {
                DataNode other = chooseNode(now, part);
                if (other != null && !suspect(now, other, v)) {
                    cancelAll(part);
                }
            }
        }
    }

    private static boolean inWindow(Duration now, Duration sentAt, Vertical v) {
        return v.repeatWindow != null && now.minus(sentAt).compareTo(v.repeatWindow) < 0;
    }

    // ---- which replica
    /**
     * The offset whose nodes have fewest of our parts out; then the one that crosses zones least.
     */
    private void chooseOffset(Duration now, Query q) {
        if (q.hasReplicaOffset()) {
            return;
        }
        int most =
                q.parts.stream()
                        .mapToInt(part -> fleet.replicas(part.shard).size())
                        .reduce(1, Math::max);
        int first = chance.nextInt(most);
        int best = first;
        double least = Double.MAX_VALUE;
        for (int i = 0; i < most; i++) {
            int offset = (first + i) % most;
            Set<DataNode> nodes = new HashSet<>();
            double cost = 0;
            for (Part part : q.parts) {
                List<DataNode> replicas = fleet.replicas(part.shard);
                if (!replicas.isEmpty()) {
                    DataNode node = replicas.get(offset % replicas.size());
                    cost += node.zone.ours ? 0 : 0.01;
                    if (nodes.add(node) || !calls.shared) {
                        cost +=
                                node.callsOut()
                                        + (suspect(now, node, q.queryClass()) ? SUSPECT_CALLS : 0);
                    }
                }
            }
            if (cost < least) {
                least = cost;
                best = offset;
            }
        }
        q.chooseReplicaOffset(best);
    }

    /**
     * The node at the query's offset, or the next that is better placed; null where none may take
     * the part. Suspicion never shuts out all replicas: the least bad is taken.
     */
    private DataNode chooseNode(Duration now, Part part) {
        List<DataNode> replicas = fleet.replicas(part.shard);
        DataNode best = null;
        double bestRank = Double.MAX_VALUE;
        for (int i = 0; i < replicas.size(); i++) {
            DataNode node = replicas.get((part.query.replicaOffset() + i) % replicas.size());
            // Guards against light parts alone passing, of which each router has some: they count
            // as usual.
            Duration work =
                    Collections.max(List.of(quiet(part.vertical), cold.work(part, Duration.ZERO)));
            if (node.readiness() != Readiness.READY
                    || !cold.allows(now, node, fleet.tookAt(part.shard, node), work)) {
                continue;
            }
            // What can't be sent again is no trial of a node that failed: one that hangs may answer
            // probes.
            double rank =
                    suspect(now, node, part.query.queryClass())
                            ? 2
                            : node.strikes > 0
                                            && part.query.queryClass().effect
                                                    == Effect.SIDE_EFFECTING
                                    ? 1
                                    : 0;
            // Guards against a part's few calls spent within a round trip on holders that are all
            // down: one
            // that failed it gets it again once no longer left alone. It could hurt where it is
            // back unseen.
            boolean here = false;
            for (LeafCall call : part.calls) {
                rank += call.node == node ? 1 : 0;
                here |= call.node == node && (!call.hasEnded() || node.avoidUntil != null);
            }
            double load = calls.shared ? 0 : (1 + node.out.size()) * beside(now, node);
            if (!here && (part.out.isEmpty() || rank == 0) && 100 * rank + load < bestRank) {
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
        boolean lately = node.slowness > 0 && node.answeredSince(now.minus(HEALTH_MEMORY));
        return lately ? node.slowness / usualSlowness(now) : 1;
    }

    // ---- health of nodes, from our own leaf calls alone
    /**
     * Guards against a node that is silent, slow, failing or unreachable, whatever the cause: our
     * own calls show it. It also catches a node the list names ready that is dead, and a zone cut
     * off. It could hurt when all nodes are slow alike, so slowness is measured against the usual
     * node.
     */
    private boolean suspect(Duration now, DataNode node, Vertical v) {
        LeafCall oldest = node.oldestOut();
        return node.avoidUntil != null
                || node.strikes > 0 && oldest != null
                || shunned(now, node.zone)
                || oldest != null
                        && (silent(now, oldest)
                                || now.minus(oldest.sentAt).compareTo(times(v.sloTime, STUCK_SHARE))
                                        > 0)
                || beside(now, node) > SLOW_TIMES;
    }

    private void learn(Duration now, LeafCall call, Outcome outcome, Duration took) {
        DataNode node = call.node;
        Vertical v = call.part.vertical;
        if (outcome == Outcome.MERGED) {
            // The first answer may be a slow one, and of a rare vertical the next comes late: what
            // the nodes
            // are like to the others is taken off it.
            Duration known =
                    v.quietTime == null ? times(took, 1 / usualSlowness(now)) : v.quietTime;
            double weight =
                    took.compareTo(known) < 0
                            ? QUIET_FALL
                            : Math.min(QUIET_RISE, seconds(now.minus(v.quietAt)) / QUIET_SPAN);
            v.quietAt = now;
            v.quietTime = known.plus(times(took.minus(known), weight));
            node.answered(now, call.sentAt);
            fleet.answered(node);
            node.answers.add(now, 1);
            node.strikes = Math.max(0, node.strikes - 1);
        }
        double slow = seconds(took) / Math.max(0.001, seconds(quiet(v)));
        boolean unanswered = outcome == Outcome.TIMEOUT || outcome == Outcome.CANCELLED;
        if (outcome == Outcome.MERGED || unanswered && slow > node.slowness) {
            node.slowness =
                    node.slowness == 0 ? slow : node.slowness + SMOOTHING * (slow - node.slowness);
        }
        // Guards against links that swallow calls and nodes that answer none: once the call is over
        // nothing
        // else would tell of it. It could hurt where a sound node is merely late to its only call
        // of ours.
        boolean late = took.compareTo(overdueAfter(now, v)) > 0;
        boolean broken =
                outcome == Outcome.UNREACHABLE
                        || outcome == Outcome.RESET
                        || unanswered && late && !node.answeredSince(call.sentAt);
        learnZone(now, call, broken || late);
        if (broken || outcome == Outcome.ERROR || outcome == Outcome.FULL) {
            node.failures.add(now, 1);
            if (broken || failing(now, node, FAILURES_LEAST, FAILING_SHARE)) {
                strike(now, node);
            }
        }
    }

    private static boolean failing(Duration now, Health health, int least, double share) {
        double failed = health.failures.atLeast(now, HEALTH_MEMORY);
        return failed >= least
                && failed >= share * (failed + health.answers.atLeast(now, HEALTH_MEMORY));
    }

    /**
     * Guards against a way to a whole zone that is cut, slow or lossy, for us or for all: a router
     * meets each node too seldom to learn it there. Where most calls to its nodes failed lately,
     * one at a time shows if it is sound again. It could hurt where nodes fail for reasons of their
     * own, so several must.
     */
    private void learnZone(Duration now, LeafCall call, boolean failed) {
        Zone zone = call.node.zone;
        if (call == zone.trial && !failed) {
            zone.strikes = 0;
            zone.avoidUntil = null;
        }
        if (call.node.countedAt != null
                && now.minus(call.node.countedAt).compareTo(ZONE_COUNTS) < 0) {
            return;
        }
        call.node.countedAt = now;
        (failed ? zone.failures : zone.answers).add(now, 1);
        if (failed
                && (call == zone.trial
                        || failing(now, zone, ZONE_FAILURES_LEAST, ZONE_FAILING_SHARE))) {
            strike(now, zone);
        }
    }

    private boolean shunned(Duration now, Zone zone) {
        boolean onTrial = zone.trial != null && !zone.trial.hasEnded();
        return zone.strikes > 0
                && (onTrial || now.compareTo(zone.avoidUntil) < 0)
                && zones.stream().anyMatch(other -> other.strikes == 0);
    }

    /** Leaves it alone for a while, longer each time; what happens in that while adds nothing. */
    private void strike(Duration now, Health health) {
        if (health.avoidUntil == null || now.compareTo(health.avoidUntil) >= 0) {
            health.avoidUntil =
                    now.plus(
                            min(
                                    AVOID_LONGEST,
                                    AVOID_FIRST.multipliedBy(1L << Math.min(health.strikes, 10))));
            health.strikes++;
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
            if (node.avoidUntil == null || node.readiness() == Readiness.GONE) {
                resting.remove(node);
            } else if (now.compareTo(node.avoidUntil) >= 0 && !node.probing) {
                if (calls.mayProbe && node.readiness() == Readiness.READY) {
                    node.probing = true;
                    host.probe(node);
                } else {
                    node.avoidUntil = null;
                }
            }
        }
    }

    /** Of those that answered lately; sound where half of them are not. */
    private double usualSlowness(Duration now) {
        if (!now.equals(usualAt)) {
            usualAt = now;
            usual = Math.max(1, fleet.slowness(USUAL_PLACE, now.minus(HEALTH_MEMORY)));
            double sound = Math.max(1, fleet.slowness(SOUND_PLACE, now.minus(HEALTH_MEMORY)));
            usual = usual > SOUND_TIMES * sound ? sound : usual;
        }
        return usual;
    }

    private Duration usualTime(Duration now, Vertical v, double factor) {
        return times(quiet(v), usualSlowness(now) * factor);
    }

    private Duration overdueAfter(Duration now, Vertical v) {
        Duration usual = usualTime(now, v, SLOWEST_TIMES);
        Duration most = times(v.sloTime, OVERDUE_MOST);
        if (usual.compareTo(most) > 0) {
            return calls.mayDuplicate ? most : v.sloTime; // a recall loses the wait, a copy nothing
        }
        return Collections.max(List.of(usual, times(v.sloTime, OVERDUE_LEAST)));
    }

    /**
     * Overdue, and its node has answered nothing for as long; at once where the node is left alone.
     */
    private boolean silent(Duration now, LeafCall call) {
        Duration since = now.minus(overdueAfter(now, call.part.vertical));
        return call.node.avoidUntil != null
                || since.compareTo(call.sentAt) > 0 && !call.node.answeredSince(since);
    }

    /**
     * Silent, or overdue and overtaken by a call sent later. One that only waits its turn is not
     * lost.
     */
    private boolean lost(Duration now, LeafCall call) {
        Duration since = now.minus(overdueAfter(now, call.part.vertical));
        return silent(now, call)
                || since.compareTo(call.sentAt) > 0
                        && call.node.answeredSentAt.compareTo(call.sentAt) > 0;
    }

    private static Duration quiet(Vertical v) {
        return v.quietTime == null ? times(v.sloTime, QUIET_GUESS) : v.quietTime;
    }

    // ---- which further leaf calls are allowed
    /** Whether the part may get a leaf call now or later, as far as its past tells. */
    private boolean mayStillSend(Duration now, Part part) {
        if (part.isClosed() || part.calls.size() >= calls.most) {
            return false;
        }
        Vertical v = part.query.queryClass();
        return switch (v.effect) {
            case REPEATABLE -> true;
            case DEDUPLICATED ->
                    part.mayHaveExecutedSince() == null
                            || inWindow(now.plus(LOOK), part.mayHaveExecutedSince(), v);
            case SIDE_EFFECTING -> part.mayHaveExecutedSince() == null;
        };
    }

    private boolean maySendNow(Duration now, Part part) {
        boolean copy = calls.mayDuplicate && part.query.queryClass().effect == Effect.REPEATABLE;
        return (part.out.isEmpty() || copy && part.out.size() < 2)
                && mayStillSend(now, part)
                && (part.calls.isEmpty() || further.allowed(now));
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

    private static TimeRing ringOf(Duration span) {
        return new TimeRing(span == null ? HEALTH_MEMORY : span, BUCKETS);
    }

    /** What may be done with leaf calls; what is not stated is not permitted. */
    public record Calls(
            int most, boolean mayDuplicate, boolean mayCancel, boolean mayProbe, boolean shared) {
        public Calls(
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
    public record FurtherCalls(
            Double free, Double share, Duration span, TimeRing taken, TimeRing sent) {
        public FurtherCalls(Double free, Double share, Duration span) {
            this(
                    free == null ? 0 : free,
                    share == null ? 0 : share,
                    span,
                    ringOf(span),
                    ringOf(span));
        }

        boolean allowed(Duration now) {
            return span == null
                    || sent.atLeast(now, span) + 1 <= free + share * taken.atMost(now, span);
        }
    }

    /**
     * This router's own share of what a cold node may be sent in any window of the rule. Among many
     * routers it is less than a part: each rounds it by its lot, so that what all can send,
     * whatever comes, is under the budget on the mean, with its root as the spread.
     */
    public record ColdPacing(
            Double from,
            Duration ramp,
            Double multiple,
            Duration span,
            Integer routers,
            Duration callCost,
            Duration late) {
        public ColdPacing {
            from = from == null ? 0 : from;
            routers = routers == null ? 1 : Math.max(1, routers);
            callCost = callCost == null ? Duration.ZERO : callCost;
            late = late == null ? Duration.ZERO : late;
        }

        /**
         * A window as this router counts it: what waits for a connection goes so much later than
         * decided.
         */
        private Duration counted() {
            return span.plus(late);
        }

        TimeRing ring() {
            return ringOf(span == null ? null : counted());
        }

        Duration work(Part part, Duration quiet) {
            return part.work == null ? quiet : part.work.plus(callCost);
        }

        /** The time when the node took the part's shard over counts only where there is one. */
        void sent(Duration now, DataNode node, Duration tookAt, Duration work) {
            node.workSent.add(now, seconds(work));
            if (tookAt != null) {
                node.takenSent = node.takenSent == null ? ring() : node.takenSent;
                node.takenSent.add(now, seconds(work));
            }
        }

        boolean cold(Duration now, Duration since) {
            return span != null
                    && ramp != null
                    && multiple != null
                    && since != null
                    && now.minus(since).compareTo(ramp.plus(span)) < 0;
        }

        /**
         * Capacity is taken as it was when the window began, so each window is within its budget.
         * Guards too against a rush on shards that a node took over just now, whose data is not
         * warm there: for them it counts as cold, with all that it lately took. What else it holds
         * is not held back.
         */
        boolean allows(Duration now, DataNode node, Duration tookAt, Duration work) {
            return allows(now, node.coldSince(), node.workSent, node.lot, work)
                    && (tookAt == null || allows(now, tookAt, node.takenSent, node.lot, work));
        }

        private boolean allows(
                Duration now, Duration since, TimeRing ring, double lot, Duration work) {
            if (!cold(now, since)) {
                return true;
            }
            double risen = Math.max(0, seconds(now.minus(since).minus(span)) / seconds(ramp));
            double rate = multiple * (from * (1 - risen) + risen) * WARM_WORK;
            double even = COLD_SAFETY * rate * seconds(span) / routers;
            double sent = ring == null ? 0 : ring.atLeast(now, counted());
            boolean forgot =
                    since.isNegative() && now.compareTo(counted()) < 0; // what it sent before
            return !forgot
                    && (sent + seconds(work) <= even
                            || routers >= COLD_LOTS_FROM && sent + lot * seconds(work) <= even);
        }
    }

    /** How many queries and parts are held, and what each customer may ask for. */
    public static final class Held {
        private final Integer most;
        private final int routers;
        private final Double overShareUtility;
        private final Duration longestComeBack;
        private final TimeRing allTaken = new TimeRing(SHARE_SPAN, BUCKETS);
        private double allQuotas;

        public Held(
                Integer most, Integer routers, Double overShareUtility, Duration longestComeBack) {
            this.most = most;
            this.routers = routers == null ? 1 : Math.max(1, routers);
            this.overShareUtility = overShareUtility;
            this.longestComeBack = longestComeBack;
        }

        boolean crowded(List<Query> open) {
            int count = open.stream().mapToInt(q -> 1 + q.parts.size()).sum();
            return most != null && count > CROWDED_SHARE * most;
        }

        /**
         * Beyond its even share at this router, and further than the router's customers are on the
         * whole: a router that gets more clients than the others sees all customers beyond.
         */
        boolean beyondShare(Duration now, Customer customer) {
            if (customer == null
                    || customer.quotaPerSecond == null
                    || overShareUtility == null
                    || overShareUtility >= 1) {
                return false;
            }
            if (customer.taken == null) {
                customer.taken = new TimeRing(SHARE_SPAN, BUCKETS);
                allQuotas += customer.quotaPerSecond;
            }
            customer.taken.add(now, 1);
            allTaken.add(now, 1);
            double mine = customer.taken.atMost(now, SHARE_SPAN);
            double even = customer.quotaPerSecond / routers * seconds(SHARE_SPAN);
            return mine > even + SHARE_AHEAD
                    && mine * allQuotas
                            >= allTaken.atMost(now, SHARE_SPAN) * customer.quotaPerSecond;
        }

        Duration comeBack(boolean crowded) {
            return crowded && longestComeBack != null
                    ? min(COME_BACK, longestComeBack)
                    : Duration.ZERO;
        }
    }
}
