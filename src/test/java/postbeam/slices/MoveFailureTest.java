package postbeam.slices;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.Readiness;

/** Tests moves whose nodes fail, that are abandoned, or whose coordinator crashes. */
class MoveFailureTest extends CoordinatorScenario {
    @Test
    void copyWithoutAcknowledgementIsAbandonedAfterCopyTimeout() {
        unresponsiveNodes.add("c");
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        runFor(Duration.ofSeconds(9));
        assertEquals(MoveState.COPYING, coordinator.state().move(id).state());
        runFor(Duration.ofSeconds(10));
        assertEquals(MoveState.ABANDONED, finishedMove(id).state());
        assertEquals(
                "the copy is stuck: not complete within 10000 ms",
                finishedMove(id).abandonReason());
        assertEquals(2, layout().version);
        assertEquals(List.of("a", "b"), layout().slice(0).nodes());
    }

    @Test
    void moveIsAbandonedWhenDestinationIsRemovedWhileReplicating() {
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        assertEquals(MoveState.REPLICATING, advanceTo(id, MoveState.REPLICATING));
        unresponsiveNodes.add("c");
        setReadiness("c", Readiness.REMOVED);
        runFor(Duration.ofSeconds(10));
        assertEquals(MoveState.ABANDONED, finishedMove(id).state());
        assertEquals(List.of("a", "b"), layout().slice(0).nodes());
    }

    @Test
    void moveCompletesWhenSourceIsRemovedAfterFencing() {
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        assertEquals(MoveState.FENCED, advanceTo(id, MoveState.FENCED));
        acknowledgeCommands();
        unresponsiveNodes.add("a");
        setReadiness("a", Readiness.REMOVED);
        runFor(Duration.ofSeconds(10));
        assertEquals(MoveState.COMPLETED, finishedMove(id).state());
        assertEquals(List.of("c", "b"), layout().slice(0).nodes());
    }

    @Test
    void moveIsAbandonedWhenSourceIsRemovedBeforeFencing() {
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        assertEquals(MoveState.FENCED, advanceTo(id, MoveState.FENCED));
        unresponsiveNodes.add("a");
        sentCommands.clear();
        setReadiness("a", Readiness.REMOVED);
        runFor(Duration.ofSeconds(10));
        assertEquals(MoveState.ABANDONED, finishedMove(id).state());
        assertEquals(List.of("a", "b"), layout().slice(0).nodes());
    }

    /**
     * Guards against a cut-over without fencing: a draining holder that is no longer listed may be
     * merely unreachable from the coordinator, and still accept calls.
     */
    @Test
    void moveIsAbandonedWhenDrainingHolderIsRemovedBeforeFencing() {
        setReadiness("a", Readiness.DRAINING);
        long move = plan(new LayoutChange.Transfer(0, "a", "c"));
        unresponsiveNodes.add("a");
        advanceTo(move, MoveState.FENCED);
        setReadiness("a", Readiness.REMOVED);
        runFor(Duration.ofSeconds(20));
        assertEquals(MoveState.ABANDONED, finishedMove(move).state());
        assertEquals(List.of("a", "b"), layout().slice(0).nodes());
    }

    /** A holder that returns before the cut-over may have accepted calls, so it must be fenced. */
    @Test
    void holderStatedDeadThatIsListedAgainMustBeFenced() {
        setReadiness("a", Readiness.REMOVED);
        long move = plan(new LayoutChange.Transfer(0, "a", "c", true));
        unresponsiveNodes.addAll(List.of("a", "c"));
        runFor(Duration.ofSeconds(1));
        setReadiness("a", Readiness.DRAINING);
        unresponsiveNodes.remove("c");
        advanceTo(move, MoveState.FENCED);
        runFor(Duration.ofSeconds(2));
        assertEquals(MoveState.FENCED, coordinator.state().move(move).state());
        unresponsiveNodes.clear();
        runFor(Duration.ofSeconds(3));
        assertEquals(MoveState.COMPLETED, finishedMove(move).state());
        assertEquals(List.of("c", "b"), layout().slice(0).nodes());
    }

    /** After a restart the coordinator has never seen the dead holder listed. */
    @Test
    void moveOffHolderStatedDeadCompletesAfterRestartOfCoordinator() {
        setReadiness("a", Readiness.REMOVED);
        unresponsiveNodes.add("a");
        long move = plan(new LayoutChange.Transfer(0, "a", "c", true));
        nodes.remove("a");
        restart();
        runFor(Duration.ofSeconds(10));
        assertEquals(MoveState.COMPLETED, finishedMove(move).state());
        assertEquals(List.of("c", "b"), layout().slice(0).nodes());
    }

