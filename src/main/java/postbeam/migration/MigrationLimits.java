package postbeam.migration;

import java.time.Duration;

/**
 * What migrations must keep to.
 *
 * @param maxActiveMigrations migrations under way at once
 * @param maxConcurrentCopies copies of one migration under way at once
 * @param movesPerSecond moves that may start in a second, over all migrations
 * @param bytesPerSecond bytes whose copy may start in a second, over all migrations
 * @param stallTimeout without progress, after which a copy or an answer about one counts as stalled
 * @param warmUpPeriod how long a node counts as warming up after its start
 * @param observationPeriod how long the new side is observed before the last checkpoint opens
 * @param minUtilityRatio of the member's utility at the start; below it the migration pauses
 * @param requestInterval until a request for digests that was not answered is sent again
 * @param mismatchesToConfirm times that a mismatch must show with the source unchanged
 * @param minRangeSize in keys: a range of at most this size is not split further
 * @param routerLease how long a router may use a layout that it asked for; the drift comes on top
 * @param clockDrift by which two clocks may differ over a lease
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
