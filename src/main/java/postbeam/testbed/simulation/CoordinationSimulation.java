package postbeam.testbed.simulation;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import postbeam.coordination.CoordinationStripe;
import postbeam.coordination.ElectionTimeouts;
import postbeam.coordination.LeaseParameters;
import postbeam.coordination.LeaseRequest;
import postbeam.coordination.NodeIncarnation;
import postbeam.coordination.ProcessIdentity;
import postbeam.coordination.SlowStartBudget;
import postbeam.coordination.VoteRequest;

/**
 * Simulates the coordination of several routers on a simulated clock. Messages are lost, delayed,
 * duplicated and reordered; links are cut in one or both directions; processes crash and restart
 * under their name, or are suspended at any point and resumed; their clocks run at different rates.
 * A checker with the only true clock sums the work that cold nodes were sent.
 */
public final class CoordinationSimulation {
    /**
     * The size, length and faults of a run. Faults are injected until {@link #CALM} before the end.
     *
     * @param cutOff the number of routers that are cut off from the others for the whole run
     */
    public record Plan(
            int routers,
            int nodes,
            int stripes,
            Duration length,
            boolean faults,
            int cutOff,
            LeaseParameters leases,
            ElectionTimeouts offices,
            DefectiveCoordination.Defect defect) {}

    /**
     * How much of the slow-start budgets was used.
     *
     * @param used the work that was sent
     * @param budget the work that the budgets allowed
     * @param won how often a router became leader of a stripe
     * @param sends the number of attempts sent
     * @param evenAt the age of a node when a window first used more than half of its budget; null
     *     if none did
     */
    public record Use(double used, double budget, int won, int sends, Duration evenAt) {}

    private static final Duration TICK = Duration.ofMillis(20);

    /**
     * The span without faults at the end, in which leaders are elected and leases are granted
     * again.
     */
    static final Duration CALM = Duration.ofSeconds(8);

    /**
     * The largest deviation of a clock's rate. Over the longest lease span it stays below the clock
     * drift that the lease parameters allow for.
     */
    private static final double RATES = 0.004;

    private static final double FIRST_BUDGET = 4;

    /** The age at which the budget has grown to {@link #RISES_TO} times the first budget. */
    private static final Duration RAMP = Duration.ofSeconds(30);

    private static final double RISES_TO = 2;

    /**
     * The mean interval between the bursts of one router, to any node: more work than the budgets
     * allow.
     */
    private static final Duration BETWEEN_BURSTS = Duration.ofMillis(6);

    private static final int BURST_MOST = 12;
    private static final Duration STARVED = Duration.ofMillis(600);
    private static final double STOPPED_IN_A_BURST = 0.001;

    /** Bursts that are queued for a process while it is suspended. */
    private static final int QUEUED = 40;

    private record Event(Duration at, long number, Runnable what) {}

    /** A router name and its current process; a restart replaces the process. */
    private final class Router {
        final String name;
        final double rate = 1 + RATES * (2 * chance.nextDouble() - 1);
        final Duration offset = Duration.ofNanos((long) (chance.nextDouble() * 1e12));
        ProcessIdentity who;
        List<CoordinationStripe> stripes;

        /**
         * Whether its threads get little CPU time, so that attempts are sent long after they were
         * admitted.
         */
        final boolean starved = chance.nextDouble() < 0.3;

        boolean stopped;
        boolean crashed;

        /** Events that arrived while the process was suspended. */
        final List<Runnable> held = new ArrayList<>();

        /** The newest known incarnation by node name. */
        final Map<String, NodeIncarnation> knows = new LinkedHashMap<>();

        final Map<NodeIncarnation, Duration> heardAt = new LinkedHashMap<>();

        Router(String name) {
            this.name = name;
        }

        Duration clock() {
            return offset.plusNanos((long) (now.toNanos() * rate));
        }

        void start() {
            crashed = false;
            who = new ProcessIdentity(name, ++incarnations);
            knows.clear();
            stripes =
                    IntStream.range(0, plan.stripes())
                            .mapToObj(
                                    i ->
                                            DefectiveCoordination.of(
                                                    plan.defect(),
                                                    i,
                                                    who,
                                                    names,
                                                    plan.leases(),
                                                    plan.offices(),
                                                    clock(),
                                                    new Random(chance.nextLong())))
                            .toList();
            nodes.forEach((node, key) -> hears(key));
            run(this::tick);
            run(this::nextSend);
        }

