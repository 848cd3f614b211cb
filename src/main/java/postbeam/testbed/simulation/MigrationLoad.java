package postbeam.testbed.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import postbeam.migration.Migration;
import postbeam.migration.MigrationState;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Slice;

/** The routers of a simulated migration run and the holds that clients send through them. */
final class MigrationLoad {
    private static final int ROUTERS = 3;
    private static final Duration POLL = Duration.ofMillis(150);
    private static final Duration PATIENCE = Duration.ofSeconds(1);
    private static final Duration SLO = Duration.ofMillis(100);
    private static final Duration HOLD_EVERY = Duration.ofMillis(12);

    /** A router: its layout, the end of the layout's lease, and the end of a network partition. */
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

    /**
     * Counts the holds of one group and phase: all, those answered within the SLO, and their
     * latencies.
     */
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

    private final MigrationSimulation run;
    private final List<Router> routers = new ArrayList<>();
    final Map<String, Integer> runs = new HashMap<>();
    final Map<String, Long> keys = new LinkedHashMap<>();
    final Set<String> done = new LinkedHashSet<>();
    final Set<String> rejected = new LinkedHashSet<>();
    private final Map<String, Tally> tallies = new TreeMap<>();

    MigrationLoad(MigrationSimulation run) {
        this.run = run;
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(new Router("r" + i));
        }
    }

    void start() {
        routers.forEach(this::poll);
        run.after(Duration.ofMillis(100), this::send);
    }

    // ---- routers

    private Router anyRouter() {
        return routers.get(run.chance.nextInt(routers.size()));
    }

    /** Restarts a random router, which loses its layout. */
    void restartRouter() {
        Router router = anyRouter();
        router.life++;
        router.layout = null;
        router.leaseUntil = Duration.ZERO;
    }

    /** Cuts a random router off from the network for some time. */
    void cutRouterOff() {
        Router router = anyRouter();
        router.cutUntil = run.now.plus(run.upTo(Duration.ofMillis(1500)));
    }

    void reconnectRouters() {
        routers.forEach(router -> router.cutUntil = Duration.ZERO);
    }

    /** Checks that no router uses a layout older than this version once a switch is over. */
    void checkNoneUsesOlder(long version) {
        for (Router router : routers) {
            if (router.layout != null
                    && router.layout.version < version
                    && run.now.compareTo(router.leaseUntil) < 0) {
                run.breaks(
                        "the switch is over, but "
                                + router.name
                                + " still uses layout "
                                + router.layout.version
                                + ", expected at least "
                                + version);
            }
        }
    }

    private void poll(Router router) {
        int life = router.life;
        Duration asked = run.now;
        long version = router.layout == null ? 0 : router.layout.version;
        if (run.now.compareTo(router.cutUntil) >= 0) {
            run.hop(
                    () -> {
                        Layout layout = run.chief.asked(router.name, version);
                        run.hop(
                                () -> {
                                    if (layout != null
                                            && life == router.life
                                            && run.now.compareTo(router.cutUntil) >= 0) {
                                        router.leaseUntil =
                                                asked.plus(
                                                        SimulatedMigrationCoordinator.LIMITS
                                                                .routerLease());
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
        run.after(POLL, () -> poll(router));
    }

    private void send() {
        if (run.now.compareTo(MigrationSimulation.LOAD) > 0) {
            return;
        }
        run.after(run.upTo(HOLD_EVERY.multipliedBy(2)), this::send);
        String id = "h" + keys.size();
        long key = (long) (run.chance.nextDouble() * KeyRange.KEY_SPACE_SIZE);
        keys.put(id, key);
        Router router = routers.get(run.chance.nextInt(routers.size()));
        int slice = run.first.overlapping(new KeyRange(key, key + 1)).get(0).number();
        Migration one = run.chief.migrations.journalState().activeMigrationOf(slice).orElse(null);
        String phase =
                one == null || one.state() == MigrationState.PLANNED
                        ? "before or after"
                        : one.state() == MigrationState.SWITCHING
                                        || one.state() == MigrationState.ROLLING_BACK
                                ? "switch"
                                : "during";
        boolean moves = slice < 5;
        Tally tally =
                tallies.computeIfAbsent(
                        (moves ? "member " : "others ")
                                + (moves
                                        ? phase
                                        : run.chief
                                                        .migrations
                                                        .journalState()
                                                        .activeMigrations()
                                                        .isEmpty()
                                                ? "before or after"
                                                : "during"),
                        name -> new Tally());
        tally.asked++;
        hold(router, router.life, id, key, run.now, tally, new ArrayList<>());
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
                || run.now.compareTo(router.leaseUntil) >= 0
                || run.now.minus(from).compareTo(PATIENCE) > 0) {
            // The hold did not run: each node that was asked rejected it.
            rejected.add(id);
            return;
        }
        Slice slice = router.layout.overlapping(new KeyRange(key, key + 1)).get(0);
        List<String> holders = slice.nodes().stream().filter(node -> !left.contains(node)).toList();
        if (holders.isEmpty()) {
            run.after(
                    Duration.ofMillis(15),
                    () -> hold(router, life, id, key, from, tally, new ArrayList<>()));
            return;
        }
        String node = holders.get(run.chance.nextInt(holders.size()));
        long version = router.layout.version;
        run.hop(
                () ->
                        run.node(node)
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
                                                        run.now.minus(from).compareTo(SLO) <= 0
                                                                ? 1
                                                                : 0;
                                                tally.micros.add(
                                                        run.now.minus(from).toNanos() / 1000);
                                            }
                                        }));
    }

    void ran(String hold) {
        if (runs.merge(hold, 1, Integer::sum) > 1) {
            run.breaks("hold " + hold + " ran twice");
        }
        if (rejected.contains(hold)) {
            run.breaks("hold " + hold + " ran though it was rejected");
        }
    }

    /** Returns utility and latency by phase of the migration. */
    String figures() {
        StringBuilder line = new StringBuilder();
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
        return line.toString();
    }
}
