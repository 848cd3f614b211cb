package postbeam.slices;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import postbeam.model.Readiness;

class CoordinatorTest {
    private static final MoveLimits LIMITS =
            new MoveLimits(
                    2,
                    1,
                    2,
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(1),
                    2,
                    2);

    private final Map<String, TargetLayout.NodeInfo> nodes = new LinkedHashMap<>();
    private final List<JournalRecord> records = new ArrayList<>();
    private final List<Layout> published = new ArrayList<>();

    /** Nodes that answer nothing. */
    private final List<String> silent = new ArrayList<>();

    private final List<CoordinatorAction.SendCommand> told = new ArrayList<>();
    private Coordinator coordinator;
    private Duration now = Duration.ofSeconds(100);

    CoordinatorTest() {
        for (String name : List.of("a", "b", "c", "d")) {
            nodes.put(
                    name,
                    new TargetLayout.NodeInfo("z" + (name.charAt(0) - 'a') % 2, Readiness.READY));
        }
        Layout first = Layout.initial(4, List.of("a", "b", "c", "d"), 2);
        records.add(new JournalRecord.Snapshot(first, 1, 0, 3, List.of(), null, List.of()));
        restart();
    }

    /** From what is on disk. */
    private void restart() {
        MoveJournalState journalState = new MoveJournalState(100);
        records.forEach(journalState::apply);
        coordinator = new Coordinator(journalState, LIMITS);
        coordinator.onNodesListed(nodes, List.of());
    }

    private void readiness(String node, Readiness readiness) {
        nodes.put(node, new TargetLayout.NodeInfo(nodes.get(node).zone(), readiness));
        coordinator.onNodesListed(nodes, List.of());
    }

    /** Carries acts out; false where it dies after so many more records. */
    private boolean carryOut(List<CoordinatorAction> acts, int recordsLeft) {
        for (CoordinatorAction act : acts) {
            if (act instanceof CoordinatorAction.AppendRecord write) {
                records.add(write.record());
                if (--recordsLeft == 0) {
                    return false;
                }
            } else if (act instanceof CoordinatorAction.PublishLayout publish) {
                published.add(publish.layout());
            } else if (act instanceof CoordinatorAction.SendCommand tell) {
                told.add(tell);
            }
        }
        return true;
    }

    private void answer() {
        List<CoordinatorAction.SendCommand> all = List.copyOf(told);
        told.clear();
        for (CoordinatorAction.SendCommand tell : all) {
            if (!silent.contains(tell.node())) {
                coordinator.acknowledged(tell.move(), tell.node(), tell.command(), tell.slice());
            }
        }
    }

    private void goOn(Duration span) {
        Duration end = now.plus(span);
        while (now.compareTo(end) < 0) {
            carryOut(coordinator.tick(now), -1);
            answer();
            now = now.plusMillis(100);
        }
    }

    private long plan(LayoutChange change) {
        carryOut(coordinator.plan(change, now), -1);
        return coordinator.state().nextMove() - 1;
    }

    private MoveState until(long id, MoveState state) {
        for (int i = 0;
                i < 200
                        && coordinator.state().move(id) != null
                        && coordinator.state().move(id).state() != state;
                i++) {
            carryOut(coordinator.tick(now), -1);
            if (coordinator.state().move(id) != null
                    && coordinator.state().move(id).state() != state) {
                answer();
            }
            now = now.plusMillis(100);
        }
        return coordinator.state().move(id) == null ? null : coordinator.state().move(id).state();
    }

    private Move over(long id) {
        return coordinator.state().finishedMoves().stream()
                .filter(move -> move.id == id)
                .findFirst()
                .orElseThrow();
    }

    private Layout layout() {
        return coordinator.state().layout();
    }

