package postbeam.migration;

import java.time.Duration;

/**
 * Limits that migrations keep to.
 *
 * @param maxActiveMigrations migrations that may be active at the same time
 * @param maxConcurrentCopies copies of one migration that may be in progress at the same time
 * @param movesPerSecond moves that may start per second, over all migrations
 * @param bytesPerSecond bytes whose copies may start per second, over all migrations
 * @param stallTimeout time without progress after which a copy, a comparison or a size request
 *     counts as stalled
 * @param warmUpPeriod time after its start during which a node counts as warming up
 * @param observationPeriod time for which the targets serve before the last checkpoint opens
 * @param minUtilityRatio minimum ratio of the member's utility to its utility when the migration
 *     was created, from 0 to 1; below it the migration pauses
 * @param requestInterval minimum time between requests for digests; a request without a response is
 *     sent again after it
 * @param mismatchesToConfirm consecutive mismatches, with the source unchanged, that confirm a
 *     difference
 * @param minRangeSize number of keys; a range of at most this size is not split further
 * @param routerLease how long a router may use a layout that it requested, before {@code
 *     clockDrift} is added
 * @param clockDrift the most by which two clocks may differ over the time of a lease
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
