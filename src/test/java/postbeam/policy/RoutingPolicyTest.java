package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
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
import postbeam.model.QueryClass;
import postbeam.model.Readiness;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;
import postbeam.model.Tenant;
import postbeam.model.Zone;

class RoutingPolicyTest {
    private final PolicyFixture given = new PolicyFixture(3, true);
    private final QueryClass repeatable = PolicyFixture.vertical(SideEffects.IDEMPOTENT, 1);

    private void ends(PolicyFixture at, Duration now, Attempt attempt, AttemptOutcome outcome) {
        at.policy.onAttemptEnded(now, attempt, outcome, now.minus(attempt.sentAt), false);
    }

    @Test
    void theQueryNearestCompletionGetsTheFreeSlot() {
        given.query(ms(0), repeatable, 5);
        Query small = given.begun(repeatable, 2);
        assertEquals(
                List.of(small, small),
                given.sent.subList(0, 2).stream().map(c -> c.shardRequest.query).toList());
    }

    @Test
    void anyNAnswersOnTheFirstNAndCancelsTheRest() {
        given.begun(PolicyFixture.vertical(SideEffects.IDEMPOTENT, 1), 12);
        given.begun(PolicyFixture.vertical(SideEffects.IDEMPOTENT, 0.5), 4);
        List<Attempt> mine =
                given.sent.stream()
                        .filter(c -> c.shardRequest.query.queryClass().acceptsSubset())
                        .toList();
        assertEquals(3, mine.size());
        ends(given, ms(100), mine.get(0), AttemptOutcome.SUCCESS);
        ends(given, ms(100), mine.get(1), AttemptOutcome.SUCCESS);
        given.policy.onBatchEnd(ms(100));
        assertEquals(List.of("whole"), given.ended);
        assertEquals(List.of(mine.get(2)), given.cancelled);
    }

    @Test
    void thatHalfOfTheNodesAreSlowMakesNoQueryHopeless() {
        PolicyFixture four = new PolicyFixture(4, true);
        repeatable.baselineLatency = ms(100);
        for (int i = 0; i < 4; i++) {
            four.begun(repeatable, 1);
        }
        for (int i = 0; i < 4; i++) {
            ends(four, ms(i < 2 ? 100 : 1500), four.sent.get(i), AttemptOutcome.SUCCESS);
        }
        four.query(ms(1500), repeatable, 1);
        four.policy.onBatchEnd(ms(1500));
        Query query = four.query(ms(1510), repeatable, 2);
        four.policy.onBatchEnd(ms(1510));
        assertEquals(2, query.requestsInFlight());
        assertFalse(four.ended.contains("rejected"));
    }

    @Test
    void aJamOfASecondDoesNotPassForQuietHoweverManyAnswersItBrings() {
        repeatable.baselineLatency = ms(10);
        for (int i = 0; i < 100; i++) {
            given.query(ms(10 * i), repeatable, 1);
            given.policy.onBatchEnd(ms(10 * i));
            Attempt attempt = given.sent.get(given.sent.size() - 1);
            given.policy.onAttemptEnded(
                    ms(10 * i), attempt, AttemptOutcome.SUCCESS, ms(500), false);
        }
        assertTrue(
                repeatable.baselineLatency.compareTo(ms(50)) < 0,
                repeatable.baselineLatency.toString());
        assertTrue(
                repeatable.baselineLatency.compareTo(ms(20)) > 0,
                repeatable.baselineLatency.toString());
    }

    @Test
    void whatCantBeSentAgainIsNoTrialOfANodeThatFailed() {
        PolicyFixture two = new PolicyFixture(2, true);
        two.begun(repeatable, 1);
        DataNode struck = two.sent.get(0).node;
        ends(two, ms(10), two.sent.get(0), AttemptOutcome.RESET);
        two.policy.onProbeResult(ms(600), struck, true);
        for (int i = 0; i < 8; i++) {
            two.sent.clear();
            two.query(ms(700 + i), PolicyFixture.vertical(SideEffects.NON_IDEMPOTENT, 1), 1);
            two.policy.onBatchEnd(ms(700 + i));
            Attempt attempt = two.sent.get(two.sent.size() - 1);
            assertEquals(
                    SideEffects.NON_IDEMPOTENT,
                    attempt.shardRequest.query.queryClass().sideEffects);
            assertNotSame(struck, attempt.node);
            ends(two, ms(700 + i), attempt, AttemptOutcome.SUCCESS);
        }
    }