    /** Guards against a cut-over without fencing that no operator asked for. */
    @Test
    void targetMovesNoSliceOffHolderThatIsNotListed() {
        setReadiness("a", Readiness.REMOVED);
        unresponsiveNodes.add("a");
        List<TargetLayout.DesiredSlice> desired =
                layout().slices().stream()
                        .map(
                                slice ->
                                        new TargetLayout.DesiredSlice(
                                                slice.keys(), List.of("c", "b")))
                        .toList();
        execute(coordinator.setTarget(new TargetLayout(desired)), -1);
        runFor(Duration.ofSeconds(60));
        assertTrue(layout().slice(0).heldBy("a"), layout().slice(0).toString());
        plan(new LayoutChange.Transfer(0, "a", "c", true));
        runFor(Duration.ofSeconds(20));
        assertEquals(List.of("c", "b"), layout().slice(0).nodes());
    }

    @Test
    void moveCanBeAbandonedInEachState() {
        for (MoveState state :
                List.of(
                        MoveState.PLANNED,
                        MoveState.COPYING,
                        MoveState.REPLICATING,
                        MoveState.FENCED,
                        MoveState.CUT_OVER)) {
            long version = layout().version;
            long id = plan(new LayoutChange.Split(layout().slices().get(0).number(), List.of(77L)));
            assertEquals(state, advanceTo(id, state));
            execute(coordinator.abandon(id, "asked", now), -1);
            assertThrows(
                    IllegalArgumentException.class, () -> coordinator.abandon(id, "again", now));
            runFor(Duration.ofSeconds(8));
            assertEquals(0, coordinator.state().activeMoves().size(), state.toString());
            assertEquals(4, layout().slices().size(), state + ": as many slices as before");
            assertTrue(layout().version > version, state + ": the layout version increases");
            assertEquals(
                    state == MoveState.CUT_OVER ? MoveState.COMPLETED : MoveState.ABANDONED,
                    finishedMove(id).state());
        }
    }

    /**
     * Repeats a move and crashes the coordinator after a different record each time, so that the
     * actions between two records are lost in one run and executed in the next.
     */
    @Test
    void coordinatorRestartedAfterAnyRecordFinishesAllMoves() {
        List<LayoutChange> changes =
                List.of(
                        new LayoutChange.Split(0, List.of(100L)),
                        new LayoutChange.Transfer(2, "c", "a"),
                        new LayoutChange.Merge(List.of(4, 5)),
                        new LayoutChange.Transfer(2, "a", "c"));
        boolean restarted = true;
        int restarts = 0;
        for (int crashRecord = 1; restarted; crashRecord++) {
            CoordinatorScenario scenario = new CoordinatorScenario();
            restarted = false;
            for (LayoutChange change : changes) {
                List<CoordinatorAction> actions = scenario.coordinator.plan(change, scenario.now);
                for (int i = 0; i < 100; i++) {
                    int before = scenario.records.size();
                    if (!restarted
                            && !scenario.execute(
                                    actions, crashRecord - scenario.records.size() + 1)) {
                        restarted = true;
                        restarts++;
                        scenario.restart();
                    } else if (restarted) {
                        scenario.execute(actions, -1);
                    }
                    assertTrue(scenario.records.size() >= before);
                    scenario.acknowledgeCommands();
                    scenario.now = scenario.now.plusMillis(100);
                    actions = scenario.coordinator.tick(scenario.now);
                }
                scenario.execute(actions, -1);
                assertEquals(
                        0,
                        scenario.coordinator.state().activeMoves().size(),
                        "killed at record " + crashRecord + ", " + change);
            }
            assertEquals(4, scenario.layout().slices().size(), "killed at record " + crashRecord);
            assertEquals(
                    4,
                    scenario.records.stream()
                            .filter(JournalRecord.Planned.class::isInstance)
                            .count());
            long version = 0;
            for (Layout layout : scenario.published) {
                assertTrue(
                        layout.version > version,
                        "killed at record " + crashRecord + ": versions increase");
                version = layout.version;
            }
        }
        assertTrue(restarts > 15, "restarts: " + restarts);
    }
}
