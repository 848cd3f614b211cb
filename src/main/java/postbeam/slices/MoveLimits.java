package postbeam.slices;

import java.time.Duration;

/**
 * What moves must keep to.
 *
 * @param maxMoves moves under way at once
 * @param maxMovesPerNode of these, how many may need one node
 * @param maxMovesPerZone of these, how many may need nodes of one zone
 * @param copyTimeout after which a copy is stuck and its move abandoned
 * @param stepTimeout after which any other step that waits for nodes is given up
 * @param nodeCooldown for how long a node that has taken a slice is given no other
 * @param resendInterval how often a command that is not acknowledged is sent again
 * @param minHolders the fewest holders that a slice may have
 * @param minZones in how many zones these must be
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
