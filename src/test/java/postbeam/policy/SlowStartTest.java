package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.policy.PolicyFixture.ms;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.Readiness;
import postbeam.model.ShardRequest;
import postbeam.model.Zone;

class SlowStartTest {
    /**
     * Returns a slow start limit with a window of 1 s, which is counted for 250 ms longer because
     * of the connect timeout.
     */
    private static SlowStart slowStart(int routers, double loadFactor, Duration callOverhead) {
        return new SlowStart(0.2, ms(10_000), loadFactor, ms(1000), routers, callOverhead, ms(250));
    }

    private static SlowStart slowStart(int routers) {
        return slowStart(routers, 2, ms(20));
    }

    private static DataNode startedNode(
            SlowStart slowStart, Duration startedAt, double samplingThreshold) {
        DataNode node = new DataNode(0, new Zone(true));
        node.attachPolicyState(
                new NodeState(
                        new NodeHealth(new ZoneHealth()), slowStart.newNode(samplingThreshold)));
        node.update(Readiness.READY, startedAt);
        return node;
    }

    @Test
    void nodeWarmingUpGetsNoMoreThanThisRoutersShareInEveryWindow() {
        SlowStart slowStart = slowStart(2);
        DataNode node = startedNode(slowStart, ms(0), 0);
        assertTrue(slowStart.allows(ms(10), node, null, ms(150)));
        slowStart.recordSent(ms(10), node, null, ms(300));
        assertFalse(slowStart.allows(ms(900), node, null, ms(150)));
        // A request that was decided on at 10 ms may have been sent 250 ms later, once a connection
        // was open, so it counts that much longer.
        assertFalse(slowStart.allows(ms(1200), node, null, ms(150)));
        assertTrue(slowStart.allows(ms(1400), node, null, ms(150)));
        assertTrue(slowStart.allows(ms(11_000), node, null, ms(5000)));
    }

    /**
     * Guards against a router that, after its own restart, sends a node that is warming up its
     * whole share again: it has lost the record of the requests that it sent before.
     */
    @Test
    void routerThatHasJustStartedSendsNothingToNodesWarmingUp() {
        SlowStart slowStart = slowStart(2);
        DataNode node = startedNode(slowStart, ms(-300), 0);
        assertFalse(slowStart.allows(ms(1200), node, null, ms(150)));
        assertTrue(slowStart.allows(ms(1250), node, null, ms(150)));
    }

    @Test
    void requestsForARecentlyAcquiredShardAreLimitedByABudgetOfItsOwn() {
        SlowStart slowStart = slowStart(2);
        DataNode node = startedNode(slowStart, null, 0);
        assertTrue(slowStart.allows(ms(10), node, ms(0), ms(150)));
        slowStart.recordSent(ms(10), node, ms(0), ms(300));
        assertFalse(slowStart.allows(ms(900), node, ms(0), ms(150)));
        assertTrue(
                slowStart.allows(ms(900), node, null, ms(150)),
                "shards that it acquired long ago are not limited");
    }

    /**
     * Returns the estimated execution time in seconds of the requests that this number of routers
     * can send to a node that is warming up within a window; the requests have different execution
     * times.
     */
    private static double maxWorkInAWindow(Random random, int routers, double loadFactor) {
        List<SlowStart> slowStarts = new ArrayList<>();
        List<DataNode> nodes = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            slowStarts.add(slowStart(routers, loadFactor, ms(0)));
            nodes.add(startedNode(slowStarts.get(i), ms(5000), random.nextDouble()));
        }
        double sum = 0;
        for (int at = 5000; at < 6000; at += 50) {
            for (int i = 0; i < routers; i++) {
                Duration work = ms(60 + random.nextInt(80));
                Duration checkedWork = work.compareTo(ms(100)) < 0 ? ms(100) : work;
                if (slowStarts.get(i).allows(ms(at), nodes.get(i), null, checkedWork)) {
                    slowStarts.get(i).recordSent(ms(at), nodes.get(i), null, work);
                    sum += work.toNanos() / 1e9;
                }
            }
        }
        return sum;
    }

    /**
     * Checks the worst case: all routers have requests for the node all the time. With a budget of
     * N requests, a window with more than N + 2 * sqrt(N) + 2 requests is a random exception, of
     * which 2 in 1000 windows are allowed.
     */
    @Test
    void allRoutersTogetherStayWithinTheBudgetExceptForRandomVariation() {
        Random random = new Random(5);
        for (int routers : new int[] {3, 20, 30, 100}) {
            for (double loadFactor : new double[] {2, 3, 4}) {
                double budgetRequests = loadFactor * 0.2 * 2 / 0.1;
                int windowsAboveBound = 0;
                double sumOfRequests = 0;
                for (int i = 0; i < 1000; i++) {
                    double sent = maxWorkInAWindow(random, routers, loadFactor) / 0.1;
                    sumOfRequests += sent;
                    windowsAboveBound +=
                            sent > budgetRequests + 2 * Math.sqrt(budgetRequests) + 2 ? 1 : 0;
                }
                String label = routers + " routers, budget of " + budgetRequests + " requests: ";
                System.out.println(
                        label
                                + "mean "
                                + sumOfRequests / 1000
                                + ", windows above the bound: "
                                + windowsAboveBound);
                assertTrue(
                        sumOfRequests / 1000 <= budgetRequests,
                        label + "the mean of " + sumOfRequests / 1000 + " exceeds the budget");
                assertTrue(
                        windowsAboveBound <= 2,
                        label + windowsAboveBound + " of 1000 windows are above the bound");
            }
        }
    }

    @Test
    void shareBelowOneRequestIsRoundedUpOrDownByTheRandomNumberOfTheNode() {
        SlowStart slowStart = slowStart(100);
        DataNode lowThreshold = startedNode(slowStart, ms(0), 0.01);
        assertTrue(slowStart.allows(ms(10), lowThreshold, null, ms(80)));
        slowStart.recordSent(ms(10), lowThreshold, null, ms(80));
        assertFalse(slowStart.allows(ms(500), lowThreshold, null, ms(80)));
        DataNode highThreshold = startedNode(slowStart, ms(0), 0.99);
        slowStart.recordSent(ms(10), highThreshold, null, ms(80));
        assertFalse(slowStart.allows(ms(2000), highThreshold, null, ms(80)));
    }

    @Test
    void unreachableNodeCountsAsWarmingUpUntilALaterStartIsListed() {
        PolicyFixture fixture = new PolicyFixture(3, true);
        DataNode node = fixture.nodes.get(0);
        node.update(Readiness.READY, ms(0));
        fixture.policy.onNodeUpdate(ms(50_000), node, Readiness.READY, ms(0));
        Query query = new Query(PolicyFixture.idempotent(), null, ms(60_000), ms(66_000));
        ShardRequest request = new ShardRequest(query, 0, 1, null);
        fixture.end(
                ms(60_000),
                new Attempt(request, node, ms(60_000), null),
                AttemptOutcome.UNREACHABLE);
        assertEquals(ms(60_000), fixture.slowStart.warmingUpSince(node));
        fixture.policy.onNodeUpdate(ms(63_000), node, Readiness.READY, ms(61_000));
        assertEquals(ms(61_000), fixture.slowStart.warmingUpSince(node));
    }
}
