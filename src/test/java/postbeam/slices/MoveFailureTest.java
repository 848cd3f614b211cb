package postbeam.slices;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.Readiness;

/** Moves whose nodes fail, that are abandoned, or whose coordinator dies. */
class MoveFailureTest extends CoordinatorScenario {
    @Test
    void aStuckCopyIsAbandonedAfterItsTime() {
        silentNodes.add("c");
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        runFor(Duration.ofSeconds(9));
        assertEquals(MoveState.COPYING, coordinator.state().move(id).state());
        runFor(Duration.ofSeconds(10));
        assertEquals(MoveState.ABANDONED, finishedMove(id).state());
        assertEquals("the copy is stuck", finishedMove(id).abandonReason());
        assertEquals(2, layout().version);
        assertEquals(List.of("a", "b"), layout().slice(0).nodes());
    }

    @Test
    void aDestinationThatDiesWhileReplicatingEndsTheMove() {
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        assertEquals(MoveState.REPLICATING, advanceTo(id, MoveState.REPLICATING));
        silentNodes.add("c");
        setReadiness("c", Readiness.REMOVED);
        runFor(Duration.ofSeconds(10));
        assertEquals(MoveState.ABANDONED, finishedMove(id).state());
        assertEquals(List.of("a", "b"), layout().slice(0).nodes());
    }

    @Test
    void aSourceThatDiesOnceItIsFencedIsNotNeededAnyMore() {
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        assertEquals(MoveState.FENCED, advanceTo(id, MoveState.FENCED));
        acknowledgeCommands();
        silentNodes.add("a");
        setReadiness("a", Readiness.REMOVED);
        runFor(Duration.ofSeconds(10));
        assertEquals(MoveState.COMPLETED, finishedMove(id).state());
        assertEquals(List.of("c", "b"), layout().slice(0).nodes());
    }

    @Test
    void aSourceThatIsGoneBeforeItWasFencedEndsTheMove() {
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        assertEquals(MoveState.FENCED, advanceTo(id, MoveState.FENCED));
        silentNodes.add("a");
        sentCommands.clear();
        setReadiness("a", Readiness.REMOVED);
        runFor(Duration.ofSeconds(10));
        assertEquals(MoveState.ABANDONED, finishedMove(id).state());
        assertEquals(List.of("a", "b"), layout().slice(0).nodes());
    }

    /** Guards against a cut-over while a holder that only drained is cut off and unfenced. */
    @Test
    void aDrainingHolderThatGoesBeforeItWasFencedEndsTheMove() {
        setReadiness("a", Readiness.DRAINING);
        long move = plan(new LayoutChange.Transfer(0, "a", "c"));
        silentNodes.add("a");
        advanceTo(move, MoveState.FENCED);
        setReadiness("a", Readiness.REMOVED);
        runFor(Duration.ofSeconds(20));
        assertEquals(MoveState.ABANDONED, finishedMove(move).state());
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
            assertEquals(state, advanceTo(id, state));
            execute(coordinator.abandon(id, "asked", now), -1);
            assertThrows(
                    IllegalArgumentException.class, () -> coordinator.abandon(id, "again", now));
            runFor(Duration.ofSeconds(8));
            assertEquals(0, coordinator.state().activeMoves().size(), state.toString());
            assertEquals(4, layout().slices().size(), state + ": the old slices are in force");
            assertTrue(layout().version > version, state + ": under a higher version");
            assertEquals(
                    state == MoveState.CUT_OVER ? MoveState.COMPLETED : MoveState.ABANDONED,
                    finishedMove(id).state());
        }
    }

    /**
     * All cut points: dies right after each record of a run, and after each with what follows it
     * already sent.
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
            CoordinatorScenario run = new CoordinatorScenario();
            died = false;
            for (LayoutChange change : changes) {
                List<CoordinatorAction> actions = run.coordinator.plan(change, run.now);
                for (int i = 0; i < 100; i++) {
                    int before = run.records.size();
                    if (!died && !run.execute(actions, at - run.records.size() + 1)) {
                        died = true;
                        cuts++;
                        run.restart();
                    } else if (died) {
                        run.execute(actions, -1);
                    }
                    assertTrue(run.records.size() >= before);
                    run.acknowledgeCommands();
                    run.now = run.now.plusMillis(100);
                    actions = run.coordinator.tick(run.now);
                }
                run.execute(actions, -1);
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
}
