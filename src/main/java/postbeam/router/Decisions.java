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
import postbeam.Decide;
import postbeam.Host;
import postbeam.dispatch.AttemptListener;
import postbeam.pages.Ask;
import postbeam.roster.Roster;
import postbeam.roster.Told;
import postbeam.setup.Assembly;
import postbeam.setup.Info;
import postbeam.slices.Asking;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Piece;
import postbeam.slices.Pin;
import postbeam.slices.Slicing;
import postbeam.slices.Unroutable;
import postbeam.state.Customer;
import postbeam.state.DataNode;
import postbeam.state.Fleet;
import postbeam.state.LeafCall;
import postbeam.state.Outcome;
import postbeam.state.Part;
import postbeam.state.Query;
import postbeam.state.Readiness;
import postbeam.state.Vertical;

/**
 * The decisions in blocking style, for threads that speak to peers: {@link #pick} gives a query's
 * thread the next thing to do, {@link #report} tells how leaf calls ended, {@link #tick} does what
 * time brings. Sole owner of Decide and of its lock, under which nothing waits for a peer.
 */
public final class Decisions implements Host, AttemptListener {
    private static final System.Logger LOG = System.getLogger(Decisions.class.getName());

    /**
     * Times what deciding took, until it is done again: it then takes a quarter of the core at
     * most.
     */
    private static final int PAUSE_TIMES = 3;

    /**
     * Two ticks of the simulator, on which the decisions were made: longer, and what comes would
     * wait for it.
     */
    private static final Duration PAUSE_MOST = Duration.ofMillis(10);

    /**
     * Longer than a watch of the list and the pause after it may take (DiscoveryPacing): the
     * process has stood still.
     */
    private static final Duration UNFOLLOWED = Duration.ofSeconds(5);

    /** How long the list is then waited for: a call to discovery that answers, and its pause. */
    private static final Duration FOLLOWED_WITHIN = Duration.ofSeconds(1);

    private record Timer(Duration at, long number, Runnable event) {}

    /** A call that is out, and what ends it when its time is over. */
    private record Out(Call call, Timer timer) {}

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition timely = lock.newCondition();
    private final long startNanos = System.nanoTime();
    private final long startUnixMicros = System.currentTimeMillis() * 1000;
    private final Map<String, Vertical> verticals;
    private final Map<String, Customer> customers;
    private final Roster roster;
    private final Decide decide;
    private final Slicing slicing;
    private final Paging paging;
    private final int partsACall;
    private final Duration probeWithin;
    private final Map<DataNode, String> addresses = new IdentityHashMap<>();
    private final Map<DataNode, Object> probes = new IdentityHashMap<>();
    private final Map<String, OpenQuery> open = new LinkedHashMap<>();
    private final Map<Query, OpenQuery> byQuery = new IdentityHashMap<>();
    private final Map<LeafCall, Out> out = new IdentityHashMap<>();
    private final TreeSet<Timer> timers =
            new TreeSet<>(Comparator.comparing(Timer::at).thenComparingLong(Timer::number));
    private long timerCount;

    /** When the turn under way may end, and whether something waits for that. */
    private Duration nextEnd = Duration.ZERO;

    private boolean endDue;

    /**
     * When discovery was last heard or found silent, by {@link System#nanoTime}; null where nothing
     * follows it.
     */
    private volatile Long followedAt;

    /** Since when it is waited for after a standstill; null while it is not. */
    private Duration unfollowedSince;

    private long ends;

    /**
     * What has happened since the last end was about these, the latest first: one of them if
     * deciding fails.
     */
    private final Deque<OpenQuery> fresh = new ArrayDeque<>();

    private final List<Step> errands = new ArrayList<>();

    /** What the turn under way has sent, by node, and called off. */
    private final Map<DataNode, List<Call>> sends = new LinkedHashMap<>();

    private final List<LeafCall> calledOff = new ArrayList<>();

    /** The slicing is null where shards stay where the fixed rule puts them. */
    public Decisions(
            Info settings, long seed, int partsACall, Duration probeWithin, Slicing slicing) {
        this(settings, seed, partsACall, probeWithin, slicing, null);
    }

