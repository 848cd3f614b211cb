package postbeam.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import postbeam.testbed.cluster.FaultProxy;
import postbeam.testbed.cluster.ProcessCluster;

/**
 * Runs router, discovery and data node processes with faults in the links between them. The six
 * rules of {@link postbeam.testbed.verification.InvariantChecker} must hold, and all routers must
 * serve again in bounded time.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CoordinationIT {
    private static final ProcessCluster.FileRewriter UNCHANGED = (all, file, text) -> text;

    private static final double QUERIES_PER_SECOND = 100;

    private static final int SHARDS = 8;

    /**
     * Number of cold starts of a node after which the test fails: the machine is then too busy for
     * the routers to exceed the node's budget.
     */
    private static final int MAX_COLD_STARTS = 10;

    private ProcessCluster cluster;
    private ProcessCluster.Clients clients;

    private void startCluster(int nodes, int routers, ProcessCluster.FileRewriter rewriter)
            throws Exception {
        cluster =
                new ProcessCluster(
                        new ProcessCluster.Size(
                                nodes, routers, SHARDS, false, ProcessCluster.PATIENT, rewriter),
                        1);
        clients = cluster.clients(QUERIES_PER_SECOND, 2);
        clients.allServe();
    }

    @AfterEach
    void closeCluster() throws Exception {
        if (cluster != null) {
            cluster.close();
        }
    }

    /**
     * Two nodes restart under their names while two routers are cut off. The routers exchange no
     * messages: each uses a cold node's budget divided by the number of routers, whether it is cut
     * off or not, so the sum stays within the budget.
     */
    @Test
    void nodesRestartWhileTwoOfFiveRoutersAreCutOffAndNoRuleIsViolated() throws Exception {
        startCluster(6, 5, UNCHANGED);
        cluster.kill("n0");
        cluster.kill("n1");
        for (String router : List.of("r0", "r1")) {
            for (String other : List.of("n2", "n3", "r2", "r3", "r4")) {
                cluster.proxy(router, other).setBoth(FaultProxy.Fault.CUT, Duration.ZERO);
                cluster.proxy(other, router).setBoth(FaultProxy.Fault.CUT, Duration.ZERO);
            }
        }
        cluster.start("n0", "n1");
        for (String node : List.of("n0", "n1")) {
            cluster.awaitCondition(node + " gets requests", () -> cluster.calls(node) > 80);
        }
        cluster.healAll();
        clients.allServe();
        assertEquals(List.of(), clients.broken());
    }

    @Test
    void linkFaultsInOneDirectionViolateNoRule() throws Exception {
        startCluster(5, 3, UNCHANGED);
        cluster.proxy("r0", "n0")
                .set(FaultProxy.Direction.TO_TARGET, FaultProxy.Fault.CUT, Duration.ZERO);
        cluster.proxy("r1", "n0")
                .set(FaultProxy.Direction.FROM_TARGET, FaultProxy.Fault.CUT, Duration.ZERO);
        cluster.proxy("r2", "n1")
                .set(FaultProxy.Direction.FROM_TARGET, FaultProxy.Fault.SILENT, Duration.ZERO);
        cluster.proxy("r2", ProcessCluster.DISCOVERY)
                .set(FaultProxy.Direction.FROM_TARGET, FaultProxy.Fault.CUT, Duration.ZERO);
        cluster.proxy("r1", "n2").setBoth(FaultProxy.Fault.REORDER, Duration.ofMillis(50));
        cluster.proxy("r0", "n3").setBoth(FaultProxy.Fault.DELAY, Duration.ofMillis(30));
        clients.allServe();
        cluster.healAll();
        cluster.proxy("r0", "n1").reset();
        clients.allServe();
        assertEquals(List.of(), clients.broken());
    }

    @Test
    void allRoutersAndNodesAreKilledAtOnceAndServeAgainAfterTheirRestart() throws Exception {
        startCluster(4, 3, UNCHANGED);
        String[] processes = {"r0", "r1", "r2", "n0", "n1", "n2", "n3"};
        for (String name : processes) {
            cluster.kill(name);
        }
        cluster.start(processes);
        clients.allServe();
        assertEquals(List.of(), clients.broken());
    }

    /**
     * While the router is suspended, one node restarts and another drains; the router must learn of
     * both before it sends.
     */
    @Test
    void resumedRouterFollowsTheNodeChangesMadeWhileItWasSuspended() throws Exception {
        startCluster(4, 3, UNCHANGED);
        cluster.stop("r0");
        cluster.kill("n0");
        cluster.start("n0");
        cluster.tell("n3", "draining");
        cluster.awaitCondition("the other routers send to n0", () -> cluster.calls("n0") > 30);
        cluster.resume("r0");
        clients.allServe();
        assertEquals(List.of(), clients.broken());
    }

    /**
     * Whether the routers sent the node more than its budget in any second since its last start,
     * judged only by the calls that the node recorded. The budget at the end of a second is twice
     * the execution time that the node can serve per second at its warmth at that time; a fully
     * warm node serves two seconds of execution time per second, as it has two cores. One request
     * is subtracted as a tolerance.
     */
    private boolean budgetExceeded(String node) throws IOException {
        List<Double> callTimes = new ArrayList<>();
        double startSeconds = 0;
        for (String line : Files.readAllLines(cluster.file(node + ".seen"))) {
            if (line.startsWith("started ")) {
                startSeconds = Long.parseLong(line.split(" ", -1)[1]) / 1e9;
                callTimes.clear();
            } else if (line.startsWith("called ")) {
                callTimes.add(Long.parseLong(line.split(" ", -1)[1]) / 1e9 - startSeconds);
            }
        }
        double rampSeconds = ProcessCluster.RAMP.toMillis() / 1e3;
        double workSeconds = ProcessCluster.WORK.toMillis() / 1e3;
        return callTimes.stream()
                .filter(end -> end < rampSeconds)
                .anyMatch(
                        end ->
                                workSeconds
                                                * (callTimes.stream()
                                                                .filter(
                                                                        at ->
                                                                                end - 1 < at
                                                                                        && at
                                                                                                <= end)
                                                                .count()
                                                        - 1)
                                        > 4 * (0.2 + 0.8 * end / rampSeconds));
    }

    /**
     * Checks that a violation of rule 4, the budget of cold nodes, is detected: each router is
     * configured as the only one, so each stays within the whole budget and the sum, which no
     * router sees, exceeds it. The sum exceeds the budget only if enough is requested while the
     * node is cold; if the machine was too busy for that, the node starts cold once more.
     */
    @Test
    void routersThatEachUseTheWholeBudgetAreReportedAsViolatingRule4() throws Exception {
        startCluster(
                3, 5, (all, file, text) -> text.replace("\"nInstances\":5", "\"nInstances\":1"));
        int coldStarts = 0;
        do {
            assertTrue(
                    coldStarts++ < MAX_COLD_STARTS,
                    "n0 was not sent more than its budget in any of its cold starts");
            cluster.kill("n0");
            cluster.start("n0");
            cluster.awaitCondition("n0 gets requests", () -> cluster.calls("n0") > 100);
        } while (!budgetExceeded("n0"));
        System.out.println("budget of n0 exceeded in cold start " + coldStarts);
        List<String> violations = clients.broken();
        assertTrue(
                violations.stream()
                        .anyMatch(
                                line -> line.startsWith("rule 4") && line.contains("cold node n0")),
                violations.toString());
    }
}
