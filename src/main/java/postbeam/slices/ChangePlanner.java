package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import postbeam.model.Readiness;

/** Checks whether a layout change can be made now, and plans it. */
final class ChangePlanner {
    /** Number of earlier versions that a layout keeps if it is only computed to check a change. */
    private static final long DRY_RUN_HISTORY = 1;

    private final MoveJournalState state;
    private final MoveLimits limits;
    private final NodeStates nodes;
    private final MoveApproval approval;

    ChangePlanner(
            MoveJournalState state, MoveLimits limits, NodeStates nodes, MoveApproval approval) {
        this.state = state;
        this.limits = limits;
        this.nodes = nodes;
        this.approval = approval;
    }

    /**
     * Plans a change.
     *
     * @throws IllegalArgumentException if the change can't be planned now; the state is unchanged
     *     then
     */
    void plan(ActionList actions, LayoutChange change) {
        rejectionReason(change)
                .ifPresent(
                        reason -> {
                            throw new IllegalArgumentException(reason);
                        });
        String source =
                change instanceof LayoutChange.Transfer transfer && transfer.to() != null
                        ? copySource(transfer).orElse(null)
                        : null;
        actions.append(
                new JournalRecord.Planned(
                        state.nextMove(), change, newSliceNumbers(change), source, actions.now()));
    }

    private List<Integer> newSliceNumbers(LayoutChange change) {
        return IntStream.range(0, change.newSliceCount())
                .mapToObj(i -> state.nextSlice() + i)
                .toList();
    }

    /** The reason why the change can't be planned now, in one line; empty if it can. */
    Optional<String> rejectionReason(LayoutChange change) {
        Optional<String> conflict =
                sliceConflict(change).or(() -> approval.reservationConflict(change));
        if (conflict.isPresent()) {
            return conflict;
        }
        Layout changed;
        try {
            changed =
                    state.layout()
                            .withChange(
                                    change,
                                    newSliceNumbers(change),
                                    state.nextVersion(),
                                    Duration.ZERO,
                                    DRY_RUN_HISTORY);
        } catch (IllegalArgumentException e) {
            return Optional.of(e.getMessage());
        }
        return change instanceof LayoutChange.Transfer transfer
                ? transferProblem(transfer, changed)
                : goneHolderProblem(change.slices().get(0));
    }

    private Optional<String> sliceConflict(LayoutChange change) {
        for (int number : change.slices()) {
            if (state.layout().slice(number) == null) {
                return Optional.of("there is no slice " + number);
            }
            if (state.isBusy(number)) {
                return Optional.of("slice " + number + " is moving already");
            }
        }
        return Optional.empty();
    }

    private Optional<String> transferProblem(LayoutChange.Transfer transfer, Layout changed) {
        Optional<String> problem =
                transfer.to() == null ? Optional.empty() : destinationProblem(transfer);
        return problem.or(() -> oldHolderProblem(transfer))
                .or(
                        () ->
                                replicationProblem(
                                        state.layout().slice(transfer.slice()),
                                        changed.slice(transfer.slice())));
    }

    private Optional<String> destinationProblem(LayoutChange.Transfer transfer) {
        Readiness readiness =
                nodes.find(transfer.to())
                        .map(TargetLayout.NodeInfo::readiness)
                        .orElse(Readiness.REMOVED);
        if (readiness == Readiness.REMOVED) {
            return Optional.of("there is no node " + transfer.to());
        }
        if (readiness == Readiness.DRAINING) {
            return Optional.of("node " + transfer.to() + " is draining");
        }
        return copySource(transfer).isPresent()
                ? Optional.empty()
                : Optional.of("slice " + transfer.slice() + " has no holder left to copy from");
    }

    /**
     * A holder that is not listed can't be fenced, but may be cut off from the coordinator alone
     * and still accept calls. Only an operator can know that it is dead.
     */
    private Optional<String> oldHolderProblem(LayoutChange.Transfer transfer) {
        String from = transfer.from();
        if (from == null) {
            return Optional.empty();
        }
        if (nodes.isGone(from) && !transfer.fromIsDead()) {
            return Optional.of(
                    "holder "
                            + from
                            + " of slice "
                            + transfer.slice()
                            + " is no longer listed by discovery and can't be fenced: if it is only"
                            + " cut off it still accepts calls, and what they write is lost; if it"
                            + " is dead, start the move with \"dead\": true");
        }
        if (transfer.fromIsDead() && !nodes.isUnlisted(from)) {
            return Optional.of(
                    "holder "
                            + from
                            + " of slice "
                            + transfer.slice()
                            + " is listed by discovery: start the move without \"dead\"");
        }
        return Optional.empty();
    }

    /**
     * A split or merge is planned only if no holder of the slice has been removed from the node
     * list, since each holder registers its data under the new slice numbers.
     */
    private Optional<String> goneHolderProblem(int slice) {
        return state.layout().slice(slice).nodes().stream()
                .filter(nodes::isGone)
                .findFirst()
                .map(
                        node ->
                                "holder "
                                        + node
                                        + " of slice "
                                        + slice
                                        + " is no longer listed by discovery: move the slice off it"
                                        + " first");
    }

    /**
     * The node to copy a slice from: the holder that the transfer removes if that one is ready,
     * else another ready holder, else any listed holder; empty if no holder is listed.
     */
    private Optional<String> copySource(LayoutChange.Transfer transfer) {
        if (transfer.from() != null && nodes.isReady(transfer.from())) {
            return Optional.of(transfer.from());
        }
        List<String> holders = state.layout().slice(transfer.slice()).nodes();
        return holders.stream()
                .filter(nodes::isReady)
                .findFirst()
                .or(() -> holders.stream().filter(node -> !nodes.isGone(node)).findFirst());
    }

    /**
     * A transfer may not take a slice below the minimum number of holders or zones. A slice that is
     * below it already may not lose further holders or zones.
     */
    private Optional<String> replicationProblem(Slice before, Slice after) {
        List<String> oldHolders = listedHolders(before);
        List<String> newHolders = listedHolders(after);
        if (newHolders.size() < limits.minHolders() && newHolders.size() < oldHolders.size()) {
            return Optional.of(
                    "slice "
                            + after.number()
                            + ": "
                            + newHolders.size()
                            + " holders, at least "
                            + limits.minHolders()
                            + " are needed");
        }
        long newZones = zoneCount(newHolders);
        if (newZones < limits.minZones() && newZones < zoneCount(oldHolders)) {
            return Optional.of(
                    "slice "
                            + after.number()
                            + ": holders in "
                            + newZones
                            + " zones, at least "
                            + limits.minZones()
                            + " are needed");
        }
        return Optional.empty();
    }

    private List<String> listedHolders(Slice slice) {
        return slice.nodes().stream().filter(node -> !nodes.isGone(node)).toList();
    }

    private long zoneCount(List<String> holders) {
        return holders.stream().map(nodes::zone).distinct().count();
    }

    /**
     * Transfers that replace holders whose nodes are no longer listed, without those that can't be
     * planned now. At most twice as many are returned as moves may run at once.
     */
    List<LayoutChange> repairs() {
        List<LayoutChange> repairs =
                new ArrayList<>(
                        SlicePlacement.repairs(
                                state.layout(),
                                nodes.all(),
                                nodes.gone(),
                                state.busySlices(),
                                2 * limits.maxMoves()));
        repairs.removeIf(change -> rejectionReason(change).isPresent());
        return repairs;
    }
}
