package postbeam.slices;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.Readiness;

/** Tests how moves go through their states, and when they may start. */
class CoordinatorMoveTest extends CoordinatorScenario {
    @Test
    void moveSendsCommandsInOrderAndFencesBeforeCutOver() {
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        List<HandoffCommand> commands = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            execute(coordinator.tick(now), -1);
            sentCommands.stream()
                    .filter(command -> command.move() == id)
                    .forEach(command -> commands.add(command.command()));
            acknowledgeCommands();
        }
        assertEquals(
                List.of(
                        HandoffCommand.COPY,
                        HandoffCommand.HOLD,
                        HandoffCommand.FENCE,
                        HandoffCommand.SERVE,
                        HandoffCommand.DROP),
                commands);
        assertEquals(MoveState.COMPLETED, finishedMove(id).state());
        assertEquals(List.of("c", "b"), layout().slice(0).nodes());
        assertEquals(1, published.size());
    }

    @Test
    void splitAndMergeCompleteLikeTransfers() {
        plan(new LayoutChange.Split(0, List.of(50L, 100L)));
        runFor(Duration.ofSeconds(3));
        assertEquals(6, layout().slices().size());
        plan(new LayoutChange.Merge(List.of(4, 5, 6)));
        runFor(Duration.ofSeconds(3));
        assertEquals(4, layout().slices().size());
        assertEquals(KeyRange.KEY_SPACE_SIZE / 4, layout().slice(7).keys().size());
    }

    @Test
    void moveOverNodeLimitWaitsUntilOtherMoveCompletes() {
        // Both moves need the nodes a and c, and a node may take part in one move at a time.
        long first = plan(new LayoutChange.Transfer(0, "a", "c"));
        long second = plan(new LayoutChange.Transfer(1, "c", "a"));
        unresponsiveNodes.add("c");
        runFor(Duration.ofSeconds(1));
        assertEquals(MoveState.COPYING, coordinator.state().move(first).state());
        assertEquals(MoveState.PLANNED, coordinator.state().move(second).state());
        unresponsiveNodes.clear();
        runFor(Duration.ofSeconds(4));
        assertEquals(MoveState.COMPLETED, finishedMove(second).state());
    }

    @Test
    void moveWaitsWhileSourceDrainsOrDestinationCoolsDown() {
        setReadiness("a", Readiness.DRAINING);
        setReadiness("b", Readiness.DRAINING);
        long whileDraining = plan(new LayoutChange.Transfer(0, "a", "c"));
        runFor(Duration.ofSeconds(3));
        assertEquals(MoveState.PLANNED, coordinator.state().move(whileDraining).state());
        setReadiness("a", Readiness.READY);
        setReadiness("b", Readiness.READY);
        runFor(Duration.ofSeconds(3));
        assertEquals(MoveState.COMPLETED, finishedMove(whileDraining).state());
        // After the next move, node a has just acquired a slice and gets no other during the
        // cooldown.
        long first = plan(new LayoutChange.Transfer(0, "c", "a"));
        runFor(Duration.ofSeconds(1));
        assertEquals(MoveState.COMPLETED, finishedMove(first).state());
        long duringCooldown = plan(new LayoutChange.Transfer(1, "c", "a"));
        runFor(Duration.ofMillis(200));
        assertEquals(MoveState.PLANNED, coordinator.state().move(duringCooldown).state());
        runFor(Duration.ofSeconds(4));
        assertEquals(MoveState.COMPLETED, finishedMove(duringCooldown).state());
    }

    @Test
    void moveCopiesFromReadyHolderInsteadOfDrainingOne() {
        setReadiness("a", Readiness.DRAINING);
        long id = plan(new LayoutChange.Transfer(0, "a", "c"));
        assertEquals(
                List.of("b"),
                coordinator.state().move(id).destinations.stream()
                        .map(Move.Destination::source)
                        .toList());
        runFor(Duration.ofSeconds(3));
        assertEquals(MoveState.COMPLETED, finishedMove(id).state());
    }

    @Test
    void targetIsReachedDespiteFailedMovesAndRestart() {
        TargetLayout target =
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
        execute(coordinator.setTarget(target), -1);
        unresponsiveNodes.add("d");
        runFor(Duration.ofSeconds(30));
        unresponsiveNodes.clear();
        restart();
        runFor(Duration.ofMinutes(2));
        assertEquals(2, layout().slices().size());
        assertEquals(0, coordinator.state().activeMoves().size());
    }
}
