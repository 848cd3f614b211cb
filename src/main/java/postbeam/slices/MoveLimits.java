package postbeam.slices;

import java.time.Duration;

/**
 * What moves must keep to.
 *
 * @param most moves under way at once, in all
 * @param mostANode of these, how many may need one node
 * @param mostAZone of these, how many may need nodes of one zone
 * @param copyMost after which a copy is stuck and its move abandoned
 * @param stepMost after which any other step that waits for nodes is given up
 * @param rest how long a node that has taken a slice is given no other
 * @param againEvery how often a node is told again what it has not answered
 * @param holders the fewest that a slice may have
 * @param zones in how many zones they must be
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
