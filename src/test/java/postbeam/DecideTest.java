package postbeam;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.Given.ms;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import postbeam.state.Customer;
import postbeam.state.DataNode;
import postbeam.state.Effect;
import postbeam.state.LeafCall;
import postbeam.state.Outcome;
import postbeam.state.Part;
import postbeam.state.Query;
import postbeam.state.Readiness;
import postbeam.state.Vertical;
import postbeam.state.Zone;

class DecideTest {
    private final Given given = new Given(3, true);
    private final Vertical repeatable = Given.vertical(Effect.REPEATABLE, 1);

    private void ends(Given at, Duration now, LeafCall call, Outcome outcome) {
        at.decide.leafCallEnded(now, call, outcome, now.minus(call.sentAt), false);
    }

    @Test
    void theQueryNearestCompletionGetsTheFreeSlot() {
        given.query(ms(0), repeatable, 5);
        Query small = given.begun(repeatable, 2);
        assertEquals(
                List.of(small, small),
                given.sent.subList(0, 2).stream().map(c -> c.part.query).toList());
    }

    @Test
    void anyNAnswersOnTheFirstNAndCancelsTheRest() {
        given.begun(Given.vertical(Effect.REPEATABLE, 1), 12);
        given.begun(Given.vertical(Effect.REPEATABLE, 0.5), 4);
        List<LeafCall> mine =
                given.sent.stream().filter(c -> c.part.query.queryClass().anyN()).toList();
        assertEquals(3, mine.size());
        ends(given, ms(100), mine.get(0), Outcome.MERGED);
        ends(given, ms(100), mine.get(1), Outcome.MERGED);
        given.decide.turnEnded(ms(100));
        assertEquals(List.of("whole"), given.ended);
        assertEquals(List.of(mine.get(2)), given.cancelled);
    }

    @Test
    void thatHalfOfTheNodesAreSlowMakesNoQueryHopeless() {
        Given four = new Given(4, true);
        repeatable.quietTime = ms(100);
        for (int i = 0; i < 4; i++) {
            four.begun(repeatable, 1);
        }
        for (int i = 0; i < 4; i++) {
            ends(four, ms(i < 2 ? 100 : 1500), four.sent.get(i), Outcome.MERGED);
        }
        four.query(ms(1500), repeatable, 1);
        four.decide.turnEnded(ms(1500));
        Query q = four.query(ms(1510), repeatable, 2);
        four.decide.turnEnded(ms(1510));
        assertEquals(2, q.out());
        assertFalse(four.ended.contains("rejected"));
    }

    @Test
    void aJamOfASecondDoesNotPassForQuietHoweverManyAnswersItBrings() {
        repeatable.quietTime = ms(10);
        for (int i = 0; i < 100; i++) {
            given.query(ms(10 * i), repeatable, 1);
            given.decide.turnEnded(ms(10 * i));
            LeafCall call = given.sent.get(given.sent.size() - 1);
            given.decide.leafCallEnded(ms(10 * i), call, Outcome.MERGED, ms(500), false);
        }
        assertTrue(repeatable.quietTime.compareTo(ms(50)) < 0, repeatable.quietTime.toString());
        assertTrue(repeatable.quietTime.compareTo(ms(20)) > 0, repeatable.quietTime.toString());
    }

    @Test
    void whatCantBeSentAgainIsNoTrialOfANodeThatFailed() {
        Given two = new Given(2, true);
        two.begun(repeatable, 1);
        DataNode struck = two.sent.get(0).node;
        ends(two, ms(10), two.sent.get(0), Outcome.RESET);
        two.decide.probed(ms(600), struck, true);
        for (int i = 0; i < 8; i++) {
            two.sent.clear();
            two.query(ms(700 + i), Given.vertical(Effect.SIDE_EFFECTING, 1), 1);
            two.decide.turnEnded(ms(700 + i));
            LeafCall call = two.sent.get(two.sent.size() - 1);
            assertEquals(Effect.SIDE_EFFECTING, call.part.query.queryClass().effect);
            assertNotSame(struck, call.node);
            ends(two, ms(700 + i), call, Outcome.MERGED);
        }
    }

    @Test
    void partsOfOneQueryShareOneOffset() {
        given.begun(repeatable, 3);
        assertEquals(1, given.sent.stream().map(c -> c.node).distinct().count());
    }