    /** The paging is null where no pages are given; it needs slices. */
    public Decisions(
            Info settings,
            long seed,
            int partsACall,
            Duration probeWithin,
            Slicing slicing,
            Paging paging) {
        this.verticals = Assembly.verticals(settings);
        this.customers = Assembly.customers(settings);
        this.roster = new Roster(settings.text("zone"));
        this.partsACall = partsACall;
        this.probeWithin = probeWithin;
        this.slicing = slicing;
        this.paging = paging;
        if (slicing != null) {
            slicing.holders()
                    .know(roster::name, at -> at.minus(Duration.ofNanos(startUnixMicros * 1000)));
        }
        this.decide =
                Assembly.decide(
                        this,
                        new Random(seed),
                        slicing == null ? Assembly.fleet(settings) : new Fleet(slicing.holders()),
                        paging == null ? settings : paging.less(settings));
    }

    // ---- for the threads that serve queries

    /**
     * Takes a query so long after its first byte was seen; null where one of that id is still open.
     * An Unroutable says why its slices can't be found; nothing is kept of it then.
     */
    public OpenQuery take(Asked asked, Duration age) throws Unroutable {
        return asked.page() == null ? take(asked, age, null, 0) : takePaged(asked, age);
    }

    /** The cursor is opened, and what to ask of whom worked out, while nothing is locked. */
    private OpenQuery takePaged(Asked asked, Duration age) throws Unroutable {
        Layout held;
        List<Pin.Named> named;
        lock.lock();
        try {
            // With a cursor the keys are those that it holds.
            named = slicing.named(asked.parts().isEmpty() ? 0 : asked.layout(), askings(asked));
            held = slicing.held();
        } finally {
            lock.unlock();
        }
        return take(
                asked,
                age,
                paging.begin(asked, verticals.get(asked.vertical()), held, named),
                held.version);
    }

    private static List<Asking> askings(Asked asked) {
        return asked.parts().stream()
                .map(part -> new Asking(part.shard(), part.weight(), part.work()))
                .toList();
    }