    @Test
    void partsOfOneQueryShareOneOffset() {
        given.begun(repeatable, 3);
        assertEquals(1, given.sent.stream().map(c -> c.node).distinct().count());
    }

    @Test
    void aSideEffectingPartThatMayHaveRunIsNeitherSentAgainNorRejected() {
        given.begun(PolicyFixture.vertical(SideEffects.NON_IDEMPOTENT, 1), 1);
        ends(given, ms(500), given.sent.get(0), AttemptOutcome.RESET);
        given.policy.onBatchEnd(ms(500));
        assertEquals(1, given.sent.size());
        assertEquals(List.of("aborted"), given.ended);
    }

    @Test
    void aSideEffectingPartThatNeverRanGoesElsewhere() {
        given.begun(PolicyFixture.vertical(SideEffects.NON_IDEMPOTENT, 1), 1);
        ends(given, ms(5), given.sent.get(0), AttemptOutcome.OVERLOADED);
        given.policy.onBatchEnd(ms(5));
        assertEquals(2, given.sent.size());
        assertNotSame(given.sent.get(0).node, given.sent.get(1).node);
    }

    @Test
    void aDeduplicatedPartIsNotSentAgainPastItsWindow() {
        Query query = given.begun(PolicyFixture.vertical(SideEffects.DEDUPLICATED, 1), 1);
        ends(given, ms(2990), given.sent.get(0), AttemptOutcome.RESET);
        given.policy.onBatchEnd(ms(2990));
        assertEquals(1, given.sent.size());
        assertTrue(query.hasEnded());
    }

    @Test
    void noSecondCopyWhereItIsBarred() {
        PolicyFixture barred = new PolicyFixture(3, false);
        barred.begun(repeatable, 1);
        barred.policy.onBatchEnd(ms(1500));
        assertEquals(1, barred.sent.size());
        assertEquals(1, barred.cancelled.size());
        ends(barred, ms(1505), barred.sent.get(0), AttemptOutcome.CANCELLED);
        barred.policy.onBatchEnd(ms(1505));
        assertNotSame(barred.sent.get(0).node, barred.sent.get(1).node);
    }

    @Test
    void theLastWordComesBeforeTheClientLeaves() {
        given.begun(repeatable, 1);
        given.policy.onBatchEnd(PolicyFixture.DEADLINE.minus(ms(30)));
        assertEquals(List.of("rejected"), given.ended);
    }

    @Test
    void aQueryNotBegunInTimeIsRejectedEarly() {
        for (int i = 0; i < 4; i++) {
            given.query(ms(0), repeatable, 8);
        }
        given.policy.onBatchEnd(ms(0));
        Query waiting = given.query(ms(0), repeatable, 8);
        given.policy.onBatchEnd(ms(250));
        assertFalse(waiting.hasEnded());
        given.policy.onBatchEnd(ms(850));
        assertTrue(waiting.hasEnded());
        assertEquals(List.of("rejected"), given.ended);
    }

    @Test
    void aQueryThatNoNodeCanTakeIsRejectedSoonest() {
        given.nodes.forEach(n -> given.policy.onNodeUpdate(ms(0), n, Readiness.DRAINING, null));
        given.query(ms(0), repeatable, 1);
        given.policy.onBatchEnd(ms(150));
        assertEquals(List.of(), given.ended);
        given.policy.onBatchEnd(ms(250));
        assertEquals(List.of("rejected"), given.ended);
    }

    @Test
    void nothingGoesToADrainingNode() {
        given.policy.onNodeUpdate(ms(0), given.nodes.get(0), Readiness.DRAINING, null);
        given.policy.onNodeUpdate(ms(0), given.nodes.get(1), Readiness.REMOVED, null);
        given.query(ms(10), repeatable, 6);
        given.policy.onBatchEnd(ms(10));
        assertEquals(6, given.sent.size());
        assertTrue(given.sent.stream().allMatch(c -> c.node == given.nodes.get(2)));
    }

    @Test
    void aNodeThatSwallowsACallIsLeftAloneAndProbed() {
        given.begun(repeatable, 1);
        Attempt attempt = given.sent.get(0);
        ends(given, ms(1200), attempt, AttemptOutcome.CANCELLED);
        assertNotNull(attempt.node.ejectedUntil);
        given.policy.onBatchEnd(ms(1800));
        assertEquals(List.of(attempt.node), given.probed);
        given.policy.onProbeResult(ms(1801), attempt.node, true);
        assertNull(attempt.node.ejectedUntil);
    }