    @Test
    void aSideEffectingPartThatMayHaveRunIsNeitherSentAgainNorRejected() {
        given.begun(Given.vertical(Effect.SIDE_EFFECTING, 1), 1);
        ends(given, ms(500), given.sent.get(0), Outcome.RESET);
        given.decide.turnEnded(ms(500));
        assertEquals(1, given.sent.size());
        assertEquals(List.of("aborted"), given.ended);
    }

    @Test
    void aSideEffectingPartThatNeverRanGoesElsewhere() {
        given.begun(Given.vertical(Effect.SIDE_EFFECTING, 1), 1);
        ends(given, ms(5), given.sent.get(0), Outcome.FULL);
        given.decide.turnEnded(ms(5));
        assertEquals(2, given.sent.size());
        assertNotSame(given.sent.get(0).node, given.sent.get(1).node);
    }

    @Test
    void aDeduplicatedPartIsNotSentAgainPastItsWindow() {
        Query q = given.begun(Given.vertical(Effect.DEDUPLICATED, 1), 1);
        ends(given, ms(2990), given.sent.get(0), Outcome.RESET);
        given.decide.turnEnded(ms(2990));
        assertEquals(1, given.sent.size());
        assertTrue(q.hasEnded());
    }

    @Test
    void noSecondCopyWhereItIsBarred() {
        Given barred = new Given(3, false);
        barred.begun(repeatable, 1);
        barred.decide.turnEnded(ms(1500));
        assertEquals(1, barred.sent.size());
        assertEquals(1, barred.cancelled.size());
        ends(barred, ms(1505), barred.sent.get(0), Outcome.CANCELLED);
        barred.decide.turnEnded(ms(1505));
        assertNotSame(barred.sent.get(0).node, barred.sent.get(1).node);
    }

    @Test
    void theLastWordComesBeforeTheClientLeaves() {
        given.begun(repeatable, 1);
        given.decide.turnEnded(Given.DEADLINE.minus(ms(30)));
        assertEquals(List.of("rejected"), given.ended);
    }

    @Test
    void aQueryNotBegunInTimeIsRejectedEarly() {
        for (int i = 0; i < 4; i++) {
            given.query(ms(0), repeatable, 8);
        }
        given.decide.turnEnded(ms(0));
        Query waiting = given.query(ms(0), repeatable, 8);
        given.decide.turnEnded(ms(250));
        assertFalse(waiting.hasEnded());
        given.decide.turnEnded(ms(850));
        assertTrue(waiting.hasEnded());
        assertEquals(List.of("rejected"), given.ended);
    }

    @Test
    void aQueryThatNoNodeCanTakeIsRejectedSoonest() {
        given.nodes.forEach(n -> given.decide.nodeListed(ms(0), n, Readiness.DRAINING, null));
        given.query(ms(0), repeatable, 1);
        given.decide.turnEnded(ms(150));
        assertEquals(List.of(), given.ended);
        given.decide.turnEnded(ms(250));
        assertEquals(List.of("rejected"), given.ended);
    }

    @Test
    void nothingGoesToADrainingNode() {
        given.decide.nodeListed(ms(0), given.nodes.get(0), Readiness.DRAINING, null);
        given.decide.nodeListed(ms(0), given.nodes.get(1), Readiness.GONE, null);
        given.query(ms(10), repeatable, 6);
        given.decide.turnEnded(ms(10));
        assertEquals(6, given.sent.size());
        assertTrue(given.sent.stream().allMatch(c -> c.node == given.nodes.get(2)));
    }

    @Test
    void aNodeThatSwallowsACallIsLeftAloneAndProbed() {
        given.begun(repeatable, 1);
        LeafCall call = given.sent.get(0);
        ends(given, ms(1200), call, Outcome.CANCELLED);
        assertNotNull(call.node.avoidUntil);
        given.decide.turnEnded(ms(1800));
        assertEquals(List.of(call.node), given.probed);
        given.decide.probed(ms(1801), call.node, true);
        assertNull(call.node.avoidUntil);
    }

