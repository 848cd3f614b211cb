package postbeam.policy;

/**
 * Limits on attempts that the settings of a deployment set.
 *
 * @param maxAttempts maximum number of attempts per shard request
 * @param hedgingAllowed whether a shard request may have a second attempt in flight
 * @param cancellationAllowed whether attempts may be cancelled
 * @param probesAllowed whether the health of data nodes may be probed
 * @param batchingEnabled whether one call to a data node may carry several requests
 */
public record AttemptLimits(
        int maxAttempts,
        boolean hedgingAllowed,
        boolean cancellationAllowed,
        boolean probesAllowed,
        boolean batchingEnabled) {

    /**
     * Creates limits from settings. If {@code maxAttempts} is null, one attempt per request is
     * allowed; hedging, cancellation and probes are not allowed if null; batching is enabled unless
     * {@code requestsPerCall} is 1 or less.
     */
    public AttemptLimits(
            Integer maxAttempts,
            Boolean hedgingAllowed,
            Boolean cancellationAllowed,
            Boolean probesAllowed,
            Integer requestsPerCall) {
        this(
                maxAttempts == null ? 1 : maxAttempts,
                Boolean.TRUE.equals(hedgingAllowed),
                Boolean.TRUE.equals(cancellationAllowed),
                Boolean.TRUE.equals(probesAllowed),
                requestsPerCall == null || requestsPerCall > 1);
    }
}