        void hears(NodeIncarnation key) {
            NodeIncarnation known = knows.get(key.name());
            if (known == null || known.incarnation() < key.incarnation()) {
                knows.put(key.name(), key);
                heardAt.put(key, clock());
            }
        }

        /**
         * Runs the action now, or on resume if the process is suspended; never if the process has
         * ended by then.
         */
        void run(Runnable what) {
            ProcessIdentity mine = who;
            Runnable still =
                    () -> {
                        if (mine.equals(who) && !crashed) {
                            what.run();
                        }
                    };
            if (stopped) {
                held.add(still);
            } else {
                still.run();
            }
        }

        void later(Duration wait, Runnable what) {
            ProcessIdentity mine = who;
            after(
                    wait,
                    () -> {
                        if (mine.equals(who)) {
                            run(what);
                        }
                    });
        }

        void stop() {
            stopped = true;
        }

        void wake() {
            stopped = false;
            List<Runnable> all = new ArrayList<>(held);
            held.clear();
            while (!all.isEmpty()) {
                all.remove(chance.nextInt(all.size())).run();
            }
            // Bursts that queued up during the suspension.
            for (int i = 0; i < QUEUED; i++) {
                later(upTo(TICK.multipliedBy(5)), this::sendAny);
            }
        }

        void crash() {
            crashed = true;
            held.clear();
            stopped = false;
        }

        // ---- actions of the process

        void tick() {
            later(TICK, this::tick);
            for (int i = 0; i < stripes.size(); i++) {
                CoordinationStripe stripe = stripes.get(i);
                boolean was = stripe.election().isLeader(clock());
                CoordinationStripe.OutgoingMessages due = stripe.pollMessages(clock());
                if (due.voteRequest() != null) {
                    routers.stream()
                            .filter(other -> other != this)
                            .forEach(other -> ask(other, due.voteRequest()));
                }
                int at = i;
                due.leaseRequests()
                        .forEach(
                                asked ->
                                        routers.stream()
                                                .filter(
                                                        other ->
                                                                other.name.equals(
                                                                        due.leader().name()))
                                                .forEach(other -> ask(other, at, asked)));
                won += !was && stripe.election().isLeader(clock()) ? 1 : 0;
            }
        }

        private void ask(Router other, VoteRequest ballot) {
            CoordinationStripe mine = stripes.get(ballot.stripe());
            message(
                    this,
                    other,
                    () -> {
                        var vote = other.stripes.get(ballot.stripe()).handle(other.clock(), ballot);
                        message(
                                other,
                                this,
                                mine,
                                () -> {
                                    boolean was = mine.election().isLeader(clock());
                                    mine.onVote(clock(), vote);
                                    if (!was && mine.election().isLeader(clock())) {
                                        won++;
                                        oneKeeper(ballot.stripe());
                                    }
                                });
                    });
        }

        private void ask(Router other, int stripe, LeaseRequest asked) {
            CoordinationStripe mine = stripes.get(stripe);
            message(
                    this,
                    other,
                    () -> {
                        var grant = other.stripes.get(stripe).handle(other.clock(), asked);
                        message(other, this, mine, () -> mine.onGrant(clock(), grant));
                    });
        }

        void nextSend() {
            // Every third router sends most of the work.
            double busy = routers.indexOf(this) % 3 == 2 ? 1 : plan.faults() ? 2 : 40;
            later(
                    Duration.ofNanos(
                            (long)
                                    (-Math.log(1 - chance.nextDouble())
                                            * BETWEEN_BURSTS.toNanos()
                                            * busy)),
                    this::nextSend);
            sendAny();
        }

        private void sendAny() {
            if (!knows.isEmpty()) {
                NodeIncarnation key =
                        new ArrayList<>(knows.values()).get(chance.nextInt(knows.size()));
                for (int i = chance.nextInt(BURST_MOST); i >= 0; i--) {
                    send(key);
                }
                // Suspends the process between the admission and the sending of its attempts.
                if (troubled && chance.nextDouble() < STOPPED_IN_A_BURST) {
                    halt(this, upTo(Duration.ofSeconds(4)));
                }
            }
        }

