package postbeam.rig;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import postbeam.errors.ExplainedException;
import postbeam.layouts.RecordForm;
import postbeam.migration.Cause;
import postbeam.migration.Checkpoint;
import postbeam.migration.Hop;
import postbeam.migration.Migration;
import postbeam.migration.MigrationBook;
import postbeam.migration.MigrationError;
import postbeam.migration.Noted;
import postbeam.migration.Stage;
import postbeam.slices.Book;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Logged;
import postbeam.slices.Move;
import postbeam.slices.Slice;

/**
 * Two members' migrations in one thread on a clock that jumps, every choice from one seed:
 * coordinators, nodes, routers that send holds, an operator. It knows what ran, and checks what it
 * sees against that.
 */
final class MigrationWorld {
    private static final int NODES = 7;
    private static final int SLICES = 6;
    private static final int HOLDERS = 3;
    private static final int ROUTERS = 3;
    private static final Duration LOAD = Duration.ofSeconds(9);
    private static final Duration END = Duration.ofSeconds(40);
    private static final Duration POLL = Duration.ofMillis(150);
    private static final Duration PATIENCE = Duration.ofSeconds(1);
    private static final Duration SLO = Duration.ofMillis(100);
    private static final Duration HOLD_EVERY = Duration.ofMillis(12);
    private static final double LOST_MESSAGES = 0.03;
    private static final double SPOILT_COPIES = 0.03;

    /** Records that most runs write: the one to die at goes round through them. */
    private static final int RECORDS = 90;

    private record Event(Duration at, long number, Runnable what) {}

    /** A router: its layout, until when it may go by it, and how long nothing reaches it. */
    private static final class Router {
        final String name;
        Layout layout;
        Duration leaseUntil = Duration.ZERO;
        Duration cutUntil = Duration.ZERO;
        int life;

        Router(String name) {
            this.name = name;
        }
    }

    /** Holds of a member at a time: how many, how many in time, and their times. */
    static final class Tally {
        int asked;
        int good;
        final List<Long> micros = new ArrayList<>();

        double utility() {
            return asked == 0 ? 1 : (double) good / asked;
        }

        long percentile(double share) {
            Collections.sort(micros);
            return micros.isEmpty()
                    ? 0
                    : micros.get(
                            (int) Math.min(micros.size() - 1L, (long) (share * micros.size())));
        }
    }

