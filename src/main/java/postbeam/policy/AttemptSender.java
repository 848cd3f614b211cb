package postbeam.policy;

import java.time.Duration;
import postbeam.model.Attempt;
import postbeam.model.Cluster;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.ShardRequest;

/**
 * Sends attempts and reports each of them to the modules that track attempts in flight, the work
 * (estimated processing time) sent to each node, and retries.
 */
final class AttemptSender {
    private final PolicyActions actions;
    private final Cluster cluster;
    private final RetryBudget budget;
    private final RetryPolicy retries;
    private final SlowStart slowStart;
    private final LatencyEstimator latencies;
    private final CanaryPolicy canaries;
    private final OutlierDetector outliers;
    private final ConcurrencyWindow window;

    AttemptSender(
            PolicyActions actions,
            Cluster cluster,
            RetryBudget budget,
            RetryPolicy retries,
            SlowStart slowStart,
            LatencyEstimator latencies,
            CanaryPolicy canaries,
            OutlierDetector outliers,
            ConcurrencyWindow window) {
        this.actions = actions;
        this.cluster = cluster;
        this.budget = budget;
        this.retries = retries;
        this.slowStart = slowStart;
        this.latencies = latencies;
        this.canaries = canaries;
        this.outliers = outliers;
        this.window = window;
    }

    void send(Duration now, ShardRequest request, DataNode node) {
        Query query = request.query;
        if (!request.attempts.isEmpty()) {
            budget.recordRetry(now);
        }
        Duration work = slowStart.estimateWork(request, latencies.baseline(query.queryClass()));
        slowStart.recordSent(now, node, cluster.acquiredAt(request.shard, node), work);
        Attempt attempt = new Attempt(request, node, now, retries.timeout(now, query));
        if (canaries.needsCanary(now, query)) {
            attempt.markCanary();
        }
        attempt.setSendDeadline(retries.sendDeadline(request));
        outliers.onAttemptSent(now, attempt);
        window.onAttemptSent();
        actions.send(attempt);
    }
}