    @Test
    void aNodeThatRejectsAtOnceDrawsNoMoreParts() {
        given.begun(repeatable, 2);
        DataNode full = given.sent.get(0).node;
        ends(given, ms(1), given.sent.get(0), Outcome.FULL);
        ends(given, ms(1), given.sent.get(1), Outcome.FULL);
        given.query(ms(2), repeatable, 4);
        given.decide.turnEnded(ms(2));
        assertTrue(given.sent.stream().skip(2).noneMatch(c -> c.node == full));
    }

    @Test
    void suspicionNeverShutsOutAllReplicas() {
        given.nodes.forEach(n -> n.avoidUntil = ms(5000));
        given.begun(repeatable, 1);
        assertEquals(1, given.sent.size());
    }

    @Test
    void lostCallsHoldNoSlot() {
        for (int i = 0; i < 4; i++) {
            given.query(ms(0), repeatable, 8);
        }
        given.decide.turnEnded(ms(0));
        assertEquals(32, given.sent.size());
        given.sent.forEach(c -> c.node.avoidUntil = ms(5000));
        Query q = given.query(ms(10), repeatable, 1);
        given.decide.turnEnded(ms(10));
        assertEquals(1, q.parts.get(0).out.size());
    }

    @Test
    void aLateQueryWhosePartsAreAllOutIsKept() {
        Query q = given.begun(repeatable, 2);
        given.decide.turnEnded(Given.SLO.plus(ms(100)));
        assertFalse(q.hasEnded());
    }

    @Test
    void anHonestPartialAnswerComesBeforeTheSloTimePasses() {
        Vertical floored = new Vertical(Given.SLO, Effect.REPEATABLE, null, 1, 0.1, 1, 0.5, 0.9);
        given.begun(floored, 2);
        ends(given, ms(100), given.sent.get(0), Outcome.MERGED);
        given.decide.turnEnded(ms(1900));
        assertEquals(List.of(), given.ended);
        given.decide.turnEnded(ms(1960));
        assertEquals(List.of("partial"), given.ended);
    }

    @Test
    void aColdNodeGetsNoMoreThanThisRoutersShareOfEveryWindow() {
        var cold = new Decide.ColdPacing(0.2, ms(10_000), 2.0, ms(1000), 2, ms(20), ms(250));
        DataNode node = new DataNode(0, new Zone(true));
        node.workSent = cold.ring();
        node.update(Readiness.READY, ms(0));
        assertTrue(cold.allows(ms(10), node, null, ms(150)));
        node.workSent.add(ms(10), 0.3);
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
        var cold = new Decide.ColdPacing(0.2, ms(10_000), 2.0, ms(1000), 2, ms(20), ms(250));
        DataNode node = new DataNode(0, new Zone(true));
        node.workSent = cold.ring();
        node.update(Readiness.READY, ms(-300));
        assertFalse(cold.allows(ms(1200), node, null, ms(150)));
        assertTrue(cold.allows(ms(1250), node, null, ms(150)));
    }

    /**
     * All that so many routers can send a cold node, each as much as it may, with parts of
     * differing work.
     */
    private static double mostInAWindow(Random chance, int routers, double multiple) {
        List<Decide.ColdPacing> pacings = new ArrayList<>();
        List<DataNode> views = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            pacings.add(
                    new Decide.ColdPacing(
                            0.2, ms(10_000), multiple, ms(1000), routers, ms(0), ms(250)));
            DataNode node = new DataNode(0, new Zone(true));
            node.workSent = pacings.get(i).ring();
            node.update(Readiness.READY, ms(5000));
            node.lot = chance.nextDouble();
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
        var ration = new Decide.FurtherCalls(1.0, 0.1, ms(10_000));
        for (int i = 0; i < 10; i++) {
            ration.taken().add(ms(0), 1);
        }
        ration.sent().add(ms(100), 1);
        assertTrue(ration.allowed(ms(200)));
        ration.sent().add(ms(200), 1);
        assertFalse(ration.allowed(ms(300)));
    }

    @Test
    void aCustomerIsBeyondItsShareOnlyAheadOfTheOthers() {
        var held = new Decide.Held(100, 1, 0.1, null);
        Customer loud = new Customer(1.0);
        Customer quiet = new Customer(9.0);
        for (int i = 0; i < 12; i++) {
            held.beyondShare(ms(i), quiet);
        }
        assertFalse(held.beyondShare(ms(20), loud));
        for (int i = 0; i < 10; i++) {
            held.beyondShare(ms(21), loud);
        }
        assertTrue(held.beyondShare(ms(30), loud));
        assertFalse(held.beyondShare(ms(30), quiet));
        assertFalse(new Decide.Held(100, 10, 0.1, null).beyondShare(ms(0), new Customer(1.0)));
    }

