package postbeam.migration;

import java.time.Duration;

/**
 * What migrations must keep to.
 *
 * @param atOnce migrations under way at once
 * @param batch copies of one migration under way at once
 * @param movesASecond moves that may begin in a second, over all migrations
 * @param bytesASecond bytes whose copy may begin in a second, over all migrations
 * @param starved after which a copy or an answer about one is starved
 * @param cold how long a node counts as cold after its start
 * @param watch how long the new side is watched before the last checkpoint opens
 * @param leastUtility of what the member had before: under it the migration pauses
 * @param again how long until a comparison asks again
 * @param patience times that a difference must show with the source unchanged
 * @param finest keys of a range that is not cut further
 * @param lease how long a router may go by a layout that it asked for; drift comes on top
 * @param drift what two clocks may differ by over a lease
 */
public record MigrationLimits(
        int maxActiveMigrations,
        int maxConcurrentCopies,
        int movesPerSecond,
        long bytesPerSecond,
        Duration stallTimeout,
        Duration warmUpPeriod,
        Duration observationPeriod,
        double minUtilityRatio,
        Duration requestInterval,
        int mismatchesToConfirm,
        long minRangeSize,
        Duration routerLease,
        Duration clockDrift) {}
