package postbeam.slices;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Takes the steps of a move: from {@link MoveState#PLANNED} through copying, replicating, fencing
 * and cut-over to {@link MoveState#COMPLETED}, or back to the old layout. The commands follow from
 * the journaled state of the move, so a restarted coordinator continues where it stopped.
 */
final class MoveStateMachine {
    private final MoveJournalState state;
    private final MoveLimits limits;
    private final NodeStates nodes;
    private final MoveCommands commands;
    private final MoveApproval approval;
    private final ChangePlanner planner;
    private final StartLimits startLimits;

    MoveStateMachine(
            MoveJournalState state,
            MoveLimits limits,
            NodeStates nodes,
            MoveCommands commands,
            MoveApproval approval,
            ChangePlanner planner) {
        this.state = state;
        this.limits = limits;
        this.nodes = nodes;
        this.commands = commands;
        this.approval = approval;
        this.planner = planner;
        this.startLimits = new StartLimits(state, limits, nodes, approval);
    }

    /** Takes all steps that the move can take now. */
    void advance(ActionList actions, Move move) {
        MoveState before;
        do {
            before = move.state();
            step(actions, move);
        } while (move.state() != before && !move.state().isFinal());
    }

    private void step(ActionList actions, Move move) {
        switch (move.state()) {
            case PLANNED -> start(actions, move);
            case COPYING -> copy(actions, move);
            case REPLICATING -> replicate(actions, move);
            case FENCED -> fenceAndCutOver(actions, move);
            case CUT_OVER -> dropOldCopies(actions, move);
            case ABANDONING -> rollBack(actions, move);
            default -> {
                // The move is finished, so no further step follows.
            }
        }
    }

    // ---- forward

    private void start(ActionList actions, Move move) {
        Optional<String> gone = goneNode(move);
        if (gone.isPresent()) {
            abandon(actions, move, goneReason(gone.get()));
        } else if (startLimits.mayStart(move, actions.now())
                && approval.permits(move, MoveState.COPYING)) {
            enter(actions, move, MoveState.COPYING);
        }
    }

    private void copy(ActionList actions, Move move) {
        Optional<String> gone = goneNode(move);
        if (isLate(actions, move)) {
            abandon(
                    actions,
                    move,
                    "the copy is stuck: not complete within "
                            + limits.copyTimeout().toMillis()
                            + " ms");
        } else if (gone.isPresent()) {
            abandon(actions, move, goneReason(gone.get()));
        } else if (approval.permits(move, MoveState.REPLICATING)
                && commands.sendToDestinations(actions, move, HandoffCommand.COPY)) {
            enter(actions, move, MoveState.REPLICATING);
        }
    }

    private void replicate(ActionList actions, Move move) {
        Optional<String> gone = goneNode(move);
        if (isLate(actions, move)) {
            abandon(
                    actions,
                    move,
                    "not all destinations acknowledged HOLD within "
                            + limits.stepTimeout().toMillis()
                            + " ms");
        } else if (gone.isPresent()) {
            abandon(actions, move, goneReason(gone.get()));
        } else if (commands.sendToDestinations(actions, move, HandoffCommand.HOLD)
                && approval.permits(move, MoveState.FENCED)) {
            enter(actions, move, MoveState.FENCED);
        }
    }

    /**
     * Fences the old holders first, then lets the destinations serve, then cuts over: at no time do
     * nodes accept calls of both layout versions for the slice. An old holder that is no longer
     * listed after it was fenced does not stop the move, nor one that an operator stated to be dead
     * while it is not listed.
     */
    private void fenceAndCutOver(ActionList actions, Move move) {
        boolean fenced = true;
        for (Move.OldHolder holder : move.oldHolders) {
            boolean acknowledged = commands.send(actions, move, HandoffCommand.FENCE, holder);
            boolean dead = move.isStatedDead(holder.node()) && nodes.isUnlisted(holder.node());
            if (!acknowledged && !dead && nodes.isGone(holder.node())) {
                abandon(actions, move, goneReason(holder.node()) + " before it was fenced");
                return;
            }
            fenced &= acknowledged || dead;
        }
        Optional<String> gone =
                move.destinations.stream()
                        .map(Move.Destination::node)
                        .filter(nodes::isGone)
                        .findFirst();
        if (isLate(actions, move)) {
            abandon(
                    actions,
                    move,
                    (fenced
                                    ? "not all destinations acknowledged SERVE within "
                                    : "not all old holders acknowledged FENCE within ")
                            + limits.stepTimeout().toMillis()
                            + " ms");
        } else if (gone.isPresent()) {
            abandon(actions, move, goneReason(gone.get()));
        } else if (fenced && commands.sendToDestinations(actions, move, HandoffCommand.SERVE)) {
            actions.append(new JournalRecord.CutOver(move.id, state.nextVersion(), actions.now()));
            actions.publishLayout();
        }
    }

    /** Has the old holders drop their data, and completes the move. */
    private void dropOldCopies(ActionList actions, Move move) {
        if (move.reverseWhenDone() && move.change instanceof LayoutChange.Transfer) {
            // The reverse move needs the data of the old holders: it copies onto it and cancels the
            // pending drop.
            move.oldHolders.forEach(
                    holder -> actions.append(new JournalRecord.PendingDrop(holder, true)));
            complete(actions, move);
        } else if (approval.permits(move, MoveState.COMPLETED)
                && (commands.sendToOldHolders(actions, move, HandoffCommand.DROP)
                        || isLate(actions, move))) {
            // An old holder that does not acknowledge DROP drops its data when it is listed again;
            // until then it is fenced and accepts no calls.
            appendPendingDrops(actions, move, move.oldHolders);
            complete(actions, move);
        }
    }

    /** Records a pending drop for each holder that has not acknowledged DROP yet. */
    private void appendPendingDrops(
            ActionList actions, Move move, List<Move.OldHolder> droppingHolders) {
        for (Move.OldHolder holder : droppingHolders) {
            if (!commands.isAcknowledged(
                    move, HandoffCommand.DROP, holder.node(), holder.slice())) {
                actions.append(new JournalRecord.PendingDrop(holder, true));
            }
        }
    }

    private void complete(ActionList actions, Move move) {
        enter(actions, move, MoveState.COMPLETED);
        if (move.reverseWhenDone()) {
            LayoutChange reverse = reverse(move);
            if (planner.rejectionReason(reverse).isEmpty()) {
                planner.plan(actions, reverse);
            }
        }
    }

    // ---- rollback and reverse

    private void rollBack(ActionList actions, Move move) {
        boolean dropped =
                commands.sendToDestinations(actions, move, HandoffCommand.DROP)
                        || isLate(actions, move);
        // Old holders must acknowledge SERVE: one that stayed fenced would be a listed holder that
        // accepts no calls.
        boolean served =
                !move.mayBeFenced()
                        || commands.sendToOldHolders(actions, move, HandoffCommand.SERVE);
        if (served && dropped) {
            // A destination that does not acknowledge DROP drops its copy when it is listed again.
            appendPendingDrops(
                    actions,
                    move,
                    move.destinations.stream()
                            .map(
                                    destination ->
                                            new Move.OldHolder(
                                                    destination.node(),
                                                    destination.slice(),
                                                    destination.keys()))
                            .toList());
            actions.append(
                    new JournalRecord.RolledBack(move.id, state.nextVersion(), actions.now()));
            actions.publishLayout();
        }
    }

    private static LayoutChange reverse(Move move) {
        if (move.change instanceof LayoutChange.Transfer transfer) {
            return new LayoutChange.Transfer(transfer.slice(), transfer.to(), transfer.from());
        }
        if (move.change instanceof LayoutChange.Split) {
            return new LayoutChange.Merge(move.newSlices);
        }
        return new LayoutChange.Split(move.newSlices.get(0), mergeBoundaries(move));
    }

    /** The boundaries between the slices that a merge joined. */
    private static List<Long> mergeBoundaries(Move merge) {
        String node = merge.oldHolders.get(0).node();
        return merge.oldHolders.stream()
                .filter(holder -> holder.node().equals(node))
                .skip(1)
                .map(holder -> holder.keys().from())
                .toList();
    }

    // ---- shared by the steps

    private void enter(ActionList actions, Move move, MoveState next) {
        actions.append(new JournalRecord.Advanced(move.id, next, actions.now()));
    }

    /**
     * Starts the rollback of a move or, if it is cut over already, marks it to be reversed once it
     * is completed.
     */
    void abandon(ActionList actions, Move move, String reason) {
        actions.append(new JournalRecord.AbandonRequested(move.id, reason, actions.now()));
    }

    private static String goneReason(String node) {
        return "node " + node + " is gone";
    }

    /** Whether the move has exceeded the timeout of its current state. */
    private boolean isLate(ActionList actions, Move move) {
        boolean copying = move.state() == MoveState.COPYING;
        Duration timeout = copying ? limits.copyTimeout() : limits.stepTimeout();
        if (actions.now().minus(move.stateSince()).compareTo(timeout) <= 0) {
            return false;
        }
        boolean needsCopy = copying || move.state() == MoveState.REPLICATING;
        return !needsCopy || approval.copyTimeoutApplies(move);
    }

    /**
     * A destination or source that is no longer listed. Old holders are not considered: a move that
     * copies from another node can replace an old holder that is no longer listed.
     */
    private Optional<String> goneNode(Move move) {
        for (Move.Destination destination : move.destinations) {
            if (nodes.isGone(destination.node())) {
                return Optional.of(destination.node());
            }
            if (nodes.isGone(destination.source())) {
                return Optional.of(destination.source());
            }
        }
        return Optional.empty();
    }
}