    @Test
    void aPartLostBesideAnsweredOnesOfItsCallGetsACopy() {
        given.begun(repeatable, 2);
        ends(given, ms(100), given.sent.get(0), Outcome.MERGED);
        given.decide.turnEnded(ms(1100));
        assertEquals(3, given.sent.size());
        assertNotSame(given.sent.get(1).node, given.sent.get(2).node);
    }

    @Test
    void rejectionsOfOneTurnsCallsHalveTheWindowOnce() {
        given.begun(repeatable, 40);
        assertEquals(32, given.sent.size());
        for (LeafCall call : List.copyOf(given.sent)) {
            ends(given, ms(50), call, Outcome.FULL);
        }
        given.decide.turnEnded(ms(50));
        assertEquals(32 + 16, given.sent.size());
    }

    @Test
    void whereCopiesAreBarredNothingIsRecalledWithoutTimeForASecondRun() {
        for (boolean mayDuplicate : List.of(true, false)) {
            Given at = new Given(3, mayDuplicate);
            Vertical vertical = Given.vertical(Effect.REPEATABLE, 1);
            at.begun(vertical, 1);
            vertical.quietTime = ms(600);
            at.decide.turnEnded(ms(1300));
            assertEquals(mayDuplicate ? 2 : 1, at.sent.size());
            assertEquals(0, at.cancelled.size());
        }
    }

    @Test
    void whatItsClientWillNotWaitForIsRejectedUnbegun() {
        given.begun(repeatable, 2);
        repeatable.quietTime = ms(300);
        Query brief = new Query(repeatable, null, ms(0), ms(500));
        given.decide.queryArrived(ms(0), brief);
        new Part(brief, 0, 0.5, null);
        new Part(brief, 1, 0.5, null);
        given.decide.turnEnded(ms(0));
        assertEquals(List.of("rejected"), given.ended);
    }

    @Test
    void whatItsClientMayNotWaitForIsTriedWhileNothingIsOut() {
        repeatable.quietTime = ms(1900);
        given.begun(repeatable, 2);
        assertEquals(2, given.sent.size());
    }

    @Test
    void manyRoutersDrawLotsForAColdNode() {
        var cold = new Decide.ColdPacing(0.2, ms(10_000), 2.0, ms(1000), 100, ms(20), ms(250));
        DataNode node = new DataNode(0, new Zone(true));
        node.workSent = cold.ring();
        node.update(Readiness.READY, ms(0));
        node.lot = 0.01;
        assertTrue(cold.allows(ms(10), node, null, ms(80)));
        cold.sent(ms(10), node, null, ms(80));
        assertFalse(cold.allows(ms(500), node, null, ms(80)));
        node.lot = 0.99;
        assertFalse(cold.allows(ms(2000), node, null, ms(80)));
    }

    /**
     * Calls to so many nodes of another zone, of which the first so many fail; the last node stays
     * untouched.
     */
    private DataNode otherZone(int called, int failed) {
        Zone zone = new Zone(false);
        Query q = new Query(repeatable, null, ms(0), Given.DEADLINE);
        for (int i = 0; i < called; i++) {
            DataNode node = new DataNode(0, zone);
            given.decide.nodeListed(ms(0), node, Readiness.READY, null);
            ends(
                    given,
                    ms(100),
                    new LeafCall(new Part(q, i, 0.1, null), node, ms(0), null),
                    i < failed ? Outcome.UNREACHABLE : Outcome.MERGED);
        }
        DataNode untouched = new DataNode(0, zone);
        given.decide.nodeListed(ms(0), untouched, Readiness.READY, null);
        for (DataNode node : given.nodes) {
            new LeafCall(new Part(q, 9, 0.1, null), node, ms(100), null);
        }
        given.query(ms(100), repeatable, 1);
        given.decide.turnEnded(ms(100));
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
        Query q = given.begun(repeatable, 1);
        for (int i = 0; i < 3; i++) {
            ends(given, ms(1 + i), given.sent.get(i), Outcome.UNREACHABLE);
            given.decide.turnEnded(ms(1 + i));
        }
        assertEquals(3, given.sent.size(), "each holder once");
        Given more = new Given(2, false);
        Query waits = more.begun(repeatable, 1);
        for (int i = 0; i < 2; i++) {
            ends(more, ms(1 + i), more.sent.get(i), Outcome.UNREACHABLE);
            more.decide.turnEnded(ms(1 + i));
        }
        more.decide.turnEnded(ms(20));
        assertEquals(2, more.sent.size());
        assertFalse(waits.hasEnded());
        more.decide.turnEnded(ms(600));
        more.decide.probed(ms(610), more.probed.get(0), true);
        more.decide.turnEnded(ms(610));
        assertEquals(3, more.sent.size(), "one that answers its probe gets the part");
    }

