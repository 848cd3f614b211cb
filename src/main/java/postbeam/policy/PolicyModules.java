package postbeam.policy;

import java.util.Random;
import postbeam.model.Cluster;

/** Creates the modules of one policy and holds references to them. */
final class PolicyModules {
    final AdmissionControl admission;
    final RetryBudget retryBudget;
    final SlowStart slowStart;
    final CanaryPolicy canaries = new CanaryPolicy();
    final ClientRetryEstimator clientRetries = new ClientRetryEstimator();
    final LatencyEstimator latencies;
    final OutlierEjection ejection;
    final OutlierDetector outliers;
    final ConcurrencyWindow window;
    final NodeMembership membership;
    final AttemptCanceller canceller;
    final QueryCompletion completion;
    final StragglerCanceller stragglerCanceller;
    final SlotScheduler scheduler;

    PolicyModules(
            PolicyActions actions,
            Random random,
            Cluster cluster,
            AdmissionControl admission,
            AttemptLimits limits,
            RetryBudget retryBudget,
            SlowStart slowStart) {
        this.admission = admission;
        this.retryBudget = retryBudget;
        this.slowStart = slowStart;
        latencies = new LatencyEstimator(cluster);
        ejection = new OutlierEjection(actions, limits);
        StragglerDetector stragglers = new StragglerDetector(limits, latencies, ejection);
        outliers = new OutlierDetector(latencies, stragglers, ejection);
        window = new ConcurrencyWindow(cluster, latencies, slowStart.routerCount());
        membership = new NodeMembership(random, cluster, slowStart, latencies, outliers, canaries);
        canceller = new AttemptCanceller(actions, limits);
        HedgingPolicy hedging = new HedgingPolicy(limits, window);
        RetryPolicy retries = new RetryPolicy(limits, retryBudget, hedging);
        ReplicaSelector replicas =
                new ReplicaSelector(
                        limits, random, cluster, slowStart, latencies, ejection, outliers);
        CompletionForecast forecast = new CompletionForecast(latencies, window);
        QueryPriority priority = new QueryPriority(forecast, replicas, outliers);
        completion =
                new QueryCompletion(actions, admission, forecast, priority, retries, canceller);
        stragglerCanceller =
                new StragglerCanceller(
                        limits, stragglers, retries, retryBudget, replicas, outliers, canceller);
        AttemptSender sender =
                new AttemptSender(
                        actions,
                        cluster,
                        retryBudget,
                        retries,
                        slowStart,
                        latencies,
                        canaries,
                        outliers,
                        window);
        scheduler =
                new SlotScheduler(
                        window, stragglers, priority, hedging, retries, canaries, replicas, sender);
    }
}
