package postbeam.slices;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.Readiness;

/** Tests the handling of nodes that reappear, and of slices whose holders don't. */
class NodeReconciliationTest extends CoordinatorScenario {
    @Test
    void reappearedNodeIsSentServeForEachSlice() {
        runFor(Duration.ofSeconds(1));
        setReadiness("a", Readiness.REMOVED);
        runFor(Duration.ofSeconds(1));
        setReadiness("a", Readiness.READY);
        execute(coordinator.tick(now), -1);
        assertEquals(
                2,
                sentCommands.stream()
                        .filter(
                                command ->
                                        command.node().equals("a")
                                                && command.command() == HandoffCommand.SERVE)
                        .count());
        runFor(Duration.ofSeconds(1));
        assertEquals(0, sentCommands.size());
    }

    @Test
    void repairReplacesRemovedHolderWhichDropsSliceWhenItReappears() {
        nodes.put("e", new TargetLayout.NodeInfo("z0", Readiness.READY));
        coordinator.onNodesListed(nodes, List.of());
        runFor(Duration.ofSeconds(1));
        setReadiness("a", Readiness.REMOVED);
        assertEquals(
                List.of(
                        new LayoutChange.Transfer(0, "a", "e", true),
                        new LayoutChange.Transfer(3, "a", "e", true)),
                coordinator.repairs());
        plan(coordinator.repairs().get(0));
        runFor(Duration.ofSeconds(20));
        assertEquals(List.of("e", "b"), layout().slice(0).nodes());
        assertEquals(1, coordinator.state().pendingDrops().size());
        restart();
        setReadiness("a", Readiness.READY);
        execute(coordinator.tick(now), -1);
        assertEquals(
                List.of(0),
                sentCommands.stream()
                        .filter(
                                command ->
                                        command.node().equals("a")
                                                && command.command() == HandoffCommand.DROP)
                        .map(CoordinatorAction.SendCommand::slice)
                        .toList());
        runFor(Duration.ofSeconds(2));
        assertEquals(0, coordinator.state().pendingDrops().size());
    }

    @Test
    void pendingDropIsCancelledWhenNodeAcquiresSliceAgain() {
        setReadiness("a", Readiness.REMOVED);
        plan(new LayoutChange.Transfer(0, "a", "c", true));
        runFor(Duration.ofSeconds(20));
        assertEquals(1, coordinator.state().pendingDrops().size());
        unresponsiveNodes.add("a");
        setReadiness("a", Readiness.READY);
        plan(new LayoutChange.Transfer(0, "c", "a"));
        assertEquals(0, coordinator.state().pendingDrops().size());
        unresponsiveNodes.clear();
        runFor(Duration.ofSeconds(20));
        assertEquals(List.of("a", "b"), layout().slice(0).nodes());
    }

    /** Guards against a holder that stays fenced by a FENCE that arrived after the rollback. */
    @Test
    void slicesAreServedAgainAfterLateCommand() {
        long move = plan(new LayoutChange.Transfer(0, "a", "c"));
        advanceTo(move, MoveState.FENCED);
        execute(coordinator.abandon(move, "asked", now), -1);
        runFor(Duration.ofSeconds(3));
        assertEquals(MoveState.ABANDONED, finishedMove(move).state());
        runFor(Duration.ofSeconds(10));
        sentCommands.clear();
        coordinator.onLateCommand("a");
        execute(coordinator.tick(now), -1);
        assertEquals(
                List.of("a SERVE 0", "a SERVE 3"),
                sentCommands.stream()
                        .map(
                                command ->
                                        command.node()
                                                + " "
                                                + command.command()
                                                + " "
                                                + command.slice())
                        .toList());
    }

    /** Guards against a copy that is never deleted after a rollback. */
    @Test
    void destinationUnresponsiveWhileMoveIsAbandonedDropsItsCopyOnceItResponds() {
        long move = plan(new LayoutChange.Transfer(0, "a", "c"));
        advanceTo(move, MoveState.COPYING);
        unresponsiveNodes.add("c");
        runFor(Duration.ofSeconds(20));
        assertEquals(MoveState.ABANDONED, finishedMove(move).state());
        assertEquals(
                List.of("c"),
                coordinator.state().pendingDrops().stream().map(Move.OldHolder::node).toList());
        restart();
        unresponsiveNodes.clear();
        runFor(Duration.ofSeconds(3));
        assertEquals(0, coordinator.state().pendingDrops().size());
        assertEquals(List.of("a", "b"), layout().slice(0).nodes());
    }

    /** Moves slice 0 off a node that stops acknowledging commands once the move is cut over. */
    private void transferFromNodeThatStopsResponding(String from, String to) {
        long move = plan(new LayoutChange.Transfer(0, from, to));
        assertEquals(MoveState.CUT_OVER, advanceTo(move, MoveState.CUT_OVER));
        sentCommands.clear();
        unresponsiveNodes.add(from);
        runFor(Duration.ofSeconds(8));
    }

    /** Guards against a drop that is considered done by the acknowledgement of an earlier one. */
    @Test
    void lateAcknowledgementDoesNotCountForNextDrop() {
        transferFromNodeThatStopsResponding("a", "c");
        assertEquals(1, coordinator.state().pendingDrops().size());
        plan(new LayoutChange.Transfer(0, "c", "a"));
        assertEquals(0, coordinator.state().pendingDrops().size());
        coordinator.acknowledged(NodeReconciliation.NO_MOVE, "a", HandoffCommand.DROP, 0);
        unresponsiveNodes.clear();
        runFor(Duration.ofSeconds(20));
        assertEquals(List.of("a", "b"), layout().slice(0).nodes());
        transferFromNodeThatStopsResponding("a", "c");
        assertEquals(1, coordinator.state().pendingDrops().size(), "the second drop is pending");
    }
}