    final UniformRandomProvider chance;
    final MigrationTrial.Defect defect;
    final List<MigrationNode> nodes = new ArrayList<>();
    final Set<String> gone = new LinkedHashSet<>();
    final List<MigrationChief.Stored> log = new ArrayList<>();
    Duration now = Duration.ZERO;
    int recordsLeft;
    int slipped;
    private final long seed;
    private final boolean faults;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::number));
    private final List<Router> routers = new ArrayList<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, Long> keys = new LinkedHashMap<>();
    private final Set<String> done = new LinkedHashSet<>();
    private final Set<String> rejected = new LinkedHashSet<>();

    /** The slice that a move is about. */
    private final Map<Long, Integer> slicesOf = new HashMap<>();

    private final Map<Integer, Long> lastCut = new HashMap<>();
    private final Map<String, Tally> tallies = new TreeMap<>();
    private final Map<Long, Stage> goBackAt = new HashMap<>();
    private final Map<Long, Duration> pausedSince = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    final Set<String> diedAt = new TreeSet<>();
    final Map<String, Integer> seen = new TreeMap<>();
    private final Layout first;
    private final List<List<Hop>> plans = new ArrayList<>();
    private MigrationChief chief;
    private long eventCount;
    private long marks;
    private long turns;
    private boolean calm;

    MigrationWorld(long seed, MigrationTrial.Defect defect, boolean faults) {
        this.seed = seed;
        this.defect = defect;
        this.faults = faults;
        this.calm = !faults;
        chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int i = 0; i < NODES; i++) {
            nodes.add(new MigrationNode(this, "n" + i));
        }
        first = Layout.first(SLICES, nodes.stream().map(node -> node.name).toList(), HOLDERS);
        for (Slice slice : first.slices()) {
            for (String node : slice.nodes()) {
                MigrationNode.Copy copy =
                        new MigrationNode.Copy(slice.keys(), MigrationNode.Standing.SERVING);
                copy.copied = true;
                node(node).copies.put(slice.number(), copy);
            }
        }
        log.add(
                new MigrationChief.Stored(
                        0,
                        RecordForm.write(
                                new Logged.Whole(
                                        first, 1, 0, SLICES - 1, List.of(), null, List.of()))));
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(new Router("r" + i));
        }
        plans.add(List.of(hop(0), hop(1), hop(2)));
        plans.add(List.of(hop(3), hop(4)));
        recordsLeft = faults ? (int) (1 + seed % RECORDS) : 0;
    }

    private Hop hop(int slice) {
        List<String> held = first.slice(slice).nodes();
        List<String> others =
                nodes.stream().map(node -> node.name).filter(node -> !held.contains(node)).toList();
        return new Hop(
                slice,
                held.get(chance.nextInt(held.size())),
                others.get(chance.nextInt(others.size())));
    }

    // ---- the clock and chance

    void after(Duration wait, Runnable what) {
        events.add(new Event(now.plus(wait), eventCount++, what));
    }

    void hop(Runnable what) {
        after(Duration.ofMillis(1).plus(upTo(Duration.ofMillis(1))), what);
    }

    Duration upTo(Duration most) {
        return Duration.ofNanos((long) (chance.nextDouble() * most.toNanos()));
    }

    boolean with(double probability) {
        return chance.nextDouble() < probability;
    }

    /** Whether a message between coordinator and node is lost. */
    boolean lost() {
        return !calm && with(LOST_MESSAGES);
    }

    long nextMark() {
        return ++marks;
    }

    long nextTurn() {
        return ++turns;
    }

    MigrationNode node(String name) {
        return nodes.get(Integer.parseInt(name.substring(1)));
    }

    /** A copy comes out wrong now and then: a row is missing. */
    void spoil(TreeMap<Long, MigrationNode.Row> rows) {
        if (!calm && !rows.isEmpty() && with(SPOILT_COPIES)) {
            rows.remove(new ArrayList<>(rows.keySet()).get(chance.nextInt(rows.size())));
            count("copies spoilt");
        }
    }

    private void count(String what) {
        seen.merge(what, 1, Integer::sum);
    }

    private void breaks(String what) {
        broken.add("at " + now.toMillis() + " ms: " + what);
    }

    // ---- the run

    Trial.Result run() {
        chief = new MigrationChief(this);
        routers.forEach(this::poll);
        after(Duration.ofMillis(100), this::load);
        after(Duration.ofMillis(300), this::operate);
        for (int i = 0; i < plans.size(); i++) {
            List<Hop> hops = plans.get(i);
            String member = "m" + i;
            after(Duration.ofMillis(700 + 300L * i), () -> open(member, hops));
        }
        if (faults) {
            after(upTo(Duration.ofSeconds(2)), this::trouble);
            after(LOAD, this::calm);
        }
        while (!events.isEmpty()
                && events.peek().at.compareTo(END) < 0
                && broken.isEmpty()
                && !atRest()) {
            Event next = events.poll();
            now = next.at;
            next.what.run();
        }
        if (broken.isEmpty()) {
            end();
        }
        return new Trial.Result(List.of(figures()), List.copyOf(broken));
    }

    /** The load is over, and all that it left. */
    private boolean atRest() {
        return now.compareTo(LOAD.plusSeconds(2)) > 0
                && chief.works()
                && chief.migrations.book().open().isEmpty()
                && chief.coordinator.book().moves().isEmpty()
                && chief.coordinator.book().owed().isEmpty();
    }

    private void calm() {
        calm = true;
        recordsLeft = 0;
        nodes.forEach(MigrationNode::back);
        routers.forEach(router -> router.cutUntil = Duration.ZERO);
        if (chief.dead()) {
            chief = new MigrationChief(this);
        }
    }

    private void open(String member, List<Hop> hops) {
        if (!chief.works() || now.compareTo(LOAD) > 0) {
            after(
                    Duration.ofMillis(100),
                    () -> {
                        if (now.compareTo(LOAD) < 0) {
                            open(member, hops);
                        }
                    });
            return;
        }
        chief.migrations.utility(member, 1);
        if (chief.ordered(migrations -> () -> migrations.open(member, hops, now)) != null) {
            after(Duration.ofMillis(100), () -> open(member, hops));
        }
    }

    // ---- routers and their holds

    private void poll(Router router) {
        int life = router.life;
        Duration asked = now;
        long version = router.layout == null ? 0 : router.layout.version;
        if (now.compareTo(router.cutUntil) >= 0) {
            hop(
                    () -> {
                        Layout layout = chief.asked(router.name, version);
                        hop(
                                () -> {
                                    if (layout != null
                                            && life == router.life
                                            && now.compareTo(router.cutUntil) >= 0) {
                                        router.leaseUntil =
                                                asked.plus(MigrationChief.LIMITS.lease());
                                        router.layout =
                                                router.layout == null
                                                                || layout.version
                                                                        > router.layout.version
                                                        ? layout
                                                        : router.layout;
                                    }
                                });
                    });
        }
        after(POLL, () -> poll(router));
    }

    private void load() {
        if (now.compareTo(LOAD) > 0) {
            return;
        }
        after(upTo(HOLD_EVERY.multipliedBy(2)), this::load);
        String id = "h" + keys.size();
        long key = (long) (chance.nextDouble() * KeyRange.KEYS);
        keys.put(id, key);
        Router router = routers.get(chance.nextInt(routers.size()));
        int slice = first.meeting(new KeyRange(key, key + 1)).get(0).number();
        Migration one = chief.migrations.book().owning(slice);
        String phase =
                one == null || one.stage() == Stage.PLANNED
                        ? "before or after"
                        : one.stage() == Stage.SWITCHING || one.stage() == Stage.ROLLING_BACK
                                ? "switch"
                                : "during";
        boolean moves = slice < 5;
        Tally tally =
                tallies.computeIfAbsent(
                        (moves ? "member " : "others ")
                                + (moves
                                        ? phase
                                        : chief.migrations.book().open().isEmpty()
                                                ? "before or after"
                                                : "during"),
                        name -> new Tally());
        tally.asked++;
        hold(router, router.life, id, key, now, tally, new ArrayList<>());
    }

    private void hold(
            Router router,
            int life,
            String id,
            long key,
            Duration from,
            Tally tally,
            List<String> left) {
        if (router.life != life) {
            return;
        }
        if (router.layout == null
                || now.compareTo(router.leaseUntil) >= 0
                || now.minus(from).compareTo(PATIENCE) > 0) {
            // It never ran: each that was asked said so.
            rejected.add(id);
            return;
        }
        Slice slice = router.layout.meeting(new KeyRange(key, key + 1)).get(0);
        List<String> holders = slice.nodes().stream().filter(node -> !left.contains(node)).toList();
        if (holders.isEmpty()) {
            after(
                    Duration.ofMillis(15),
                    () -> hold(router, life, id, key, from, tally, new ArrayList<>()));
            return;
        }
        String node = holders.get(chance.nextInt(holders.size()));
        long version = router.layout.version;
        hop(
                () ->
                        node(node)
                                .called(
                                        id,
                                        slice.number(),
                                        key,
                                        version,
                                        outcome -> {
                                            if (outcome.equals("moved")) {
                                                left.add(node);
                                                hold(router, life, id, key, from, tally, left);
                                            } else if (outcome.equals("done")
                                                    && router.life == life) {
                                                done.add(id);
                                                tally.good +=
                                                        now.minus(from).compareTo(SLO) <= 0 ? 1 : 0;
                                                tally.micros.add(now.minus(from).toNanos() / 1000);
                                            }
                                        }));
    }

    void ran(String hold) {
        if (runs.merge(hold, 1, Integer::sum) > 1) {
            breaks("hold " + hold + " ran twice");
        }
        if (rejected.contains(hold)) {
            breaks("hold " + hold + " ran though it was rejected");
        }
    }

    // ---- what coordinators write

    void written(MigrationChief by, Logged record) {
        if (record instanceof Logged.Planned planned) {
            slicesOf.put(planned.id(), planned.change().slices().get(0));
        } else if (record instanceof Logged.CutOver cut) {
            lastCut.put(slicesOf.get(cut.id()), cut.version());
        } else if (record instanceof Noted.Entered entered && entered.stage() == Stage.WATCHED) {
            Migration one = by.migrations.book().of(entered.id());
            long version =
                    one.hops.stream()
                            .mapToLong(hop -> lastCut.getOrDefault(hop.slice(), 0L))
                            .max()
                            .orElse(0);
            for (Router router : routers) {
                if (router.layout != null
                        && router.layout.version < version
                        && now.compareTo(router.leaseUntil) < 0) {
                    breaks(
                            "the switch is over, but "
                                    + router.name
                                    + " goes by layout "
                                    + router.layout.version
                                    + ", not "
                                    + version);
                }
            }
        }
        if (record instanceof Noted.Entered entered) {
            count("entered " + entered.stage().wireName());
        } else if (record instanceof Noted.Paused paused) {
            count("paused " + paused.cause().wireName());
        }
    }

    private static String kind(Logged record) {
        return record instanceof Noted migration
                ? kind(migration)
                : record instanceof Logged.Advanced advanced
                        ? "Advanced " + advanced.state()
                        : record.getClass().getSimpleName();
    }

    /** As it stands in what the trials count, whatever the types are called. */
    private static String kind(Noted record) {
        if (record instanceof Noted.Entered entered) {
            return "Entered " + entered.stage().wireName();
        }
        return record instanceof Noted.Opened
                ? "Opened"
                : record instanceof Noted.Verified
                        ? "Verified"
                        : record instanceof Noted.Opening
                                ? "Opening"
                                : record instanceof Noted.Passed
                                        ? "Passed"
                                        : record instanceof Noted.Paused
                                                ? "Paused"
                                                : record instanceof Noted.Resumed
                                                        ? "Resumed"
                                                        : record instanceof Noted.RollingBack
                                                                ? "RollingBack"
                                                                : "Standing";
    }

    /** The coordinator dies at this record; in turn a router or a source dies along with it. */
    void killedAtRecord(Logged record) {
        diedAt.add(kind(record));
        if (seed % 3 == 1) {
            restart(routers.get(chance.nextInt(routers.size())));
        } else if (seed % 3 == 2) {
            List<Hop> hops = plans.get(chance.nextInt(plans.size()));
            node(hops.get(chance.nextInt(hops.size())).from())
                    .die(Duration.ofMillis(100).plus(upTo(Duration.ofSeconds(1))));
        }
        after(upTo(Duration.ofMillis(700)), this::succeed);
    }

    private void succeed() {
        if (chief.dead()) {
            chief = new MigrationChief(this);
        }
    }

    void listed(MigrationNode node, boolean up) {
        if (up) {
            gone.remove(node.name);
        } else {
            gone.add(node.name);
        }
        chief.listed(node, up);
    }

    private void restart(Router router) {
        router.life++;
        router.layout = null;
        router.leaseUntil = Duration.ZERO;
    }

    // ---- troubles

    private void trouble() {
        if (calm) {
            return;
        }
        after(upTo(Duration.ofSeconds(2)), this::trouble);
        switch (chance.nextInt(6)) {
            case 0 -> {
                // One at a time: what all who hold a slice lose is lost with or without a
                // migration.
                if (nodes.stream().allMatch(node -> node.alive)) {
                    nodes.get(chance.nextInt(NODES))
                            .die(Duration.ofMillis(50).plus(upTo(Duration.ofMillis(900))));
                }
            }
            case 1 ->
                    nodes.get(chance.nextInt(NODES)).slowUntil =
                            now.plus(upTo(Duration.ofSeconds(1)));
            case 2 ->
                    routers.get(chance.nextInt(ROUTERS)).cutUntil =
                            now.plus(upTo(Duration.ofMillis(1500)));
            case 3 -> restart(routers.get(chance.nextInt(ROUTERS)));
            case 4 -> twoCoordinators();
            default -> {
                if (recordsLeft == 0) {
                    recordsLeft = 1 + chance.nextInt(12);
                }
            }
        }
    }

    /** One is stopped, its lock ends, a successor goes on, and the first wakes beside it. */
    private void twoCoordinators() {
        MigrationChief old = chief;
        if (!old.works()) {
            return;
        }
        old.stop();
        after(
                upTo(Duration.ofMillis(300)),
                () -> {
                    if (chief == old) {
                        chief = new MigrationChief(this);
                        count("successors beside a stopped one");
                    }
                });
        after(Duration.ofMillis(200).plus(upTo(Duration.ofMillis(900))), old::wake);
    }

    // ---- the operator

    private void operate() {
        after(Duration.ofMillis(30), this::operate);
        if (!chief.works()) {
            if (chief.dead() && with(0.05)) {
                succeed();
            }
            return;
        }
        for (Slice slice : chief.coordinator.book().layout().slices()) {
            long away =
                    slice.nodes().stream()
                            .map(this::node)
                            .filter(
                                    node ->
                                            node.alive
                                                    && (node.copies.get(slice.number()) == null
                                                            || node.copies.get(slice.number())
                                                                            .standing
                                                                    != MigrationNode.Standing
                                                                            .SERVING))
                            .count();
            if (away > 1) {
                breaks(away + " holders of slice " + slice.number() + " do not serve it");
            }
        }
        for (Migration one : List.copyOf(chief.migrations.book().open())) {
            operate(one);
        }
    }

    private void operate(Migration one) {
        Stage back =
                goBackAt.computeIfAbsent(
                        one.id,
                        id ->
                                !faults
                                        ? Stage.RETIRED
                                        : Stage.values()[chance.nextInt(Stage.values().length)]);
        if (one.stage() == back && one.stage().mayGoBack() && with(0.3)) {
            chief.ordered(
                    migrations -> () -> migrations.rollBack(one.id, "an operator's wish", now));
            return;
        }
        if (one.paused()) {
            Duration since = pausedSince.computeIfAbsent(one.id, id -> now);
            if (now.minus(since).compareTo(Duration.ofMillis(200)) > 0) {
                pausedSince.remove(one.id);
                if (one.cause() == Cause.DIFFERS && one.stage().mayGoBack() && with(0.5)) {
                    chief.ordered(
                            migrations -> () -> migrations.rollBack(one.id, one.pausedWhy(), now));
                } else {
                    chief.migrations.utility(one.member, 1);
                    chief.ordered(migrations -> () -> migrations.resume(one.id, now));
                }
            }
            return;
        }
        if (one.open() != null && (with(0.15) || calm)) {
            Checkpoint right = one.open();
            refused(
                    one.id,
                    new Checkpoint(right.version() + 1, right.digest()),
                    MigrationError.Stale.class);
            ExplainedException failed =
                    chief.ordered(migrations -> () -> migrations.pass(one.id, right, now));
            if (failed != null) {
                breaks("the right order was refused: " + failed.getMessage());
            }
            if (chief.works()) {
                refused(one.id, right, MigrationError.Doubled.class);
            }
        } else if (!calm && with(0.01)) {
            chief.ordered(migrations -> () -> migrations.pause(one.id, "an operator's wish", now));
        } else if (!calm && with(0.004)) {
            chief.migrations.utility(one.member, 0.5);
        }
    }

    private void refused(long id, Checkpoint named, Class<? extends MigrationError> as) {
        if (!chief.works()) {
            return;
        }
        ExplainedException refused =
                chief.ordered(migrations -> () -> migrations.pass(id, named, now));
        if (refused == null || refused.error().getClass() != as) {
            breaks("an order that is " + as.getSimpleName() + " was taken as " + refused);
        }
    }

    // ---- at the end

    private void end() {
        MigrationBook migrations = chief.migrations.book();
        Layout layout = chief.coordinator.book().layout();
        for (Migration one : migrations.open()) {
            breaks("progress: " + one + " does not end");
        }
        for (Move move : chief.coordinator.book().moves()) {
            breaks("progress: " + move + " does not end");
        }
        for (Migration one : migrations.all()) {
            count("ended " + one.stage().wireName());
            for (Hop hop : one.hops) {
                Slice slice = layout.slice(hop.slice());
                boolean old = slice.heldBy(hop.from()) && !slice.heldBy(hop.to());
                boolean fresh = !slice.heldBy(hop.from()) && slice.heldBy(hop.to());
                if (one.stage() == Stage.RETIRED && !fresh
                        || one.stage() == Stage.ROLLED_BACK && !old) {
                    breaks(one + " left slice " + hop.slice() + " with " + slice.nodes());
                }
            }
        }
        for (Slice slice : layout.slices()) {
            Set<String> ran = new TreeSet<>();
            keys.forEach(
                    (hold, key) -> {
                        if (runs.containsKey(hold)
                                && slice.keys().from() <= key
                                && key < slice.keys().to()) {
                            ran.add(hold);
                        }
                    });
            for (MigrationNode node : nodes) {
                MigrationNode.Copy copy = node.copies.get(slice.number());
                if (slice.heldBy(node.name)) {
                    holds(slice, node, copy, ran);
                } else if (copy != null) {
                    breaks("node " + node.name + " still has slice " + slice.number());
                }
            }
        }
        replays();
    }

    private void holds(Slice slice, MigrationNode node, MigrationNode.Copy copy, Set<String> ran) {
        if (copy == null || copy.standing != MigrationNode.Standing.SERVING) {
            breaks("node " + node.name + " does not serve slice " + slice.number());
            return;
        }
        Set<String> has = new TreeSet<>();
        copy.rows.values().forEach(row -> has.add(row.hold()));
        if (!has.equals(ran)) {
            Set<String> missing = new TreeSet<>(ran);
            missing.removeAll(has);
            boolean told = missing.stream().anyMatch(done::contains);
            breaks(
                    "node "
                            + node.name
                            + " serves slice "
                            + slice.number()
                            + " without "
                            + missing
                            + (told ? ", of which clients were told" : ""));
        }
    }

    /** What is on disk adds up to what the coordinator has. */
    private void replays() {
        Book moves = new Book(50);
        MigrationBook again = new MigrationBook();
        moves.others(again);
        try {
            for (MigrationChief.Stored stored : log) {
                if (stored.term() == 0 || stored.term() >= moves.term()) {
                    moves.apply(RecordForm.read(stored.bytes()));
                }
            }
        } catch (java.io.IOException | IllegalArgumentException e) {
            breaks("the log can't be read: " + e.getMessage());
            return;
        }
        List<Logged.Other> here = chief.migrations.book().whole();
        List<Logged.Other> there = again.whole();
        boolean same =
                here.size() == there.size()
                        && moves.layout().version == chief.coordinator.book().layout().version;
        for (int i = 0; same && i < here.size(); i++) {
            same = Arrays.equals(RecordForm.write(here.get(i)), RecordForm.write(there.get(i)));
        }
        if (!same) {
            breaks("the log adds up to something else than the coordinator has");
        }
    }

    private String figures() {
        StringBuilder line =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "seed %d: %d holds, %d done, %d rejected, " + "%d records; ",
                                seed,
                                keys.size(),
                                done.size(),
                                rejected.size(),
                                log.size()));
        tallies.forEach(
                (name, tally) ->
                        line.append(
                                String.format(
                                        Locale.ROOT,
                                        "%s: utility %.3f, p99 %.1f ms of %d; ",
                                        name,
                                        tally.utility(),
                                        tally.percentile(0.99) / 1000.0,
                                        tally.asked)));
        return line + "slipped " + slipped + ", died at " + diedAt + " " + seen;
    }
}