    private OpenQuery take(Asked asked, Duration age, Paged paged, long layout) throws Unroutable {
        lock.lock();
        try {
            if (open.containsKey(asked.id())) {
                return null;
            }
            Duration now = now();
            Query query =
                    new Query(
                            verticals.get(asked.vertical()),
                            customers.get(asked.owner()),
                            now,
                            now.plus(asked.patience()).minus(age));
            if (asked.repeat()) {
                query.markClientRetry();
            }
            if (paged != null) {
                slicing.takeKeys(query, paged.version, paged.named);
            } else if (slicing != null) {
                slicing.take(query, asked.layout(), askings(asked));
            }
            OpenQuery q = new OpenQuery(asked, query, lock.newCondition(), paged, layout);
            open.put(asked.id(), q);
            byQuery.put(query, q);
            turn(
                    q,
                    now,
                    () -> {
                        decide.queryArrived(now, query);
                        if (slicing == null) {
                            for (Asked.AskedPart part : asked.parts()) {
                                new Part(query, part.shard(), part.weight(), part.work());
                            }
                        }
                        query.parts.forEach(part -> decide.partArrived(now, part));
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
    OpenQuery takeFurther(OpenQuery first, List<Ask> asks) {
        lock.lock();
        try {
            Duration now = now();
            Query old = first.query;
            Duration until = paging.until(now, old);
            Asked asked = first.asked.again(first.further.size() + 1);
            if (first.left || until.compareTo(now) <= 0 || open.containsKey(asked.id())) {
                return null;
            }
            Query query = new Query(old.queryClass(), old.customer, old.arrivedAt, until);
            query.backdateTo(old.firstRequestedAt());
            Layout held = slicing.held();
            Paged paged = first.paged.further(asks, held.version, Paging.asked(held, asks));
            try {
                slicing.takeKeys(query, paged.version, paged.named);
            } catch (Unroutable e) {
                return null;
            }
            if (!paging.begins(now, query.parts.size())) {
                return null;
            }
            for (Part part : query.parts) {
                inherit((Piece) part, old);
                first.further.forEach(before -> inherit((Piece) part, before.query));
            }
            OpenQuery q = new OpenQuery(asked, query, lock.newCondition(), paged, held.version);
            q.checkedAs(first);
            first.further.add(q);
            open.put(asked.id(), q);
            byQuery.put(query, q);
            turn(
                    q,
                    now,
                    () -> {
                        decide.queryArrived(now, query);
                        query.parts.forEach(part -> decide.partArrived(now, part));
                    });
            return q;
        } finally {
            lock.unlock();
        }
    }

    private static void inherit(Piece young, Query from) {
        for (Part part : from.parts) {
            if (((Piece) part).keys.meets(young.keys)) {
                young.inherit(part);
            }
        }
    }

    /** What came for the page of a query that was answered. */
    void cameFor(OpenQuery q) {
        lock.lock();
        try {
            q.paged.came.addAll(q.counted);
        } finally {
            lock.unlock();
        }
    }

    /** The next thing to do for the query; waits until there is one. */
    public Step pick(OpenQuery q) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            while (q.steps.isEmpty()) {
                q.changed.await();
            }
            return q.steps.poll();
        } finally {
            lock.unlock();
        }
    }

    /** The same without waiting: null where there is none yet. */
    Step next(OpenQuery q) {
        lock.lock();
        try {
            return q.steps.poll();
        } finally {
            lock.unlock();
        }
    }

    /** Its client no longer waits. */
    public void left(OpenQuery q) {
        lock.lock();
        try {
            q.left = true;
            leave(q);
            q.further.forEach(this::leave);
        } finally {
            lock.unlock();
        }
    }

    private void leave(OpenQuery q) {
        if (byQuery.containsKey(q.query)) {
            Duration now = now();
            turn(q, now, () -> decide.clientLeft(now, q.query));
            finish(q, new Step.Over());
        }
    }

    // ---- for those that hear from data nodes and discovery

    /**
     * Tells how leaf calls ended, each once; one that has ended otherwise meanwhile is passed over.
     * Spoilt rows are an error of the node, and the part may go to another.
     */
    @Override
    public void report(List<Ending> told) {
        // Before the lock is taken: it may be much to read.
        List<Ending> endings = paging == null ? told : told.stream().map(PagedCall::read).toList();
        lock.lock();
        try {
            Duration now = now();
            turn(null, now, () -> endings.forEach(ending -> ended(now, ending)));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void probed(String node, boolean answered) {
        lock.lock();
        try {
            DataNode probed = roster.node(node);
            if (probed != null && probes.remove(probed) != null) {
                Duration now = now();
                turn(null, now, () -> decide.probed(now, probed, answered));
            }
        } finally {
            lock.unlock();
        }
    }

    public void listed(Told told) {
        lock.lock();
        try {
            Duration now = now();
            turn(
                    null,
                    now,
                    () -> {
                        roster.listed(
                                now,
                                told.entries(),
                                told.whole(),
                                micros -> Duration.ofNanos((micros - startUnixMicros) * 1000),
                                decide);
                        // Before the turn ends: it may send to a node told of just now.
                        told.addresses()
                                .forEach(
                                        (name, address) -> {
                                            if (roster.node(name) != null) {
                                                addresses.put(roster.node(name), address);
                                            }
                                        });
                        addresses.keySet().removeIf(node -> roster.name(node) == null);
                        // What is decided on and still waits for its connection would go after the
                        // node's grace.
                        out.forEach(
                                (leaf, sent) -> {
                                    if (leaf.node.readiness() != Readiness.READY) {
                                        sent.call()
                                                .notAfter(
                                                        startNanos + now.toNanos(),
                                                        Outcome.UNREACHABLE);
                                    }
                                });
                    });
        } finally {
            lock.unlock();
        }
    }

    /** Discovery was asked and has answered or failed to. */
    public void followed() {
        followedAt = System.nanoTime();
    }

    /**
     * Guards against deciding by the list as it was before a standstill of the whole process
     * (stopped, its machine paused): what it missed has long counted as told. It costs queries that
     * wait meanwhile what one call to discovery takes, 1 s at most where that is silent, or where
     * what follows it has died.
     */
    private boolean unfollowed(Duration now) {
        Long at = followedAt;
        if (at == null || System.nanoTime() - at < UNFOLLOWED.toNanos()) {
            unfollowedSince = null;
            return false;
        }
        unfollowedSince = unfollowedSince == null ? now : unfollowedSince;
        return now.minus(unfollowedSince).compareTo(FOLLOWED_WITHIN) < 0;
    }

    /** The version of the layout that is held; 0 for none. */
    public long layoutHeld() {
        lock.lock();
        try {
            return slicing.held() == null ? 0 : slicing.held().version;
        } finally {
            lock.unlock();
        }
    }

    /** A version of the layout that was asked for just now. */
    public void laidOut(Layout next) {
        laidOut(next, System.nanoTime());
    }

    /**
     * A version of the layout and when it was asked for, by {@link System#nanoTime}; one that goes
     * back is passed over.
     */
    public void laidOut(Layout next, long askedNanos) {
        lock.lock();
        try {
            slicing.heard(Duration.ofNanos(askedNanos - startNanos));
            long before = slicing.refused();
            turn(
                    null,
                    now(),
                    () -> {
                        if (slicing.told(next)) {
                            byQuery.keySet().forEach(slicing::recut);
                        }
                    });
            if (slicing.refused() > before) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "layout {0} is refused: version {1} is held",
                        next.version,
                        slicing.held().version);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Waits until time or a turn brings something to do that belongs to no query's thread. */
    public List<Step> tick() throws InterruptedException {
        lock.lockInterruptibly();
        try {
            while (true) {
                due();
                if (!errands.isEmpty()) {
                    List<Step> todo = List.copyOf(errands);
                    errands.clear();
                    return todo;
                }
                if (timers.isEmpty()) {
                    timely.await();
                } else {
                    timely.awaitNanos(timers.first().at().minus(now()).toNanos());
                }
            }
        } finally {
            lock.unlock();
        }
    }

    /** What is believed, in a line for operators: to be held against what passes on the sockets. */
    public String beliefs() {
        lock.lock();
        try {
            int byNodes = 0;
            int listed = 0;
            int alone = 0;
            for (DataNode node : roster.nodes()) {
                byNodes += node.out.size();
                listed += node.readiness() == Readiness.GONE ? 0 : 1;
                alone += node.readiness() != Readiness.GONE && decide.isEjected(node) ? 1 : 0;
            }
            return String.format(
                    "%d queries open, %d calls out, %d by their nodes; of %d nodes listed %d left"
                            + " alone",
                    open.size(), out.size(), byNodes, listed, alone);
        } finally {
            lock.unlock();
        }
    }

    /** Does what time has brought. */
    void due() {
        lock.lock();
        try {
            Duration now = now();
            List<Runnable> events = new ArrayList<>();
            while (!timers.isEmpty() && timers.first().at().compareTo(now) <= 0) {
                events.add(timers.pollFirst().event());
            }
            if (!events.isEmpty()) {
                turn(null, now, () -> events.forEach(event -> tried(null, event)));
            }
        } finally {
            lock.unlock();
        }
    }

    /** Times that are waited for. */
    int waits() {
        lock.lock();
        try {
            return timers.size();
        } finally {
            lock.unlock();
        }
    }

    /** How often it was decided. */
    long ends() {
        lock.lock();
        try {
            return ends;
        } finally {
            lock.unlock();
        }
    }

    // ---- turns

    private Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    private Timer after(Duration at, Runnable event) {
        Timer timer = new Timer(at, timerCount++, event);
        timers.add(timer);
        timely.signal();
        return timer;
    }

    /** What happened, and, once the last turn's end is long enough ago, what is decided on it. */
    private void turn(OpenQuery about, Duration now, Runnable event) {
        tried(about, event);
        if (about != null) {
            fresh.push(about);
        }
        if (now.compareTo(nextEnd) >= 0 && unfollowed(now)) {
            nextEnd = now.plus(PAUSE_MOST);
        }
        if (now.compareTo(nextEnd) >= 0) {
            endTurn(now);
        } else if (!endDue) {
            endDue = true;
            after(nextEnd, () -> {});
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
        endDue = false;
        ends++;
        long begun = System.nanoTime();
        while (true) {
            while (!tried(fresh.poll(), () -> decide.turnEnded(now))) {
                // Again, without the query that was held to be at fault.
            }
            handOutSends();
            if (calledOff.isEmpty()) {
                break;
            }
            List<LeafCall> over = List.copyOf(calledOff);
            calledOff.clear();
            over.forEach(
                    leaf ->
                            tried(
                                    byQuery.get(leaf.part.query),
                                    () -> ended(now, leaf, Outcome.CANCELLED)));
        }
        fresh.clear();
        long pause = Math.min(PAUSE_MOST.toNanos(), PAUSE_TIMES * (System.nanoTime() - begun));
        nextEnd = now().plusNanos(pause);
    }

    /**
     * Guards against a failure of the decisions, whatever it is: the query that it came with is
     * aborted, else the oldest. A failure that comes back each time costs all that are open, one
     * after the other. True once there is nothing to do again.
     */
    private boolean tried(OpenQuery about, Runnable step) {
        try {
            step.run();
            return true;
        } catch (RuntimeException | StackOverflowError e) {
            LOG.log(System.Logger.Level.ERROR, "deciding failed; a query is aborted for it", e);
        }
        OpenQuery victim =
                about != null && byQuery.containsKey(about.query)
                        ? about
                        : open.isEmpty() ? null : open.values().iterator().next();
        if (victim == null) {
            return true;
        }
        try {
            decide.clientLeft(now(), victim.query);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a query could not be ended", e);
        }
        finish(victim, new Step.Abort());
        return false;
    }

    private void handOutSends() {
        sends.forEach(
                (node, calls) -> {
                    for (int i = 0; i < calls.size(); i += partsACall) {
                        List<Call> together =
                                List.copyOf(
                                        calls.subList(i, Math.min(calls.size(), i + partsACall)));
                        Step send = new Step.Send(addresses.get(node), together);
                        hand(byQuery.get(together.get(0).leaf.part.query), send);
                    }
                });
        sends.clear();
    }

    /** Gives the step to the query's thread or, where that is gone, to the one that ticks. */
    private void hand(OpenQuery q, Step step) {
        if (q == null) {
            errands.add(step);
            timely.signal();
        } else {
            q.add(step);
        }
    }

    private void ended(Duration now, Ending ending) {
        LeafCall leaf = ending.call().leaf;
        OpenQuery q = byQuery.get(leaf.part.query);
        if (q != null && !leaf.hasEnded() && ending.outcome() == Outcome.MERGED) {
            if (q.paged == null) {
                q.values.putIfAbsent(leaf.part, ending.value());
            } else {
                q.rows.putIfAbsent(leaf.part, PagedCall.rows(ending.call()));
            }
        }
        tried(q, () -> ended(now, leaf, ending.outcome()));
    }

    private void ended(Duration now, LeafCall leaf, Outcome outcome) {
        Out ended = out.remove(leaf);
        if (ended != null) {
            // Its client may have named a time of many hours: nothing is kept for that long.
            timers.remove(ended.timer());
            ended.call().end();
            decide.leafCallEnded(
                    now, leaf, outcome, now.minus(leaf.sentAt), leaf.part.query.hasEnded());
            if (slicing != null) {
                recut(leaf, outcome);
            }
        }
    }

    private void recut(LeafCall leaf, Outcome outcome) {
        if (outcome == Outcome.MOVED) {
            slicing.left(leaf.part, leaf.node);
            after(now().plus(Slicing.LEFT_FOR), () -> slicing.forgiven(leaf.part.shard, leaf.node));
        }
        if (byQuery.containsKey(leaf.part.query)) {
            slicing.recut(leaf.part.query);
        }
    }

    private void timedOut(LeafCall leaf) {
        Out late = out.get(leaf);
        if (late != null) {
            hand(null, new Step.GiveUp(late.call()));
            ended(now(), leaf, Outcome.TIMEOUT);
        }
    }

    /** The last step of a query; what is not written of it yet will not be. */
    private void finish(OpenQuery q, Step last) {
        if (byQuery.remove(q.query) != null) {
            open.remove(q.asked.id());
            q.calls.forEach(Call::end);
            q.add(last);
        }
    }

    // ---- what the decisions have done

    @Override
    public void send(LeafCall leaf) {
        OpenQuery q = byQuery.get(leaf.part.query);
        Duration until = leaf.part.query.deadline;
        if (leaf.timeout != null && leaf.sentAt.plus(leaf.timeout).compareTo(until) < 0) {
            until = leaf.sentAt.plus(leaf.timeout);
        }
        String id = q.asked.id() + "." + leaf.part.shard;
        String more = "";
        if (slicing != null) {
            KeyRange keys = ((Piece) leaf.part).keys;
            id += "-" + Long.toHexString(keys.from());
            more =
                    ",v="
                            + slicing.held().version
                            + ",k="
                            + keys
                            + (q.paged == null ? "" : ",p=" + q.paged.askBytes);
        }
        long untilNanos = startNanos + until.toNanos();
        Call call =
                q.paged == null
                        ? new Call(q, leaf, id, more, q.asked.text(), untilNanos)
                        : q.paged.call(q, leaf, id, more, untilNanos);
        if (leaf.sendDeadline() != null) {
            call.notAfter(startNanos + leaf.sendDeadline().toNanos(), Outcome.NEVER_SENT);
        }
        q.calls.add(call);
        sends.computeIfAbsent(leaf.node, node -> new ArrayList<>()).add(call);
        out.put(leaf, new Out(call, after(until, () -> timedOut(leaf))));
    }

    @Override
    public void cancel(LeafCall leaf) {
        Out unwanted = out.get(leaf);
        if (unwanted != null) {
            unwanted.call().end();
            calledOff.add(leaf);
            hand(byQuery.get(leaf.part.query), new Step.GiveUp(unwanted.call()));
        }
    }

    @Override
    public void answer(Query query, boolean whole) {
        OpenQuery q = byQuery.get(query);
        List<Step.Value> values = new ArrayList<>();
        if (slicing != null) {
            Pin pin = slicing.pinOf(query);
            Pin.Counted counted = pin.counted(query);
            for (Piece piece : counted.pieces()) {
                if (q.paged != null) {
                    q.counted.add(q.rows.get(piece));
                }
                values.add(
                        new Step.Value(
                                piece.shard,
                                q.values.get(piece),
                                new Step.Cover(
                                        piece.keys.from(),
                                        piece.keys.to(),
                                        pin.namesOf(piece.keys))));
            }
            finish(q, new Step.Answer(whole, values, counted.version()));
            return;
        }
        for (Part part : query.parts) {
            if (part.isAnswered()) {
                values.add(new Step.Value(part.shard, q.values.get(part), null));
            }
        }
        finish(q, new Step.Answer(whole, values, 0));
    }

    @Override
    public void reject(Query query, Duration comeBack) {
        finish(byQuery.get(query), new Step.Reject(comeBack));
    }

    @Override
    public void abort(Query query) {
        finish(byQuery.get(query), new Step.Abort());
    }

    @Override
    public void wakeAfter(Duration wait) {
        after(now().plus(wait), () -> decide.woken(now()));
    }

    @Override
    public void probe(DataNode node) {
        Object mark = new Object();
        probes.put(node, mark);
        hand(null, new Step.Probe(roster.name(node), addresses.get(node)));
        after(
                now().plus(probeWithin),
                () -> {
                    if (probes.remove(node, mark)) {
                        decide.probed(now(), node, false);
                    }
                });
    }

    @Override
    public void log(String text) {
        LOG.log(System.Logger.Level.INFO, text);
    }
}