    /** The list tells that the last two of so many nodes have died. */
    private static Given withCrashes(int nodes) {
        Given given = new Given(nodes, true);
        for (int i = nodes - 2; i < nodes; i++) {
            given.decide.nodeListed(ms(0), given.nodes.get(i), Readiness.GONE, null);
        }
        return given;
    }

    @Test
    void whileNodesCrashOnePartGoesAheadAndTheOthersFollowOnceItIsMerged() {
        Given crashing = withCrashes(6);
        crashing.begun(repeatable, 4);
        assertEquals(1, crashing.sent.size());
        ends(crashing, ms(100), crashing.sent.get(0), Outcome.MERGED);
        crashing.decide.turnEnded(ms(100));
        assertEquals(4, crashing.sent.size());
        Query later = crashing.query(ms(11_000), repeatable, 4);
        crashing.decide.turnEnded(ms(11_000));
        assertEquals(4, later.out(), "crashes are forgotten");
    }

    @Test
    void aQueryThatLostThePartThatWentAheadIsGivenUpAndOneThatMetACrashIsNot() {
        Given crashing = withCrashes(8);
        Query q = crashing.begun(repeatable, 4);
        ends(crashing, ms(50), crashing.sent.get(0), Outcome.RESET);
        crashing.decide.turnEnded(ms(50));
        assertTrue(q.hasEnded());
        assertEquals(List.of("rejected"), crashing.ended);
        Query one = given.begun(repeatable, 1);
        ends(given, ms(50), given.sent.get(0), Outcome.RESET);
        given.decide.turnEnded(ms(50));
        assertEquals(2, given.sent.size());
        ends(given, ms(100), given.sent.get(1), Outcome.RESET);
        given.decide.turnEnded(ms(100));
        assertTrue(one.hasEnded());
    }

    @Test
    void aDrainedNodeThatGoesIsNoCrash() {
        for (int i = 1; i < 3; i++) {
            given.decide.nodeListed(ms(0), given.nodes.get(i), Readiness.DRAINING, null);
            given.decide.nodeListed(ms(0), given.nodes.get(i), Readiness.GONE, null);
        }
        given.begun(repeatable, 4);
        assertEquals(4, given.sent.size());
    }

    @Test
    void aNodeThatCouldNotBeReachedCountsAsColdUntilItIsToldOfALaterStart() {
        DataNode node = given.nodes.get(0);
        node.update(Readiness.READY, ms(0));
        given.decide.nodeListed(ms(50_000), node, Readiness.READY, ms(0));
        Query q = new Query(repeatable, null, ms(60_000), ms(66_000));
        ends(
                given,
                ms(60_000),
                new LeafCall(new Part(q, 0, 1, null), node, ms(60_000), null),
                Outcome.UNREACHABLE);
        assertEquals(ms(60_000), node.coldSince());
        given.decide.nodeListed(ms(63_000), node, Readiness.READY, ms(61_000));
        assertEquals(ms(61_000), node.coldSince());
    }

    @Test
    void theFirstAnswerOfARareVerticalIsNoQuietTimeWhereItsNodeIsSlowToOthers() {
        repeatable.quietTime = ms(100);
        given.begun(repeatable, 3);
        given.sent.forEach(call -> ends(given, ms(500), call, Outcome.MERGED));
        Vertical rare = Given.vertical(Effect.REPEATABLE, 1);
        given.query(ms(500), rare, 1);
        given.decide.turnEnded(ms(500));
        ends(given, ms(1000), given.sent.get(3), Outcome.MERGED);
        assertTrue(rare.quietTime.compareTo(ms(200)) < 0, rare.quietTime.toString());
    }

