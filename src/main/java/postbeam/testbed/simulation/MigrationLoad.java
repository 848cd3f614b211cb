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
    private static final Duration POLL_INTERVAL = Duration.ofMillis(150);
    private static final Duration HOLD_DEADLINE = Duration.ofSeconds(1);
    private static final Duration SLO = Duration.ofMillis(100);
    private static final Duration HOLD_INTERVAL = Duration.ofMillis(12);

    /** A router: its layout, the end of the layout's lease, and the end of a network partition. */
    private static final class Router {
        final String name;
        Layout layout;
        Duration leaseUntil = Duration.ZERO;
        Duration partitionedUntil = Duration.ZERO;
        int incarnation;

        Router(String name) {
            this.name = name;
        }
    }

    /**
     * Counts the holds of one group and phase: all, those answered within the SLO, and their
     * latencies.
     */
    static final class Tally {
        int total;
        int inTime;
        final List<Long> micros = new ArrayList<>();

        double utility() {
            return total == 0 ? 1 : (double) inTime / total;
        }

        long percentile(double share) {
            Collections.sort(micros);
            return micros.isEmpty()
                    ? 0
                    : micros.get(
                            (int) Math.min(micros.size() - 1L, (long) (share * micros.size())));
        }
    }

    private final MigrationSimulation simulation;
    private final List<Router> routers = new ArrayList<>();
    final Map<String, Integer> runCounts = new HashMap<>();
    final Map<String, Long> keyByHold = new LinkedHashMap<>();
    final Set<String> acknowledged = new LinkedHashSet<>();
    final Set<String> rejected = new LinkedHashSet<>();
    private final Map<String, Tally> tallies = new TreeMap<>();

    MigrationLoad(MigrationSimulation simulation) {
        this.simulation = simulation;
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(new Router("r" + i));
        }
    }

    void start() {
        routers.forEach(this::poll);
        simulation.after(Duration.ofMillis(100), this::sendHold);
    }

    // ---- routers

    private Router anyRouter() {
        return routers.get(simulation.random.nextInt(routers.size()));
    }

    /** Restarts a random router, which loses its layout. */
    void restartRouter() {
        Router router = anyRouter();
        router.incarnation++;
        router.layout = null;
        router.leaseUntil = Duration.ZERO;
    }

    /** Cuts a random router off from the network for some time. */
    void cutRouterOff() {
        Router router = anyRouter();
        router.partitionedUntil =
                simulation.now.plus(simulation.randomDuration(Duration.ofMillis(1500)));
    }

    void reconnectRouters() {
        routers.forEach(router -> router.partitionedUntil = Duration.ZERO);
    }

    /** Checks that no router uses a layout older than this version once a switch is over. */
    void checkNoneUsesOlderLayout(long version) {
        for (Router router : routers) {
            if (router.layout != null
                    && router.layout.version < version
                    && simulation.now.compareTo(router.leaseUntil) < 0) {
                simulation.addViolation(
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
        int incarnation = router.incarnation;
        Duration requestedAt = simulation.now;
        long version = router.layout == null ? 0 : router.layout.version;
        if (simulation.now.compareTo(router.partitionedUntil) >= 0) {
            simulation.afterHop(
                    () -> {
                        Layout layout =
                                simulation.activeCoordinator.onLayoutRequest(router.name, version);
                        simulation.afterHop(
                                () -> {
                                    if (layout != null
                                            && incarnation == router.incarnation
                                            && simulation.now.compareTo(router.partitionedUntil)
                                                    >= 0) {
                                        router.leaseUntil =
                                                requestedAt.plus(
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
        simulation.after(POLL_INTERVAL, () -> poll(router));
    }

    private void sendHold() {
        if (simulation.now.compareTo(MigrationSimulation.LOAD_SPAN) > 0) {
            return;
        }
        simulation.after(simulation.randomDuration(HOLD_INTERVAL.multipliedBy(2)), this::sendHold);
        String id = "h" + keyByHold.size();
        long key = (long) (simulation.random.nextDouble() * KeyRange.KEY_SPACE_SIZE);
        keyByHold.put(id, key);
        Router router = routers.get(simulation.random.nextInt(routers.size()));
        int slice =
                simulation.initialLayout.overlapping(new KeyRange(key, key + 1)).get(0).number();
        Migration migration =
                simulation
                        .activeCoordinator
                        .migrations
                        .journalState()
                        .activeMigrationOf(slice)
                        .orElse(null);
        String phase =
                migration == null || migration.state() == MigrationState.PLANNED
                        ? "before or after"
                        : migration.state() == MigrationState.SWITCHING
                                        || migration.state() == MigrationState.ROLLING_BACK
                                ? "switch"
                                : "during";
        boolean migrates = slice < 5;
        Tally tally =
                tallies.computeIfAbsent(
                        (migrates ? "member " : "others ")
                                + (migrates
                                        ? phase
                                        : simulation
                                                        .activeCoordinator
                                                        .migrations
                                                        .journalState()
                                                        .activeMigrations()
                                                        .isEmpty()
                                                ? "before or after"
                                                : "during"),
                        name -> new Tally());
        tally.total++;
        attemptHold(router, router.incarnation, id, key, simulation.now, tally, new ArrayList<>());
    }

    private void attemptHold(
            Router router,
            int incarnation,
            String id,
            long key,
            Duration sentAt,
            Tally tally,
            List<String> rejectedBy) {
        if (router.incarnation != incarnation) {
            return;
        }
        if (router.layout == null
                || simulation.now.compareTo(router.leaseUntil) >= 0
                || simulation.now.minus(sentAt).compareTo(HOLD_DEADLINE) > 0) {
            // The hold did not run: each node that received it rejected it.
            rejected.add(id);
            return;
        }
        Slice slice = router.layout.overlapping(new KeyRange(key, key + 1)).get(0);
        List<String> replicas =
                slice.nodes().stream().filter(node -> !rejectedBy.contains(node)).toList();
        if (replicas.isEmpty()) {
            simulation.after(
                    Duration.ofMillis(15),
                    () ->
                            attemptHold(
                                    router,
                                    incarnation,
                                    id,
                                    key,
                                    sentAt,
                                    tally,
                                    new ArrayList<>()));
            return;
        }
        String node = replicas.get(simulation.random.nextInt(replicas.size()));
        long version = router.layout.version;
        simulation.afterHop(
                () ->
                        simulation
                                .node(node)
                                .onHold(
                                        id,
                                        slice.number(),
                                        key,
                                        version,
                                        outcome -> {
                                            if (outcome.equals("moved")) {
                                                rejectedBy.add(node);
                                                attemptHold(
                                                        router,
                                                        incarnation,
                                                        id,
                                                        key,
                                                        sentAt,
                                                        tally,
                                                        rejectedBy);
                                            } else if (outcome.equals("done")
                                                    && router.incarnation == incarnation) {
                                                acknowledged.add(id);
                                                tally.inTime +=
                                                        simulation.now.minus(sentAt).compareTo(SLO)
                                                                        <= 0
                                                                ? 1
                                                                : 0;
                                                tally.micros.add(
                                                        simulation.now.minus(sentAt).toNanos()
                                                                / 1000);
                                            }
                                        }));
    }

    void onHoldRan(String hold) {
        if (runCounts.merge(hold, 1, Integer::sum) > 1) {
            simulation.addViolation("hold " + hold + " ran twice");
        }
        if (rejected.contains(hold)) {
            simulation.addViolation("hold " + hold + " ran though it was rejected");
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
                                        tally.total)));
        return line.toString();
    }
}
