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
     * The size, length and faults of a run. Faults are injected until {@link #FAULT_FREE_SPAN}
     * before the end.
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
            ElectionTimeouts electionTimeouts,
            DefectiveCoordination.Defect defect) {}

    /**
     * How much of the slow-start budgets was used.
     *
     * @param usedWork the work that was sent
     * @param budget the work that the budgets allowed
     * @param leadershipsWon how often a router became leader of a stripe
     * @param attemptsSent the number of attempts sent
     * @param halfUsedAge the age of a node when a window first used more than half of its budget;
     *     null if none did
     */
    public record BudgetUsage(
            double usedWork,
            double budget,
            int leadershipsWon,
            int attemptsSent,
            Duration halfUsedAge) {}

    private static final Duration TICK = Duration.ofMillis(20);

    /**
     * The span without faults at the end, in which leaders are elected and leases are granted
     * again.
     */
    static final Duration FAULT_FREE_SPAN = Duration.ofSeconds(8);

    /**
     * The largest deviation of a clock's rate. Over the longest lease span it stays below the clock
     * drift that the lease parameters allow for.
     */
    private static final double MAX_RATE_DEVIATION = 0.004;

    private static final double FIRST_BUDGET = 4;

    /** The age at which the budget has grown to {@link #RAMP_FACTOR} times the first budget. */
    private static final Duration RAMP = Duration.ofSeconds(30);

    private static final double RAMP_FACTOR = 2;

    /**
     * The mean interval between the bursts of one router, to any node: more work than the budgets
     * allow.
     */
    private static final Duration BURST_INTERVAL = Duration.ofMillis(6);

    private static final int MAX_BURST = 12;
    private static final Duration MAX_STARVATION = Duration.ofMillis(600);
    private static final double SUSPENDED_IN_BURST = 0.001;

    /** Bursts that are queued for a process while it is suspended. */
    private static final int QUEUED_BURSTS = 40;

    private record Event(Duration at, long number, Runnable action) {}

    /** A router name and its current process; a restart replaces the process. */
    private final class Router {
        final String name;
        final double rate = 1 + MAX_RATE_DEVIATION * (2 * random.nextDouble() - 1);
        final Duration offset = Duration.ofNanos((long) (random.nextDouble() * 1e12));
        ProcessIdentity process;
        List<CoordinationStripe> stripes;

        /**
         * Whether its threads get little CPU time, so that attempts are sent long after they were
         * admitted.
         */
        final boolean starved = random.nextDouble() < 0.3;

        boolean suspended;
        boolean crashed;

        /** Events that arrived while the process was suspended. */
        final List<Runnable> deferredEvents = new ArrayList<>();

        /** The newest known incarnation by node name. */
        final Map<String, NodeIncarnation> knownNodes = new LinkedHashMap<>();

        final Map<NodeIncarnation, Duration> learntAt = new LinkedHashMap<>();

        Router(String name) {
            this.name = name;
        }

        Duration clock() {
            return offset.plusNanos((long) (now.toNanos() * rate));
        }

        void start() {
            crashed = false;
            process = new ProcessIdentity(name, ++incarnations);
            knownNodes.clear();
            stripes =
                    IntStream.range(0, plan.stripes())
                            .mapToObj(
                                    i ->
                                            DefectiveCoordination.of(
                                                    plan.defect(),
                                                    i,
                                                    process,
                                                    names,
                                                    plan.leases(),
                                                    plan.electionTimeouts(),
                                                    clock(),
                                                    new Random(random.nextLong())))
                            .toList();
            nodes.forEach((node, key) -> learn(key));
            run(this::tick);
            run(this::nextBurst);
        }

        void learn(NodeIncarnation key) {
            NodeIncarnation known = knownNodes.get(key.name());
            if (known == null || known.incarnation() < key.incarnation()) {
                knownNodes.put(key.name(), key);
                learntAt.put(key, clock());
            }
        }

        /**
         * Runs the action now, or on resume if the process is suspended; never if the process has
         * ended by then.
         */
        void run(Runnable action) {
            ProcessIdentity scheduledBy = process;
            Runnable ifSameProcess =
                    () -> {
                        if (scheduledBy.equals(process) && !crashed) {
                            action.run();
                        }
                    };
            if (suspended) {
                deferredEvents.add(ifSameProcess);
            } else {
                ifSameProcess.run();
            }
        }

        void afterDelay(Duration wait, Runnable action) {
            ProcessIdentity scheduledBy = process;
            after(
                    wait,
                    () -> {
                        if (scheduledBy.equals(process)) {
                            run(action);
                        }
                    });
        }

        void suspend() {
            suspended = true;
        }

        void resume() {
            suspended = false;
            List<Runnable> all = new ArrayList<>(deferredEvents);
            deferredEvents.clear();
            while (!all.isEmpty()) {
                all.remove(random.nextInt(all.size())).run();
            }
            // Bursts that queued up during the suspension.
            for (int i = 0; i < QUEUED_BURSTS; i++) {
                afterDelay(randomDuration(TICK.multipliedBy(5)), this::sendBurst);
            }
        }

        void crash() {
            crashed = true;
            deferredEvents.clear();
            suspended = false;
        }

        // ---- actions of the process

        void tick() {
            afterDelay(TICK, this::tick);
            for (int i = 0; i < stripes.size(); i++) {
                CoordinationStripe stripe = stripes.get(i);
                boolean wasLeader = stripe.election().isLeader(clock());
                CoordinationStripe.OutgoingMessages due = stripe.pollMessages(clock());
                if (due.voteRequest() != null) {
                    routers.stream()
                            .filter(other -> other != this)
                            .forEach(other -> sendVoteRequest(other, due.voteRequest()));
                }
                int at = i;
                due.leaseRequests()
                        .forEach(
                                request ->
                                        routers.stream()
                                                .filter(
                                                        other ->
                                                                other.name.equals(
                                                                        due.leader().name()))
                                                .forEach(
                                                        other ->
                                                                sendLeaseRequest(
                                                                        other, at, request)));
                leadershipsWon += !wasLeader && stripe.election().isLeader(clock()) ? 1 : 0;
            }
        }

        private void sendVoteRequest(Router other, VoteRequest request) {
            CoordinationStripe ownStripe = stripes.get(request.stripe());
            sendMessage(
                    this,
                    other,
                    () -> {
                        var vote =
                                other.stripes.get(request.stripe()).handle(other.clock(), request);
                        sendMessage(
                                other,
                                this,
                                ownStripe,
                                () -> {
                                    boolean wasLeader = ownStripe.election().isLeader(clock());
                                    ownStripe.onVote(clock(), vote);
                                    if (!wasLeader && ownStripe.election().isLeader(clock())) {
                                        leadershipsWon++;
                                        checkSingleLeader(request.stripe());
                                    }
                                });
                    });
        }

        private void sendLeaseRequest(Router other, int stripe, LeaseRequest request) {
            CoordinationStripe ownStripe = stripes.get(stripe);
            sendMessage(
                    this,
                    other,
                    () -> {
                        var grant = other.stripes.get(stripe).handle(other.clock(), request);
                        sendMessage(
                                other, this, ownStripe, () -> ownStripe.onGrant(clock(), grant));
                    });
        }

        void nextBurst() {
            // Every third router sends most of the work.
            double intervalFactor = routers.indexOf(this) % 3 == 2 ? 1 : plan.faults() ? 2 : 40;
            afterDelay(
                    Duration.ofNanos(
                            (long)
                                    (-Math.log(1 - random.nextDouble())
                                            * BURST_INTERVAL.toNanos()
                                            * intervalFactor)),
                    this::nextBurst);
            sendBurst();
        }

        private void sendBurst() {
            if (!knownNodes.isEmpty()) {
                NodeIncarnation key =
                        new ArrayList<>(knownNodes.values()).get(random.nextInt(knownNodes.size()));
                for (int i = random.nextInt(MAX_BURST); i >= 0; i--) {
                    send(key);
                }
                // Suspends the process between the admission and the sending of its attempts.
                if (faultsActive && random.nextDouble() < SUSPENDED_IN_BURST) {
                    suspendFor(this, randomDuration(Duration.ofSeconds(4)));
                }
            }
        }

        private void send(NodeIncarnation key) {
            CoordinationStripe stripe = stripes.get(stripeOf(key.name()));
            double amount = plan.leases().maxAttemptWork() * (0.2 + 0.8 * random.nextDouble());
            // The node's age, as estimated by the router's own clock, never exceeds the true one.
            Duration age =
                    Duration.ofNanos(
                            (long)
                                    (clock().minus(learntAt.get(key)).toNanos()
                                            * (1 - 2 * MAX_RATE_DEVIATION)));
            if (!stripe.tryAcquire(clock(), key, amount, budget(age))) {
                return;
            }
            if (plan.defect() == DefectiveCoordination.Defect.CHECKS_NOT_HELD_DOWN) {
                stripe.release(key, amount);
            }
            // The thread sends the attempt after a delay, or on resume if the process is suspended.
            afterDelay(
                    faultsActive && starved
                            ? randomDuration(MAX_STARVATION)
                            : Duration.ofNanos(
                                    (long)
                                            (random.nextDouble()
                                                    * (random.nextDouble() < 0.1 ? 3e7 : 1e6))),
                    () -> {
                        onSent(key, amount);
                        if (plan.defect() != DefectiveCoordination.Defect.CHECKS_NOT_HELD_DOWN) {
                            stripe.release(key, amount);
                        }
                    });
        }
    }

    private final Plan plan;
    private final UniformRandomProvider random;
    private final List<String> names;
    private final List<Router> routers = new ArrayList<>();
    private final Map<String, NodeIncarnation> nodes = new LinkedHashMap<>();
    private final Map<NodeIncarnation, Duration> startedAt = new LinkedHashMap<>();
    private final Map<NodeIncarnation, Deque<Map.Entry<Duration, Double>>> sentWork =
            new LinkedHashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::number));
    private final List<String> violations = new ArrayList<>();
    private final boolean[][] cut;
    private long eventCount;
    private long incarnations;
    private Duration now = Duration.ZERO;
    private boolean faultsActive;
    private int leadershipsWon;
    private int attemptsSent;
    private double usedWork;
    private double fullestWindow;
    private Duration halfUsedAge;

    /** Prepares a run in which the seed decides every random choice. */
    public CoordinationSimulation(Plan plan, long seed) {
        this.plan = plan;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.names = IntStream.range(0, plan.routers()).mapToObj(i -> "r" + i).toList();
        this.cut = new boolean[plan.routers()][plan.routers()];
        names.forEach(name -> routers.add(new Router(name)));
    }

    // ---- the run

    /** Runs the simulation. Returns the violations, one per line; empty if there are none. */
    public List<String> run() {
        IntStream.range(0, plan.nodes()).forEach(i -> restart("n" + i));
        routers.forEach(Router::start);
        faultsActive = plan.faults();
        for (int i = 0; i < plan.cutOff(); i++) {
            for (int j = plan.cutOff(); j < plan.routers(); j++) {
                cut[i][j] = true;
                cut[j][i] = true;
            }
        }
        after(Duration.ofMillis(200), this::injectNextFault);
        boolean faultsEnded = false;
        while (violations.isEmpty() && events.peek().at().compareTo(plan.length()) < 0) {
            Event next = events.poll();
            now = next.at();
            if (!faultsEnded && now.compareTo(plan.length().minus(FAULT_FREE_SPAN)) > 0) {
                faultsEnded = true;
                endFaults();
            }
            next.action().run();
        }
        if (violations.isEmpty() && plan.faults()) {
            checkSettled();
        }
        return violations;
    }

    /** Returns how much of the budgets was used. */
    public BudgetUsage budgetUsage() {
        double budget = 0;
        for (NodeIncarnation key : nodes.values()) {
            for (Duration at = startedAt.get(key);
                    at.compareTo(now) < 0;
                    at = at.plus(plan.leases().window())) {
                budget += budget(at.minus(startedAt.get(key))).current();
            }
        }
        return new BudgetUsage(usedWork, budget, leadershipsWon, attemptsSent, halfUsedAge);
    }

    /**
     * Checks that after the span without faults each stripe has a leader, and at least half of the
     * leasable budget is leased.
     */
    private void checkSettled() {
        for (int i = 0; i < plan.stripes(); i++) {
            int stripe = i;
            if (routers.stream()
                    .noneMatch(
                            one -> one.stripes.get(stripe).leaseIssuer().canGrant(one.clock()))) {
                violations.add(
                        "stripe "
                                + i
                                + " has no leader that can grant leases "
                                + FAULT_FREE_SPAN.toMillis()
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
        double minimum = plan.nodes() * plan.leases().leasable(FIRST_BUDGET) / 2;
        if (leased < minimum) {
            violations.add(
                    String.format(
                            "leases of %.3f are held at the end, expected at least %.3f",
                            leased, minimum));
        }
    }

    private void endFaults() {
        faultsActive = false;
        for (boolean[] row : cut) {
            if (plan.cutOff() == 0) {
                Arrays.fill(row, false);
            }
        }
        routers.forEach(
                router -> {
                    if (router.suspended) {
                        router.resume();
                    }
                    if (router.crashed) {
                        router.start();
                    }
                });
    }

    private void after(Duration wait, Runnable action) {
        events.add(new Event(now.plus(wait), eventCount++, action));
    }

    // ---- the network

    private Duration networkDelay() {
        double kind = random.nextDouble();
        double max = !faultsActive || kind < 0.9 ? 2e6 : kind < 0.98 ? 3e8 : 4e9;
        return Duration.ofNanos((long) (5e5 + random.nextDouble() * max));
    }

    private void sendMessage(Router from, Router to, Runnable arrives) {
        int copies =
                faultsActive
                        ? random.nextDouble() < 0.05 ? 0 : random.nextDouble() < 0.05 ? 2 : 1
                        : 1;
        for (int i = 0; i < copies && !cut[routers.indexOf(from)][routers.indexOf(to)]; i++) {
            after(
                    networkDelay(),
                    () -> {
                        if (to.stripes != null && !to.crashed) {
                            to.run(arrives);
                        }
                    });
        }
    }

    /** Sends a response, which is dropped if the requesting process has been replaced. */
    private void sendMessage(
            Router from, Router to, CoordinationStripe requester, Runnable arrives) {
        sendMessage(
                from,
                to,
                () -> {
                    if (to.stripes.contains(requester)) {
                        arrives.run();
                    }
                });
    }

    private int stripeOf(String node) {
        return Math.floorMod(node.hashCode(), plan.stripes());
    }

    // ---- faults

    private void injectNextFault() {
        if (!faultsActive) {
            return;
        }
        after(randomDuration(Duration.ofMillis(1200)), this::injectNextFault);
        Router router = routers.get(random.nextInt(routers.size()));
        switch (random.nextInt(8)) {
            case 0 -> crash(router, randomDuration(Duration.ofMillis(1500)));
            case 1 ->
                    leaders()
                            .forEach(
                                    leader ->
                                            crash(leader, randomDuration(Duration.ofMillis(500))));
            case 2 -> suspendFor(router, randomDuration(Duration.ofSeconds(4)));
            case 3 ->
                    leaders()
                            .forEach(
                                    leader ->
                                            suspendFor(
                                                    leader, randomDuration(Duration.ofSeconds(4))));
            case 4 -> cutOff(random.nextInt(3), randomDuration(Duration.ofSeconds(5)));
            case 5 -> cutOff(random.nextInt(3), randomDuration(Duration.ofSeconds(2)));
            case 6 -> restart("n" + random.nextInt(plan.nodes()));
            default -> {
                // Crashes all routers, or about half of them, so that often a majority of voters
                // has no memory.
                double share = random.nextDouble() < 0.3 ? 1 : 0.5;
                routers.stream()
                        .filter(one -> random.nextDouble() < share)
                        .forEach(one -> crash(one, randomDuration(Duration.ofMillis(40))));
            }
        }
    }

    private List<Router> leaders() {
        return routers.stream()
                .filter(
                        one ->
                                !one.crashed
                                        && !one.suspended
                                        && one.stripes.stream()
                                                .anyMatch(
                                                        stripe ->
                                                                stripe.election()
                                                                        .isLeader(one.clock())))
                .toList();
    }

    private Duration randomDuration(Duration max) {
        return Duration.ofNanos((long) (random.nextDouble() * max.toNanos()));
    }

    private void crash(Router router, Duration span) {
        if (!router.crashed) {
            router.crash();
            after(
                    span,
                    () -> {
                        if (router.crashed) {
                            router.start();
                        }
                    });
        }
    }

    private void suspendFor(Router router, Duration span) {
        if (!router.crashed && !router.suspended) {
            router.suspend();
            after(
                    span,
                    () -> {
                        if (router.suspended) {
                            router.resume();
                        }
                    });
        }
    }

    /**
     * Cuts a random set of routers off from the others.
     *
     * @param direction 0 for both directions, 1 for messages to the cut-off routers only, 2 for
     *     messages from them only
     */
    private void cutOff(int direction, Duration span) {
        boolean[] isolated = new boolean[plan.routers()];
        for (int i = 0; i < isolated.length; i++) {
            isolated[i] = random.nextDouble() < 0.4;
        }
        setLinks(isolated, direction, true);
        after(span, () -> setLinks(isolated, direction, false));
    }

    private void setLinks(boolean[] isolated, int direction, boolean to) {
        for (int i = 0; i < isolated.length; i++) {
            for (int j = 0; j < isolated.length; j++) {
                if (isolated[i] && !isolated[j]) {
                    cut[i][j] = direction != 1 ? to : cut[i][j];
                    cut[j][i] = direction != 2 ? to : cut[j][i];
                }
            }
        }
    }

    /** Starts or restarts a node, cold. Routers learn of it at different times. */
    private void restart(String node) {
        NodeIncarnation key = new NodeIncarnation(node, ++incarnations);
        nodes.put(node, key);
        startedAt.put(key, now);
        sentWork.put(key, new ArrayDeque<>());
        for (Router router : routers) {
            after(
                    randomDuration(Duration.ofMillis(200)),
                    () -> {
                        if (router.stripes != null) {
                            router.run(() -> router.learn(key));
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
        return new SlowStartBudget(FIRST_BUDGET, FIRST_BUDGET * (1 + (RAMP_FACTOR - 1) * risen));
    }

    private void onSent(NodeIncarnation key, double amount) {
        attemptsSent++;
        usedWork += amount;
        Deque<Map.Entry<Duration, Double>> all = sentWork.get(key);
        all.add(Map.entry(now, amount));
        while (all.peek().getKey().compareTo(now.minus(plan.leases().window())) < 0) {
            all.poll();
        }
        double sum = all.stream().mapToDouble(Map.Entry::getValue).sum();
        double limit = budget(now.minus(startedAt.get(key))).current();
        fullestWindow = Math.max(fullestWindow, sum / limit);
        if (halfUsedAge == null && sum > limit / 2) {
            halfUsedAge = now.minus(startedAt.get(key));
        }
        if (sum > limit + 1e-6) {
            violations.add(
                    String.format(
                            "at %d ms node %s was sent %.4f within %d ms, over its budget of %.4f",
                            now.toMillis(), key, sum, plan.leases().window().toMillis(), limit));
        }
    }

    /** Returns the largest share of a budget that was sent in any window. */
    public double fullestShare() {
        return fullestWindow;
    }

    /**
     * Checks that at most one process leads the stripe. Suspended processes count as leaders while
     * their own clocks say that they lead.
     */
    private void checkSingleLeader(int stripe) {
        List<String> leaders =
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
        if (leaders.size() > 1) {
            violations.add(
                    "at "
                            + now.toMillis()
                            + " ms "
                            + leaders
                            + " are all leaders of stripe "
                            + stripe);
        }
    }
}
