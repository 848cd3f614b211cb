package postbeam.slices;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides whether a planned move may start, by the number of moves under way in total, per node and
 * per zone, and by the readiness of its nodes.
 */
final class StartLimits {
    private final MoveJournalState state;
    private final MoveLimits limits;
    private final NodeStates nodes;
    private final MoveApproval approval;

    StartLimits(
            MoveJournalState state, MoveLimits limits, NodeStates nodes, MoveApproval approval) {
        this.state = state;
        this.limits = limits;
        this.nodes = nodes;
        this.approval = approval;
    }

    boolean mayStart(Move move, Duration now) {
        return isWithinLimits(move)
                && move.destinations.stream()
                        .allMatch(destination -> areNodesReady(destination, now));
    }

    private boolean isWithinLimits(Move move) {
        int total = 0;
        Map<String, Integer> byNode = new HashMap<>();
        Map<String, Integer> byZone = new HashMap<>();
        for (Move other : state.activeMoves()) {
            if (other.state() != MoveState.PLANNED && !approval.isAwaitingApproval(other)) {
                total++;
                other.requiredNodes().forEach(node -> byNode.merge(node, 1, Integer::sum));
                zones(other).forEach(zone -> byZone.merge(zone, 1, Integer::sum));
            }
        }
        return total < limits.maxMoves()
                && move.requiredNodes().stream()
                        .allMatch(node -> byNode.getOrDefault(node, 0) < limits.maxMovesPerNode())
                && zones(move).stream()
                        .allMatch(zone -> byZone.getOrDefault(zone, 0) < limits.maxMovesPerZone());
    }

    private List<String> zones(Move move) {
        return move.requiredNodes().stream()
                .map(nodes::find)
                .flatMap(Optional::stream)
                .map(TargetLayout.NodeInfo::zone)
                .distinct()
                .toList();
    }

    private boolean areNodesReady(Move.Destination destination, Duration now) {
        boolean reusesLocalData = destination.node().equals(destination.source());
        return nodes.isReady(destination.source())
                && nodes.isReady(destination.node())
                && (reusesLocalData || hasCooledDown(destination.node(), now));
    }

    /**
     * Whether the cooldown since the node last acquired a slice is over. It keeps a node that still
     * warms up from getting one slice after another.
     */
    private boolean hasCooledDown(String node, Duration now) {
        for (Slice slice : state.layout().slices()) {
            for (Holder holder : slice.holders()) {
                if (holder.node().equals(node)
                        && now.minus(holder.acquiredAt()).compareTo(limits.nodeCooldown()) < 0) {
                    return false;
                }
            }
        }
        return true;
    }
}