    @Test
    void aMoveGoesThroughItsStatesAndTheFenceComesBeforeTheCut() {
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        List<HandoffCommand> orders = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            carryOut(coordinator.tick(now), -1);
            told.stream()
                    .filter(tell -> tell.move() == id)
                    .forEach(tell -> orders.add(tell.command()));
            answer();
        }
        assertEquals(
                List.of(
                        HandoffCommand.COPY,
                        HandoffCommand.HOLD,
                        HandoffCommand.FENCE,
                        HandoffCommand.SERVE,
                        HandoffCommand.DROP),
                orders);
        assertEquals(MoveState.COMPLETED, over(id).state());
        assertEquals(List.of("c", "b"), layout().slice(0).nodes());
        assertEquals(1, published.size());
    }

    @Test
    void splitsAndMergesGoTheSameWay() {
        plan(new LayoutChange.Split(0, List.of(50L, 100L)));
        goOn(Duration.ofSeconds(3));
        assertEquals(6, layout().slices().size());
        plan(new LayoutChange.Merge(List.of(4, 5, 6)));
        goOn(Duration.ofSeconds(3));
        assertEquals(4, layout().slices().size());
        assertEquals(KeyRange.KEY_SPACE_SIZE / 4, layout().slice(7).keys().size());
    }

    @Test
    void badPlansGetOneLineAndChangeNothing() {
        nodes.put("e", new TargetLayout.NodeInfo("z0", Readiness.DRAINING));
        coordinator.onNodesListed(nodes, List.of());
        plan(new LayoutChange.Transfer(2, "c", "a"));
        int before = records.size();
        Map<LayoutChange, String> bad = new LinkedHashMap<>();
        bad.put(new LayoutChange.Split(9, List.of(5L)), "there is no slice 9");
        bad.put(new LayoutChange.Split(0, List.of(KeyRange.KEY_SPACE_SIZE - 1)), "can't be cut at");
        bad.put(new LayoutChange.Merge(List.of(0, 2)), "slice 2 is moving already");
        bad.put(new LayoutChange.Merge(List.of(0, 1)), "held by other nodes");
        bad.put(new LayoutChange.Merge(List.of(1, 0)), "no neighbours in order");
        bad.put(new LayoutChange.Transfer(0, "a", "x"), "there is no node x");
        bad.put(new LayoutChange.Transfer(0, "a", "e"), "node e is draining");
        bad.put(new LayoutChange.Transfer(0, "a", "b"), "is held by b already");
        bad.put(new LayoutChange.Transfer(0, "d", "c"), "is not held by d");
        bad.put(new LayoutChange.Transfer(0, "a", null), "1 holders, at least 2 are needed");
        bad.put(
                new LayoutChange.Transfer(0, "a", "d"),
                "holders in 1 zones, at least 2 are needed");
        bad.forEach(
                (change, why) -> {
                    String said =
                            assertThrows(
                                            IllegalArgumentException.class,
                                            () -> coordinator.plan(change, now))
                                    .getMessage();
                    assertTrue(said.contains(why), change + ": " + said);
                    assertFalse(said.contains("\n"));
                });
        assertEquals(before, records.size());
    }

    @Test
    void aBadTargetIsToldLineByLine() {
        KeyRange low = new KeyRange(0, 100);
        assertEquals(
                List.of("gap: no slice holds the keys 100-" + KeyRange.KEY_SPACE_SIZE),
                coordinator.targetProblems(
                        new TargetLayout(
                                List.of(new TargetLayout.DesiredSlice(low, List.of("a", "b"))))));
        assertEquals(
                List.of("overlap: two slices hold the keys 50-100"),
                coordinator.targetProblems(
                        new TargetLayout(
                                List.of(
                                        new TargetLayout.DesiredSlice(low, List.of("a", "b")),
                                        new TargetLayout.DesiredSlice(
                                                new KeyRange(50, KeyRange.KEY_SPACE_SIZE),
                                                List.of("a", "b"))))));
        assertEquals(
                3,
                coordinator
                        .targetProblems(
                                new TargetLayout(
                                        List.of(
                                                new TargetLayout.DesiredSlice(
                                                        low, List.of("a", "x")),
                                                new TargetLayout.DesiredSlice(
                                                        new KeyRange(100, KeyRange.KEY_SPACE_SIZE),
                                                        List.of("a", "a")))))
                        .size());
    }

    @Test
    void limitsHoldMovesBack() {
        // b is needed by both; one at a time may need a node.
        long first = plan(new LayoutChange.Transfer(0, "a", "c"));
        long second = plan(new LayoutChange.Transfer(1, "c", "a"));
        silent.add("c");
        goOn(Duration.ofSeconds(1));
        assertEquals(MoveState.COPYING, coordinator.state().move(first).state());
        assertEquals(MoveState.PLANNED, coordinator.state().move(second).state());
        silent.clear();
        goOn(Duration.ofSeconds(4));
        assertEquals(MoveState.COMPLETED, over(second).state());
    }

    @Test
    void aMoveWaitsWhileItsSourceDrainsOrItsTargetRests() {
        readiness("a", Readiness.DRAINING);
        readiness("b", Readiness.DRAINING);
        long drains = plan(new LayoutChange.Transfer(0, "a", "c"));
        goOn(Duration.ofSeconds(3));
        assertEquals(MoveState.PLANNED, coordinator.state().move(drains).state());
        readiness("a", Readiness.READY);
        readiness("b", Readiness.READY);
        goOn(Duration.ofSeconds(3));
        assertEquals(MoveState.COMPLETED, over(drains).state());
        // a then has just taken a slice: it is given no other for a while.
        long first = plan(new LayoutChange.Transfer(0, "c", "a"));
        goOn(Duration.ofSeconds(1));
        assertEquals(MoveState.COMPLETED, over(first).state());
        long rests = plan(new LayoutChange.Transfer(1, "c", "a"));
        goOn(Duration.ofMillis(200));
        assertEquals(MoveState.PLANNED, coordinator.state().move(rests).state());
        goOn(Duration.ofSeconds(4));
        assertEquals(MoveState.COMPLETED, over(rests).state());
    }

    @Test
    void aDrainingSourceIsSparedWhereAnotherHolderHasTheData() {
        readiness("a", Readiness.DRAINING);
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        assertEquals(
                List.of("b"),
                coordinator.state().move(id).destinations.stream()
                        .map(Move.Destination::source)
                        .toList());
        goOn(Duration.ofSeconds(3));
        assertEquals(MoveState.COMPLETED, over(id).state());
    }

    @Test
    void aStuckCopyIsAbandonedAfterItsTime() {
        silent.add("c");
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        goOn(Duration.ofSeconds(9));
        assertEquals(MoveState.COPYING, coordinator.state().move(id).state());
        goOn(Duration.ofSeconds(10));
        assertEquals(MoveState.ABANDONED, over(id).state());
        assertEquals("the copy is stuck", over(id).abandonReason());
        assertEquals(2, layout().version);
        assertEquals(List.of("a", "b"), layout().slice(0).nodes());
    }

    @Test
    void aTargetThatDiesWhileHoldingBothEndsTheMove() {
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        assertEquals(MoveState.REPLICATING, until(id, MoveState.REPLICATING));
        silent.add("c");
        readiness("c", Readiness.REMOVED);
        goOn(Duration.ofSeconds(10));
        assertEquals(MoveState.ABANDONED, over(id).state());
        assertEquals(List.of("a", "b"), layout().slice(0).nodes());
    }

    @Test
    void aSourceThatDiesOnceItIsFencedIsNotNeededAnyMore() {
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        assertEquals(MoveState.FENCED, until(id, MoveState.FENCED));
        answer();
        silent.add("a");
        readiness("a", Readiness.REMOVED);
        goOn(Duration.ofSeconds(10));
        assertEquals(MoveState.COMPLETED, over(id).state());
        assertEquals(List.of("c", "b"), layout().slice(0).nodes());
    }

    @Test
    void aSourceThatIsGoneBeforeItWasFencedEndsTheMove() {
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        assertEquals(MoveState.FENCED, until(id, MoveState.FENCED));
        silent.add("a");
        told.clear();
        readiness("a", Readiness.REMOVED);
        goOn(Duration.ofSeconds(10));
        assertEquals(MoveState.ABANDONED, over(id).state());
        assertEquals(List.of("a", "b"), layout().slice(0).nodes());
    }

    @Test
    void aMoveCanBeAbandonedInEachState() {
        for (MoveState state :
                List.of(
                        MoveState.PLANNED,
                        MoveState.COPYING,
                        MoveState.REPLICATING,
                        MoveState.FENCED,
                        MoveState.CUT_OVER)) {
            long version = layout().version;
            long id = plan(new LayoutChange.Split(layout().slices().get(0).number(), List.of(77L)));
            assertEquals(state, until(id, state));
            carryOut(coordinator.abandon(id, "asked", now), -1);
            assertThrows(
                    IllegalArgumentException.class, () -> coordinator.abandon(id, "again", now));
            goOn(Duration.ofSeconds(8));
            assertEquals(0, coordinator.state().activeMoves().size(), state.toString());
            assertEquals(4, layout().slices().size(), state + ": the old slices are in force");
            assertTrue(layout().version > version, state + ": under a higher version");
            assertEquals(
                    state == MoveState.CUT_OVER ? MoveState.COMPLETED : MoveState.ABANDONED,
                    over(id).state());
        }
    }

    /**
     * All cut points: dies right after each record of a run, and after each with what follows it
     * already told.
     */
    @Test
    void aCoordinatorKilledAtAnyRecordGoesOnOrAbandons() {
        List<LayoutChange> changes =
                List.of(
                        new LayoutChange.Split(0, List.of(100L)),
                        new LayoutChange.Transfer(2, "c", "a"),
                        new LayoutChange.Merge(List.of(4, 5)),
                        new LayoutChange.Transfer(2, "a", "c"));
        boolean died = true;
        int cuts = 0;
        for (int at = 1; died; at++) {
            CoordinatorTest run = new CoordinatorTest();
            died = false;
            for (LayoutChange change : changes) {
                List<CoordinatorAction> acts = run.coordinator.plan(change, run.now);
                for (int i = 0; i < 100; i++) {
                    int before = run.records.size();
                    if (!died && !run.carryOut(acts, at - run.records.size() + 1)) {
                        died = true;
                        cuts++;
                        run.restart();
                    } else if (died) {
                        run.carryOut(acts, -1);
                    }
                    assertTrue(run.records.size() >= before);
                    run.answer();
                    run.now = run.now.plusMillis(100);
                    acts = run.coordinator.tick(run.now);
                }
                run.carryOut(acts, -1);
                assertEquals(
                        0,
                        run.coordinator.state().activeMoves().size(),
                        "killed at record " + at + ", " + change);
            }
            assertEquals(4, run.layout().slices().size(), "killed at record " + at);
            assertEquals(
                    4,
                    run.records.stream().filter(JournalRecord.Planned.class::isInstance).count());
            long version = 0;
            for (Layout layout : run.published) {
                assertTrue(layout.version > version, "killed at record " + at + ": versions go up");
                version = layout.version;
            }
        }
        assertTrue(cuts > 15, "cut points: " + cuts);
    }

    @Test
    void aNodeThatComesBackIsToldWhatItServes() {
        goOn(Duration.ofSeconds(1));
        readiness("a", Readiness.REMOVED);
        goOn(Duration.ofSeconds(1));
        readiness("a", Readiness.READY);
        carryOut(coordinator.tick(now), -1);
        assertEquals(
                2,
                told.stream()
                        .filter(
                                tell ->
                                        tell.node().equals("a")
                                                && tell.command() == HandoffCommand.SERVE)
                        .count());
        goOn(Duration.ofSeconds(1));
        assertEquals(0, told.size());
    }

    @Test
    void slicesOfANodeThatIsDeadAreMendedIntoOtherZonesAndItDropsThemWhenItIsBack() {
        nodes.put("e", new TargetLayout.NodeInfo("z0", Readiness.READY));
        coordinator.onNodesListed(nodes, List.of());
        goOn(Duration.ofSeconds(1));
        readiness("a", Readiness.REMOVED);
        assertEquals(
                List.of(
                        new LayoutChange.Transfer(0, "a", "e"),
                        new LayoutChange.Transfer(3, "a", "e")),
                coordinator.repairs());
        plan(coordinator.repairs().get(0));
        goOn(Duration.ofSeconds(20));
        assertEquals(List.of("e", "b"), layout().slice(0).nodes());
        assertEquals(1, coordinator.state().pendingDrops().size());
        restart();
        readiness("a", Readiness.READY);
        carryOut(coordinator.tick(now), -1);
        assertEquals(
                List.of(0),
                told.stream()
                        .filter(
                                tell ->
                                        tell.node().equals("a")
                                                && tell.command() == HandoffCommand.DROP)
                        .map(CoordinatorAction.SendCommand::slice)
                        .toList());
        goOn(Duration.ofSeconds(2));
        assertEquals(0, coordinator.state().pendingDrops().size());
    }

    @Test
    void aNodeThatIsToHaveASliceAgainIsNotToldToDropItForWhatWasOnce() {
        readiness("a", Readiness.REMOVED);
        plan(new LayoutChange.Transfer(0, "a", "c"));
        goOn(Duration.ofSeconds(20));
        assertEquals(1, coordinator.state().pendingDrops().size());
        silent.add("a");
        readiness("a", Readiness.READY);
        plan(new LayoutChange.Transfer(0, "c", "a"));
        assertEquals(0, coordinator.state().pendingDrops().size());
        silent.clear();
        goOn(Duration.ofSeconds(20));
        assertEquals(List.of("a", "b"), layout().slice(0).nodes());
    }

    @Test
    void theFirstLayoutSpreadsOverZones() {
        nodes.put("e", new TargetLayout.NodeInfo("z0", Readiness.READY));
        nodes.put("f", new TargetLayout.NodeInfo("z2", Readiness.DRAINING));
        assertEquals(List.of("a", "b", "c", "d", "e"), SlicePlacement.spreadOverZones(nodes));
        nodes.put("b", new TargetLayout.NodeInfo("z0", Readiness.READY));
        assertEquals(List.of("a", "d", "b", "c", "e"), SlicePlacement.spreadOverZones(nodes));
    }

    @Test
    void aTargetIsReachedThoughMovesOnTheWayFail() {
        TargetLayout targetLayout =
                new TargetLayout(
                        List.of(
                                new TargetLayout.DesiredSlice(
                                        new KeyRange(0, KeyRange.KEY_SPACE_SIZE / 3),
                                        List.of("c", "d")),
                                new TargetLayout.DesiredSlice(
                                        new KeyRange(
                                                KeyRange.KEY_SPACE_SIZE / 3,
                                                KeyRange.KEY_SPACE_SIZE),
                                        List.of("a", "b"))));
        carryOut(coordinator.setTarget(targetLayout), -1);
        silent.add("d");
        goOn(Duration.ofSeconds(30));
        silent.clear();
        restart();
        goOn(Duration.ofSeconds(120));
        assertEquals(2, layout().slices().size());
        assertEquals(0, coordinator.state().activeMoves().size());
    }
}