        private void send(NodeIncarnation key) {
            CoordinationStripe stripe = stripes.get(stripeOf(key.name()));
            double amount = plan.leases().maxAttemptWork() * (0.2 + 0.8 * chance.nextDouble());
            // The node's age, as estimated by the router's own clock, never exceeds the true one.
            Duration age =
                    Duration.ofNanos(
                            (long) (clock().minus(heardAt.get(key)).toNanos() * (1 - 2 * RATES)));
            if (!stripe.tryAcquire(clock(), key, amount, budget(age))) {
                return;
            }
            if (plan.defect() == DefectiveCoordination.Defect.CHECKS_NOT_HELD_DOWN) {
                stripe.release(key, amount);
            }
            // The thread sends the attempt after a delay, or on resume if the process is suspended.
            later(
                    troubled && starved
                            ? upTo(STARVED)
                            : Duration.ofNanos(
                                    (long)
                                            (chance.nextDouble()
                                                    * (chance.nextDouble() < 0.1 ? 3e7 : 1e6))),
                    () -> {
                        sent(key, amount);
                        if (plan.defect() != DefectiveCoordination.Defect.CHECKS_NOT_HELD_DOWN) {
                            stripe.release(key, amount);
                        }
                    });
        }
    }

    private final Plan plan;
    private final UniformRandomProvider chance;
    private final List<String> names;
    private final List<Router> routers = new ArrayList<>();
    private final Map<String, NodeIncarnation> nodes = new LinkedHashMap<>();
    private final Map<NodeIncarnation, Duration> startedAt = new LinkedHashMap<>();
    private final Map<NodeIncarnation, Deque<Map.Entry<Duration, Double>>> sent =
            new LinkedHashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::number));
    private final List<String> broken = new ArrayList<>();
    private final boolean[][] cut;
    private long eventCount;
    private long incarnations;
    private Duration now = Duration.ZERO;
    private boolean troubled;
    private int won;
    private int sends;
    private double used;
    private double measured;
    private Duration carriesAt;

    /** Prepares a run in which the seed decides every random choice. */
    public CoordinationSimulation(Plan plan, long seed) {
        this.plan = plan;
        this.chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.names = IntStream.range(0, plan.routers()).mapToObj(i -> "r" + i).toList();
        this.cut = new boolean[plan.routers()][plan.routers()];
        names.forEach(name -> routers.add(new Router(name)));
    }

    // ---- the run

    /** Runs the simulation. Returns the violations, one per line; empty if there are none. */
    public List<String> run() {
        IntStream.range(0, plan.nodes()).forEach(i -> restart("n" + i));
        routers.forEach(Router::start);
        troubled = plan.faults();
        for (int i = 0; i < plan.cutOff(); i++) {
            for (int j = plan.cutOff(); j < plan.routers(); j++) {
                cut[i][j] = true;
                cut[j][i] = true;
            }
        }
        after(Duration.ofMillis(200), this::nextTrouble);
        boolean calm = false;
        while (broken.isEmpty() && events.peek().at().compareTo(plan.length()) < 0) {
            Event next = events.poll();
            now = next.at();
            if (!calm && now.compareTo(plan.length().minus(CALM)) > 0) {
                calm = true;
                calm();
            }
            next.what().run();
        }
        if (broken.isEmpty() && plan.faults()) {
            settled();
        }
        return broken;
    }

    /** Returns how much of the budgets was used. */
    public Use use() {
        double budget = 0;
        for (NodeIncarnation key : nodes.values()) {
            for (Duration at = startedAt.get(key);
                    at.compareTo(now) < 0;
                    at = at.plus(plan.leases().window())) {
                budget += budget(at.minus(startedAt.get(key))).current();
            }
        }
        return new Use(used, budget, won, sends, carriesAt);
    }

    /**
     * Checks that after the span without faults each stripe has a leader, and at least half of the
     * leasable budget is leased.
     */
    private void settled() {
        for (int i = 0; i < plan.stripes(); i++) {
            int stripe = i;
            if (routers.stream()
                    .noneMatch(
                            one -> one.stripes.get(stripe).leaseIssuer().canGrant(one.clock()))) {
                broken.add(
                        "stripe "
                                + i
                                + " has no leader that can grant leases "
                                + CALM.toMillis()
                                + " ms after the last fault");
            }
        }
        double leased =
                routers.stream()
                        .flatMap(
                                one ->
                                        one.stripes.stream()
                                                .flatMap(
                                                        stripe ->
                                                                stripe
                                                                        .leasedAmounts(one.clock())
                                                                        .entrySet()
                                                                        .stream()))
                        .filter(entry -> nodes.containsValue(entry.getKey()))
                        .mapToDouble(Map.Entry::getValue)
                        .sum();
        double least = plan.nodes() * plan.leases().leasable(FIRST_BUDGET) / 2;
        if (leased < least) {
            broken.add(
                    String.format(
                            "leases of %.3f are held at the end, expected at least %.3f",
                            leased, least));
        }
    }

    private void calm() {
        troubled = false;
        for (boolean[] row : cut) {
            if (plan.cutOff() == 0) {
                Arrays.fill(row, false);
            }
        }
        routers.forEach(
                router -> {
                    if (router.stopped) {
                        router.wake();
                    }
                    if (router.crashed) {
                        router.start();
                    }
                });
    }

    private void after(Duration wait, Runnable what) {
        events.add(new Event(now.plus(wait), eventCount++, what));
    }

    // ---- the network

    private Duration way() {
        double kind = chance.nextDouble();
        double most = !troubled || kind < 0.9 ? 2e6 : kind < 0.98 ? 3e8 : 4e9;
        return Duration.ofNanos((long) (5e5 + chance.nextDouble() * most));
    }

    private void message(Router from, Router to, Runnable arrives) {
        int copies =
                troubled ? chance.nextDouble() < 0.05 ? 0 : chance.nextDouble() < 0.05 ? 2 : 1 : 1;
        for (int i = 0; i < copies && !cut[routers.indexOf(from)][routers.indexOf(to)]; i++) {
            after(
                    way(),
                    () -> {
                        if (to.stripes != null && !to.crashed) {
                            to.run(arrives);
                        }
                    });
        }
    }

    /** Sends a response, which is dropped if the requesting process has been replaced. */
    private void message(Router from, Router to, CoordinationStripe asker, Runnable arrives) {
        message(
                from,
                to,
                () -> {
                    if (to.stripes.contains(asker)) {
                        arrives.run();
                    }
                });
    }

    private int stripeOf(String node) {
        return Math.floorMod(node.hashCode(), plan.stripes());
    }

    // ---- faults

    private void nextTrouble() {
        if (!troubled) {
            return;
        }
        after(upTo(Duration.ofMillis(1200)), this::nextTrouble);
        Router router = routers.get(chance.nextInt(routers.size()));
        switch (chance.nextInt(8)) {
            case 0 -> crash(router, upTo(Duration.ofMillis(1500)));
            case 1 -> keepers().forEach(keeper -> crash(keeper, upTo(Duration.ofMillis(500))));
            case 2 -> halt(router, upTo(Duration.ofSeconds(4)));
            case 3 -> keepers().forEach(keeper -> halt(keeper, upTo(Duration.ofSeconds(4))));
            case 4 -> cutOff(chance.nextInt(3), upTo(Duration.ofSeconds(5)));
            case 5 -> cutOff(chance.nextInt(3), upTo(Duration.ofSeconds(2)));
            case 6 -> restart("n" + chance.nextInt(plan.nodes()));
            default -> {
                // Crashes all routers, or about half of them, so that often a majority of voters
                // has no memory.
                double share = chance.nextDouble() < 0.3 ? 1 : 0.5;
                routers.stream()
                        .filter(one -> chance.nextDouble() < share)
                        .forEach(one -> crash(one, upTo(Duration.ofMillis(40))));
            }
        }
    }

    private List<Router> keepers() {
        return routers.stream()
                .filter(
                        one ->
                                !one.crashed
                                        && !one.stopped
                                        && one.stripes.stream()
                                                .anyMatch(
                                                        stripe ->
                                                                stripe.election()
                                                                        .isLeader(one.clock())))
                .toList();
    }

    private Duration upTo(Duration most) {
        return Duration.ofNanos((long) (chance.nextDouble() * most.toNanos()));
    }

    private void crash(Router router, Duration away) {
        if (!router.crashed) {
            router.crash();
            after(
                    away,
                    () -> {
                        if (router.crashed) {
                            router.start();
                        }
                    });
        }
    }

    private void halt(Router router, Duration away) {
        if (!router.crashed && !router.stopped) {
            router.stop();
            after(
                    away,
                    () -> {
                        if (router.stopped) {
                            router.wake();
                        }
                    });
        }
    }

    /**
     * Cuts a random set of routers off from the others: in both directions, or in one of them only.
     */
    private void cutOff(int how, Duration away) {
        boolean[] aside = new boolean[plan.routers()];
        for (int i = 0; i < aside.length; i++) {
            aside[i] = chance.nextDouble() < 0.4;
        }
        set(aside, how, true);
        after(away, () -> set(aside, how, false));
    }

    private void set(boolean[] aside, int how, boolean to) {
        for (int i = 0; i < aside.length; i++) {
            for (int j = 0; j < aside.length; j++) {
                if (aside[i] && !aside[j]) {
                    cut[i][j] = how != 1 ? to : cut[i][j];
                    cut[j][i] = how != 2 ? to : cut[j][i];
                }
            }
        }
    }

    /** Starts or restarts a node, cold. Routers learn of it at different times. */
    private void restart(String node) {
        NodeIncarnation key = new NodeIncarnation(node, ++incarnations);
        nodes.put(node, key);
        startedAt.put(key, now);
        sent.put(key, new ArrayDeque<>());
        for (Router router : routers) {
            after(
                    upTo(Duration.ofMillis(200)),
                    () -> {
                        if (router.stripes != null) {
                            router.run(() -> router.hears(key));
                        }
                    });
        }
    }

    // ---- checks

    /** Returns the budget at the start of a window that ends at this age of the node. */
    private SlowStartBudget budget(Duration age) {
        double risen =
                Math.max(
                        0,
                        Math.min(
                                1,
                                (double) age.minus(plan.leases().window()).toNanos()
                                        / RAMP.toNanos()));
        return new SlowStartBudget(FIRST_BUDGET, FIRST_BUDGET * (1 + (RISES_TO - 1) * risen));
    }

    private void sent(NodeIncarnation key, double amount) {
        sends++;
        used += amount;
        Deque<Map.Entry<Duration, Double>> all = sent.get(key);
        all.add(Map.entry(now, amount));
        while (all.peek().getKey().compareTo(now.minus(plan.leases().window())) < 0) {
            all.poll();
        }
        double sum = all.stream().mapToDouble(Map.Entry::getValue).sum();
        double limit = budget(now.minus(startedAt.get(key))).current();
        measured = Math.max(measured, sum / limit);
        if (carriesAt == null && sum > limit / 2) {
            carriesAt = now.minus(startedAt.get(key));
        }
        if (sum > limit + 1e-6) {
            broken.add(
                    String.format(
                            "at %d ms node %s was sent %.4f within %d ms, over its budget of %.4f",
                            now.toMillis(), key, sum, plan.leases().window().toMillis(), limit));
        }
    }

    /** Returns the largest share of a budget that was sent in any window. */
    public double fullest() {
        return measured;
    }

    /**
     * Checks that at most one process leads the stripe. Suspended processes count as leaders while
     * their own clocks say that they lead.
     */
    private void oneKeeper(int stripe) {
        List<String> in =
                routers.stream()
                        .filter(
                                one ->
                                        !one.crashed
                                                && one.stripes
                                                        .get(stripe)
                                                        .election()
                                                        .isLeader(one.clock()))
                        .map(one -> one.name)
                        .toList();
        if (in.size() > 1) {
            broken.add(
                    "at " + now.toMillis() + " ms " + in + " are all leaders of stripe " + stripe);
        }
    }
}
