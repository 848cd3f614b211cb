package postbeam.policy;

/**
 * What the deployment allows for attempts.
 *
 * @param maxAttempts maximum number of attempts of one shard request
 * @param hedgingAllowed whether a request may have a second attempt in flight
 * @param cancellationAllowed whether attempts may be cancelled
 * @param probesAllowed whether nodes may be probed
 * @param batchingEnabled whether one call carries several requests
 */
public record AttemptLimits(
        int maxAttempts,
        boolean hedgingAllowed,
        boolean cancellationAllowed,
        boolean probesAllowed,
        boolean batchingEnabled) {

    /**
     * Creates limits from settings; a null setting allows nothing beyond one attempt per request.
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
