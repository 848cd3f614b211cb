package postbeam.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import postbeam.testbed.cluster.FaultProxy;
import postbeam.testbed.cluster.ProcessCluster;
import postbeam.testbed.verification.SlowStartUsage;

/**
 * Router processes lease a cold node's budget from an elected leader. The quota that they acquire
 * together must stay within the node's budget in every window.
 */
@Timeout(value = 150, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LeaderElectionIT {
    private static final int ROUTERS = 5;

    /** The node's budget: estimated execution time of the requests that may be sent in a window. */
    private static final double BUDGET_SECONDS = 0.4;

    /** Estimated execution time that a client acquires at a time. */
    private static final double REQUEST_SECONDS = 0.005;

    private static final Duration WINDOW = Duration.ofSeconds(1);

    private final SlowStartUsage usage = new SlowStartUsage();
    private final AtomicIntegerArray acquisitionsByRouter = new AtomicIntegerArray(ROUTERS);
    private final List<Thread> clients = new ArrayList<>();
    private volatile boolean stopRequested;
    private ProcessCluster cluster;

    /**
     * Starts the routers, each with a client that acquires quota of the cold node's budget.
     *
     * @param configuredAlone whether each router's settings list no other router
     */
    private void startCluster(boolean configuredAlone) throws Exception {
        cluster =
                new ProcessCluster(
                        new ProcessCluster.Size(
                                1,
                                ROUTERS,
                                4,
                                false,
                                ProcessCluster.PATIENT,
                                (all, file, text) ->
                                        file.endsWith(".json5")
                                                ? settings(
                                                        all,
                                                        file.replace(".json5", ""),
                                                        configuredAlone)
                                                : text),
                        1);
        for (int i = 0; i < ROUTERS; i++) {
            int router = i;
            Thread client = new Thread(() -> acquireUntilStopped(router), "acquire");
            client.setDaemon(true);
            client.start();
            clients.add(client);
        }
    }

    private static String settings(ProcessCluster processes, String name, boolean configuredAlone)
            throws IOException {
        StringBuilder routers = new StringBuilder();
        for (int i = 0; i < ROUTERS; i++) {
            String other = "r" + i;
            if (!configuredAlone || other.equals(name)) {
                routers.append("{name: \"")
                        .append(other)
                        .append("\", address: \"")
                        .append(
                                other.equals(name)
                                        ? processes.address(name)
                                        : processes.proxy(name, other).address())
                        .append("\"},");
            }
        }
        return "{together: {enabled: true, name: \""
                + name
                + "\", routers: ["
                + routers
                + "], shares: "
                + (configuredAlone ? 1 : ROUTERS)
                + ", stripes: 1, leaseMs: 600, windowMs: "
                + WINDOW.toMillis()
                + ", driftMs: 30, officeMs: 900, longestMs: 1200, reserved: 0.25, underWay: 0.1,"
                + " callMost: 0.008, firstWork: "
                + BUDGET_SECONDS
                + ", risesTo: 1, rampMs: 60000}}";
    }

    /** Acquires quota from the router repeatedly until the test stops the clients. */
    private void acquireUntilStopped(int router) {
        while (!stopRequested) {
            try {
                Duration startedAt = cluster.now();
                if (cluster.post(
                                "r" + router,
                                "/together/v1/take",
                                "{\"node\":\"n0\",\"incarnation\":7,\"work\":"
                                        + REQUEST_SECONDS
                                        + "}")
                        .contains("\"taken\":true")) {
                    usage.record(startedAt, cluster.now(), REQUEST_SECONDS);
                    acquisitionsByRouter.incrementAndGet(router);
                }
                Thread.sleep(5);
            } catch (IOException e) {
                // The router is killed or suspended.
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @AfterEach
    void stopClientsAndCloseCluster() throws Exception {
        stopRequested = true;
        for (Thread client : clients) {
            client.interrupt();
            client.join();
        }
        if (cluster != null) {
            cluster.close();
        }
    }

    /**
     * Waits for a leader that grants leases, and returns its name.
     *
     * @param excluded name of a router that does not count; null if any may be the leader
     */
    private String awaitLeader(String excluded) throws Exception {
        String[] found = new String[1];
        cluster.awaitCondition(
                "a leader grants leases",
                () -> {
                    for (int i = 0; i < ROUTERS; i++) {
                        String name = "r" + i;
                        if (!name.equals(excluded)
                                && cluster.post(name, "/together/v1/state", "{}")
                                        .contains("\"grants\":true")) {
                            found[0] = name;
                            return true;
                        }
                    }
                    return false;
                });
        return found[0];
    }

    /** Waits until each of these routers has granted its client further quota. */
    private void awaitAcquisitions(int... routers) throws Exception {
        for (int router : routers) {
            AtomicInteger before = new AtomicInteger(acquisitionsByRouter.get(router));
            cluster.awaitCondition(
                    "r" + router + " admits work",
                    () -> acquisitionsByRouter.get(router) > before.get() + 3);
        }
    }

    private void assertWithinBudget() {
        double maxWork = usage.maxWorkIn(WINDOW);
        System.out.println(
                usage.count()
                        + " acquisitions, at most "
                        + maxWork
                        + " of "
                        + BUDGET_SECONDS
                        + " in a window");
        assertTrue(
                maxWork <= BUDGET_SECONDS + 1e-9,
                "acquired in a window: " + maxWork + ", budget " + BUDGET_SECONDS);
    }

    @Test
    void budgetHoldsWhenALeaderIsKilledAfterAGrantAndRestarted() throws Exception {
        startCluster(false);
        String first = awaitLeader(null);
        awaitAcquisitions(0, 1, 2, 3, 4);
        cluster.kill(first);
        String second = awaitLeader(first);
        awaitAcquisitions(Integer.parseInt(second.substring(1)));
        cluster.start(first);
        awaitAcquisitions(Integer.parseInt(first.substring(1)));
        cluster.kill(second);
        awaitLeader(second);
        awaitAcquisitions(Integer.parseInt(first.substring(1)));
        assertWithinBudget();
    }

    @Test
    void budgetHoldsWhenALeaderResumesAfterItsLeaseAndWhenTwoRoutersAreCutOff() throws Exception {
        startCluster(false);
        String first = awaitLeader(null);
        awaitAcquisitions(0, 1, 2, 3, 4);
        cluster.stop(first);
        String second = awaitLeader(first);
        awaitAcquisitions(Integer.parseInt(second.substring(1)));
        cluster.resume(first);
        awaitAcquisitions(0, 1, 2, 3, 4);
        for (String one : List.of("r0", "r1")) {
            for (String other : List.of("r2", "r3", "r4")) {
                cluster.proxy(one, other).setBoth(FaultProxy.Fault.CUT, Duration.ZERO);
                cluster.proxy(other, one)
                        .set(FaultProxy.Direction.FROM_TARGET, FaultProxy.Fault.CUT, Duration.ZERO);
            }
        }
        // The routers that are cut off use their reserved quota; the others have a leader and its
        // leases.
        awaitAcquisitions(0, 1, 2, 3, 4);
        cluster.healAll();
        awaitAcquisitions(0, 1, 2, 3, 4);
        assertWithinBudget();
    }

    @Test
    void routersUnawareOfEachOtherExceedTheBudget() throws Exception {
        startCluster(true);
        awaitAcquisitions(0, 1, 2, 3, 4, 0, 1, 2, 3, 4);
        cluster.awaitCondition(
                "the budget is exceeded",
                () -> usage.maxWorkIn(WINDOW) > BUDGET_SECONDS + REQUEST_SECONDS);
        assertEquals(5, clients.size());
    }
}