    @Test
    void partsThatShareNoCallsGoToTheHolderWithFewestOfOurs() {
        Given alone = new Given(4, true, 1);
        alone.begun(repeatable, 4);
        assertEquals(4, alone.sent.stream().map(call -> call.node).distinct().count());
    }

    @Test
    void theSecondStepNeedsAllItsPartsAndOneThatIsGivenUpIsRejectedOnlyWhereNothingMayHaveRun() {
        for (Effect effect : List.of(Effect.REPEATABLE, Effect.SIDE_EFFECTING)) {
            Given two = new Given(3, true);
            Query q =
                    two.begun(Given.vertical(effect, 0.5).followedBy(Given.vertical(effect, 1)), 4);
            for (int i = 0; i < 2; i++) {
                ends(two, ms(50), two.sent.get(i), Outcome.MERGED);
            }
            two.decide.turnEnded(ms(50));
            assertEquals(List.of("whole"), two.ended, "any two of four will do in the first");
            assertFalse(q.hasEnded());
            two.decide.turnEnded(ms(70));
            int before = two.sent.size();
            for (int i = 0; i < 2; i++) {
                two.decide.partArrived(ms(70), new Part(q, i, 0.5, null));
            }
            two.decide.turnEnded(ms(70));
            assertEquals(2, two.sent.size() - before);
            ends(two, ms(90), two.sent.get(before), Outcome.MERGED);
            two.decide.turnEnded(ms(90));
            assertEquals(1, two.ended.size(), "half of the second is not enough");
            two.decide.turnEnded(Given.DEADLINE.minus(ms(30)));
            assertEquals(effect == Effect.REPEATABLE ? "rejected" : "aborted", two.ended.get(1));
        }
    }

    @Test
    void theSloTimeOfARepeatRunsFromItsFirstTryWhereItHasTheRestOfItsClientsTime() {
        repeatable.allWait = Given.DEADLINE;
        Query first = given.begun(repeatable, 1);
        assertEquals(Given.SLO, first.sloAt());
        ends(given, ms(10), given.sent.get(0), Outcome.MERGED);
        Query short3 = repeat(ms(100), ms(3000));
        assertEquals(
                ms(3100).minus(Given.DEADLINE).plus(Given.SLO),
                short3.sloAt(),
                "it has been 3 s since the first");
        Query full = repeat(ms(100), Given.DEADLINE);
        assertEquals(
                ms(100).plus(Given.SLO), full.sloAt(), "how long ago it first came is not told");
    }

    private Query repeat(Duration now, Duration wait) {
        Query q = new Query(repeatable, null, now, now.plus(wait));
        q.markClientRetry();
        given.decide.queryArrived(now, q);
        return q;
    }

    @Test
    void aQueryThatMayDoWithLessThanAllBeginsWithItsQuickestNodes() {
        Given cells = new Given(6, true, 1, 6);
        Vertical floored = new Vertical(Given.SLO, Effect.REPEATABLE, null, 1, 0, 1, 0.5, 0.8);
        floored.quietTime = ms(100);
        cells.begun(floored, 6);
        for (int i = 0; i < 6; i++) {
            ends(cells, ms(i < 3 ? 900 : 100), cells.sent.get(i), Outcome.MERGED);
        }
        cells.query(ms(900), floored, 6);
        cells.decide.turnEnded(ms(900));
        assertEquals(
                cells.nodes.subList(3, 6),
                cells.sent.subList(6, 9).stream().map(call -> call.node).toList());
    }

    @Test
    void aLargeQueryThatTheWindowWouldTakeInTooManyRoundsIsNotBegun() {
        repeatable.quietTime = ms(100);
        given.begun(repeatable, 1);
        Query large = given.query(ms(0), repeatable, 1000);
        given.decide.turnEnded(ms(0));
        assertTrue(large.hasEnded(), "some thirty rounds of 100 ms are more than 2 s");
        Query fair = given.query(ms(0), repeatable, 100);
        given.decide.turnEnded(ms(0));
        assertFalse(fair.hasEnded());
    }
}