    @Test
    void aNodeThatRejectsAtOnceDrawsNoMoreParts() {
        given.begun(repeatable, 2);
        DataNode full = given.sent.get(0).node;
        ends(given, ms(1), given.sent.get(0), AttemptOutcome.OVERLOADED);
        ends(given, ms(1), given.sent.get(1), AttemptOutcome.OVERLOADED);
        given.query(ms(2), repeatable, 4);
        given.policy.onBatchEnd(ms(2));
        assertTrue(given.sent.stream().skip(2).noneMatch(c -> c.node == full));
    }

    @Test
    void suspicionNeverShutsOutAllReplicas() {
        given.nodes.forEach(n -> n.ejectedUntil = ms(5000));
        given.begun(repeatable, 1);
        assertEquals(1, given.sent.size());
    }

    @Test
    void lostCallsHoldNoSlot() {
        for (int i = 0; i < 4; i++) {
            given.query(ms(0), repeatable, 8);
        }
        given.policy.onBatchEnd(ms(0));
        assertEquals(32, given.sent.size());
        given.sent.forEach(c -> c.node.ejectedUntil = ms(5000));
        Query query = given.query(ms(10), repeatable, 1);
        given.policy.onBatchEnd(ms(10));
        assertEquals(1, query.shardRequests.get(0).attemptsInFlight.size());
    }

    @Test
    void aLateQueryWhosePartsAreAllOutIsKept() {
        Query query = given.begun(repeatable, 2);
        given.policy.onBatchEnd(PolicyFixture.SLO.plus(ms(100)));
        assertFalse(query.hasEnded());
    }

    @Test
    void anHonestPartialAnswerComesBeforeTheSloTimePasses() {
        QueryClass floored =
                new QueryClass(
                        PolicyFixture.SLO, SideEffects.IDEMPOTENT, null, 1, 0.1, 1, 0.5, 0.9);
        given.begun(floored, 2);
        ends(given, ms(100), given.sent.get(0), AttemptOutcome.SUCCESS);
        given.policy.onBatchEnd(ms(1900));
        assertEquals(List.of(), given.ended);
        given.policy.onBatchEnd(ms(1960));
        assertEquals(List.of("partial"), given.ended);
    }

    @Test
    void aColdNodeGetsNoMoreThanThisRoutersShareOfEveryWindow() {
        var cold = new RoutingPolicy.SlowStart(0.2, ms(10_000), 2.0, ms(1000), 2, ms(20), ms(250));
        DataNode node = new DataNode(0, new Zone(true));
        node.recentWorkSent = cold.ring();
        node.update(Readiness.READY, ms(0));
        assertTrue(cold.allows(ms(10), node, null, ms(150)));
        node.recentWorkSent.add(ms(10), 0.3);
        assertFalse(cold.allows(ms(900), node, null, ms(150)));
        // What was decided then may have gone 250 ms later, when its connection was up.
        assertFalse(cold.allows(ms(1200), node, null, ms(150)));
        assertTrue(cold.allows(ms(1400), node, null, ms(150)));
        assertTrue(cold.allows(ms(11_000), node, null, ms(5000)));
    }

    /**
     * It has forgotten what it sent before it ended, which may have been its whole share of the
     * window.
     */
    @Test
    void aRouterThatHasJustStartedSendsNothingToWhatIsCold() {
        var cold = new RoutingPolicy.SlowStart(0.2, ms(10_000), 2.0, ms(1000), 2, ms(20), ms(250));
        DataNode node = new DataNode(0, new Zone(true));
        node.recentWorkSent = cold.ring();
        node.update(Readiness.READY, ms(-300));
        assertFalse(cold.allows(ms(1200), node, null, ms(150)));
        assertTrue(cold.allows(ms(1250), node, null, ms(150)));
    }

