package postbeam.slices;

import java.time.Duration;

/**
 * Limits on moves, and the replication that they must preserve.
 *
 * @param maxMoves maximum number of moves under way at once
 * @param maxMovesPerNode maximum number of these that need the same node
 * @param maxMovesPerZone maximum number of these that need nodes of the same zone
 * @param copyTimeout how long copying may take before the move is abandoned
 * @param stepTimeout how long any other step may wait for nodes before it is given up
 * @param nodeCooldown how long a node that acquired a slice gets no further slice
 * @param resendInterval how often an unacknowledged command is sent again
 * @param minHolders minimum number of holders of a slice
 * @param minZones minimum number of zones that the holders of a slice are in
 */
public record MoveLimits(
        int maxMoves,
        int maxMovesPerNode,
        int maxMovesPerZone,
        Duration copyTimeout,
        Duration stepTimeout,
        Duration nodeCooldown,
        Duration resendInterval,
        int minHolders,
        int minZones) {}