    /**
     * All that so many routers can send a cold node, each as much as it may, with parts of
     * differing work.
     */
    private static double mostInAWindow(Random chance, int routers, double multiple) {
        List<RoutingPolicy.SlowStart> pacings = new ArrayList<>();
        List<DataNode> views = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            pacings.add(
                    new RoutingPolicy.SlowStart(
                            0.2, ms(10_000), multiple, ms(1000), routers, ms(0), ms(250)));
            DataNode node = new DataNode(0, new Zone(true));
            node.recentWorkSent = pacings.get(i).ring();
            node.update(Readiness.READY, ms(5000));
            node.samplingThreshold = chance.nextDouble();
            views.add(node);
        }
        double sum = 0;
        for (int at = 5000; at < 6000; at += 50) {
            for (int i = 0; i < routers; i++) {
                Duration work = ms(60 + chance.nextInt(80));
                Duration asked = work.compareTo(ms(100)) < 0 ? ms(100) : work;
                if (pacings.get(i).allows(ms(at), views.get(i), null, asked)) {
                    pacings.get(i).sent(ms(at), views.get(i), null, work);
                    sum += work.toNanos() / 1e9;
                }
            }
        }
        return sum;
    }

    /**
     * The worst that can come: all routers want the node all the time. Beyond N, 2 x root of N + 2
     * is chance.
     */
    @Test
    void whatAllRoutersTogetherCanSendAColdNodeKeepsTheBudgetButForChance() {
        Random chance = new Random(5);
        for (int routers : new int[] {3, 20, 30, 100}) {
            for (double multiple : new double[] {2, 3, 4}) {
                double n = multiple * 0.2 * 2 / 0.1;
                int beyond = 0;
                double all = 0;
                for (int i = 0; i < 1000; i++) {
                    double sent = mostInAWindow(chance, routers, multiple) / 0.1;
                    all += sent;
                    beyond += sent > n + 2 * Math.sqrt(n) + 2 ? 1 : 0;
                }
                System.out.println(
                        routers
                                + " routers, N "
                                + n
                                + ": mean "
                                + all / 1000
                                + ", beyond "
                                + beyond);
                assertTrue(
                        all / 1000 <= n,
                        routers + " routers, N " + n + ": " + all / 1000 + " on the mean");
                assertTrue(
                        beyond <= 2,
                        routers + " routers, N " + n + ": " + beyond + " of 1000 windows beyond");
            }
        }
    }

    @Test
    void furtherLeafCallsStayWithinTheRation() {
        var ration = new RoutingPolicy.RetryBudget(1.0, 0.1, ms(10_000));
        for (int i = 0; i < 10; i++) {
            ration.requests().add(ms(0), 1);
        }
        ration.retries().add(ms(100), 1);
        assertTrue(ration.allowed(ms(200)));
        ration.retries().add(ms(200), 1);
        assertFalse(ration.allowed(ms(300)));
    }

    @Test
    void aCustomerIsBeyondItsShareOnlyAheadOfTheOthers() {
        var held = new RoutingPolicy.AdmissionControl(100, 1, 0.1, null);
        Tenant loud = new Tenant(1.0);
        Tenant quiet = new Tenant(9.0);
        for (int i = 0; i < 12; i++) {
            held.beyondShare(ms(i), quiet);
        }
        assertFalse(held.beyondShare(ms(20), loud));
        for (int i = 0; i < 10; i++) {
            held.beyondShare(ms(21), loud);
        }
        assertTrue(held.beyondShare(ms(30), loud));
        assertFalse(held.beyondShare(ms(30), quiet));
        assertFalse(
                new RoutingPolicy.AdmissionControl(100, 10, 0.1, null)
                        .beyondShare(ms(0), new Tenant(1.0)));
    }

    @Test
    void aPartLostBesideAnsweredOnesOfItsCallGetsACopy() {
        given.begun(repeatable, 2);
        ends(given, ms(100), given.sent.get(0), AttemptOutcome.SUCCESS);
        given.policy.onBatchEnd(ms(1100));
        assertEquals(3, given.sent.size());
        assertNotSame(given.sent.get(1).node, given.sent.get(2).node);
    }

    @Test
    void rejectionsOfOneTurnsCallsHalveTheWindowOnce() {
        given.begun(repeatable, 40);
        assertEquals(32, given.sent.size());
        for (Attempt attempt : List.copyOf(given.sent)) {
            ends(given, ms(50), attempt, AttemptOutcome.OVERLOADED);
        }
        given.policy.onBatchEnd(ms(50));
        assertEquals(32 + 16, given.sent.size());
    }

    @Test
    void whereCopiesAreBarredNothingIsRecalledWithoutTimeForASecondRun() {
        for (boolean mayDuplicate : List.of(true, false)) {
            PolicyFixture at = new PolicyFixture(3, mayDuplicate);
            QueryClass queryClass = PolicyFixture.vertical(SideEffects.IDEMPOTENT, 1);
            at.begun(queryClass, 1);
            queryClass.baselineLatency = ms(600);
            at.policy.onBatchEnd(ms(1300));
            assertEquals(mayDuplicate ? 2 : 1, at.sent.size());
            assertEquals(0, at.cancelled.size());
        }
    }

    @Test
    void whatItsClientWillNotWaitForIsRejectedUnbegun() {
        given.begun(repeatable, 2);
        repeatable.baselineLatency = ms(300);
        Query brief = new Query(repeatable, null, ms(0), ms(500));
        given.policy.onQuery(ms(0), brief);
        new ShardRequest(brief, 0, 0.5, null);
        new ShardRequest(brief, 1, 0.5, null);
        given.policy.onBatchEnd(ms(0));
        assertEquals(List.of("rejected"), given.ended);
    }

    @Test
    void whatItsClientMayNotWaitForIsTriedWhileNothingIsOut() {
        repeatable.baselineLatency = ms(1900);
        given.begun(repeatable, 2);
        assertEquals(2, given.sent.size());
    }

    @Test
    void manyRoutersDrawLotsForAColdNode() {
        var cold =
                new RoutingPolicy.SlowStart(0.2, ms(10_000), 2.0, ms(1000), 100, ms(20), ms(250));
        DataNode node = new DataNode(0, new Zone(true));
        node.recentWorkSent = cold.ring();
        node.update(Readiness.READY, ms(0));
        node.samplingThreshold = 0.01;
        assertTrue(cold.allows(ms(10), node, null, ms(80)));
        cold.sent(ms(10), node, null, ms(80));
        assertFalse(cold.allows(ms(500), node, null, ms(80)));
        node.samplingThreshold = 0.99;
        assertFalse(cold.allows(ms(2000), node, null, ms(80)));
    }

    /**
     * Calls to so many nodes of another zone, of which the first so many fail; the last node stays
     * untouched.
     */
    private DataNode otherZone(int called, int failed) {
        Zone zone = new Zone(false);
        Query query = new Query(repeatable, null, ms(0), PolicyFixture.DEADLINE);
        for (int i = 0; i < called; i++) {
            DataNode node = new DataNode(0, zone);
            given.policy.onNodeUpdate(ms(0), node, Readiness.READY, null);
            ends(
                    given,
                    ms(100),
                    new Attempt(new ShardRequest(query, i, 0.1, null), node, ms(0), null),
                    i < failed ? AttemptOutcome.UNREACHABLE : AttemptOutcome.SUCCESS);
        }
        DataNode untouched = new DataNode(0, zone);
        given.policy.onNodeUpdate(ms(0), untouched, Readiness.READY, null);
        for (DataNode node : given.nodes) {
            new Attempt(new ShardRequest(query, 9, 0.1, null), node, ms(100), null);
        }
        given.query(ms(100), repeatable, 1);
        given.policy.onBatchEnd(ms(100));
        return untouched;
    }

    @Test
    void aZoneWhoseCallsMostlyFailIsShunnedWithItsUntriedNodes() {
        DataNode untouched = otherZone(4, 4);
        assertTrue(given.nodes.contains(given.sent.get(0).node));
        assertNotSame(untouched, given.sent.get(0).node);
    }

    @Test
    void aFewFailuresAccuseNoZone() {
        otherZone(4, 1);
        assertFalse(given.nodes.contains(given.sent.get(0).node));
    }

    @Test
    void aPartDoesNotSpendItsCallsOnHoldersThatHaveJustFailedIt() {
        Query query = given.begun(repeatable, 1);
        for (int i = 0; i < 3; i++) {
            ends(given, ms(1 + i), given.sent.get(i), AttemptOutcome.UNREACHABLE);
            given.policy.onBatchEnd(ms(1 + i));
        }
        assertEquals(3, given.sent.size(), "each holder once");
        PolicyFixture more = new PolicyFixture(2, false);
        Query waits = more.begun(repeatable, 1);
        for (int i = 0; i < 2; i++) {
            ends(more, ms(1 + i), more.sent.get(i), AttemptOutcome.UNREACHABLE);
            more.policy.onBatchEnd(ms(1 + i));
        }
        more.policy.onBatchEnd(ms(20));
        assertEquals(2, more.sent.size());
        assertFalse(waits.hasEnded());
        more.policy.onBatchEnd(ms(600));
        more.policy.onProbeResult(ms(610), more.probed.get(0), true);
        more.policy.onBatchEnd(ms(610));
        assertEquals(3, more.sent.size(), "one that answers its probe gets the part");
    }

    /** The list tells that the last two of so many nodes have died. */
    private static PolicyFixture withCrashes(int nodes) {
        PolicyFixture given = new PolicyFixture(nodes, true);
        for (int i = nodes - 2; i < nodes; i++) {
            given.policy.onNodeUpdate(ms(0), given.nodes.get(i), Readiness.REMOVED, null);
        }
        return given;
    }

    @Test
    void whileNodesCrashOnePartGoesAheadAndTheOthersFollowOnceItIsMerged() {
        PolicyFixture crashing = withCrashes(6);
        crashing.begun(repeatable, 4);
        assertEquals(1, crashing.sent.size());
        ends(crashing, ms(100), crashing.sent.get(0), AttemptOutcome.SUCCESS);
        crashing.policy.onBatchEnd(ms(100));
        assertEquals(4, crashing.sent.size());
        Query later = crashing.query(ms(11_000), repeatable, 4);
        crashing.policy.onBatchEnd(ms(11_000));
        assertEquals(4, later.requestsInFlight(), "crashes are forgotten");
    }

    @Test
    void aQueryThatLostThePartThatWentAheadIsGivenUpAndOneThatMetACrashIsNot() {
        PolicyFixture crashing = withCrashes(8);
        Query query = crashing.begun(repeatable, 4);
        ends(crashing, ms(50), crashing.sent.get(0), AttemptOutcome.RESET);
        crashing.policy.onBatchEnd(ms(50));
        assertTrue(query.hasEnded());
        assertEquals(List.of("rejected"), crashing.ended);
        Query one = given.begun(repeatable, 1);
        ends(given, ms(50), given.sent.get(0), AttemptOutcome.RESET);
        given.policy.onBatchEnd(ms(50));
        assertEquals(2, given.sent.size());
        ends(given, ms(100), given.sent.get(1), AttemptOutcome.RESET);
        given.policy.onBatchEnd(ms(100));
        assertTrue(one.hasEnded());
    }

    @Test
    void aDrainedNodeThatGoesIsNoCrash() {
        for (int i = 1; i < 3; i++) {
            given.policy.onNodeUpdate(ms(0), given.nodes.get(i), Readiness.DRAINING, null);
            given.policy.onNodeUpdate(ms(0), given.nodes.get(i), Readiness.REMOVED, null);
        }
        given.begun(repeatable, 4);
        assertEquals(4, given.sent.size());
    }

    @Test
    void aNodeThatCouldNotBeReachedCountsAsColdUntilItIsToldOfALaterStart() {
        DataNode node = given.nodes.get(0);
        node.update(Readiness.READY, ms(0));
        given.policy.onNodeUpdate(ms(50_000), node, Readiness.READY, ms(0));
        Query query = new Query(repeatable, null, ms(60_000), ms(66_000));
        ends(
                given,
                ms(60_000),
                new Attempt(new ShardRequest(query, 0, 1, null), node, ms(60_000), null),
                AttemptOutcome.UNREACHABLE);
        assertEquals(ms(60_000), node.warmingUpSince());
        given.policy.onNodeUpdate(ms(63_000), node, Readiness.READY, ms(61_000));
        assertEquals(ms(61_000), node.warmingUpSince());
    }

    @Test
    void theFirstAnswerOfARareVerticalIsNoQuietTimeWhereItsNodeIsSlowToOthers() {
        repeatable.baselineLatency = ms(100);
        given.begun(repeatable, 3);
        given.sent.forEach(attempt -> ends(given, ms(500), attempt, AttemptOutcome.SUCCESS));
        QueryClass rare = PolicyFixture.vertical(SideEffects.IDEMPOTENT, 1);
        given.query(ms(500), rare, 1);
        given.policy.onBatchEnd(ms(500));
        ends(given, ms(1000), given.sent.get(3), AttemptOutcome.SUCCESS);
        assertTrue(rare.baselineLatency.compareTo(ms(200)) < 0, rare.baselineLatency.toString());
    }

    @Test
    void partsThatShareNoCallsGoToTheHolderWithFewestOfOurs() {
        PolicyFixture alone = new PolicyFixture(4, true, 1);
        alone.begun(repeatable, 4);
        assertEquals(4, alone.sent.stream().map(attempt -> attempt.node).distinct().count());
    }

    @Test
    void theSecondStepNeedsAllItsPartsAndOneThatIsGivenUpIsRejectedOnlyWhereNothingMayHaveRun() {
        for (SideEffects effect : List.of(SideEffects.IDEMPOTENT, SideEffects.NON_IDEMPOTENT)) {
            PolicyFixture two = new PolicyFixture(3, true);
            Query query =
                    two.begun(
                            PolicyFixture.vertical(effect, 0.5)
                                    .withSecondStep(PolicyFixture.vertical(effect, 1)),
                            4);
            for (int i = 0; i < 2; i++) {
                ends(two, ms(50), two.sent.get(i), AttemptOutcome.SUCCESS);
            }
            two.policy.onBatchEnd(ms(50));
            assertEquals(List.of("whole"), two.ended, "any two of four will do in the first");
            assertFalse(query.hasEnded());
            two.policy.onBatchEnd(ms(70));
            int before = two.sent.size();
            for (int i = 0; i < 2; i++) {
                two.policy.onShardRequest(ms(70), new ShardRequest(query, i, 0.5, null));
            }
            two.policy.onBatchEnd(ms(70));
            assertEquals(2, two.sent.size() - before);
            ends(two, ms(90), two.sent.get(before), AttemptOutcome.SUCCESS);
            two.policy.onBatchEnd(ms(90));
            assertEquals(1, two.ended.size(), "half of the second is not enough");
            two.policy.onBatchEnd(PolicyFixture.DEADLINE.minus(ms(30)));
            assertEquals(
                    effect == SideEffects.IDEMPOTENT ? "rejected" : "aborted", two.ended.get(1));
        }
    }

    @Test
    void theSloTimeOfARepeatRunsFromItsFirstTryWhereItHasTheRestOfItsClientsTime() {
        repeatable.totalClientTimeout = PolicyFixture.DEADLINE;
        Query first = given.begun(repeatable, 1);
        assertEquals(PolicyFixture.SLO, first.sloDeadline());
        ends(given, ms(10), given.sent.get(0), AttemptOutcome.SUCCESS);
        Query short3 = repeat(ms(100), ms(3000));
        assertEquals(
                ms(3100).minus(PolicyFixture.DEADLINE).plus(PolicyFixture.SLO),
                short3.sloDeadline(),
                "it has been 3 s since the first");
        Query full = repeat(ms(100), PolicyFixture.DEADLINE);
        assertEquals(
                ms(100).plus(PolicyFixture.SLO),
                full.sloDeadline(),
                "how long ago it first came is not told");
    }

    private Query repeat(Duration now, Duration wait) {
        Query query = new Query(repeatable, null, now, now.plus(wait));
        query.markClientRetry();
        given.policy.onQuery(now, query);
        return query;
    }

    @Test
    void aQueryThatMayDoWithLessThanAllBeginsWithItsQuickestNodes() {
        PolicyFixture cells = new PolicyFixture(6, true, 1, 6);
        QueryClass floored =
                new QueryClass(PolicyFixture.SLO, SideEffects.IDEMPOTENT, null, 1, 0, 1, 0.5, 0.8);
        floored.baselineLatency = ms(100);
        cells.begun(floored, 6);
        for (int i = 0; i < 6; i++) {
            ends(cells, ms(i < 3 ? 900 : 100), cells.sent.get(i), AttemptOutcome.SUCCESS);
        }
        cells.query(ms(900), floored, 6);
        cells.policy.onBatchEnd(ms(900));
        assertEquals(
                cells.nodes.subList(3, 6),
                cells.sent.subList(6, 9).stream().map(attempt -> attempt.node).toList());
    }

    @Test
    void aLargeQueryThatTheWindowWouldTakeInTooManyRoundsIsNotBegun() {
        repeatable.baselineLatency = ms(100);
        given.begun(repeatable, 1);
        Query large = given.query(ms(0), repeatable, 1000);
        given.policy.onBatchEnd(ms(0));
        assertTrue(large.hasEnded(), "some thirty rounds of 100 ms are more than 2 s");
        Query fair = given.query(ms(0), repeatable, 100);
        given.policy.onBatchEnd(ms(0));
        assertFalse(fair.hasEnded());
    }
}
