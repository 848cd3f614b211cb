package postbeam.policy;

import static postbeam.model.Durations.min;
import static postbeam.model.Durations.seconds;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import postbeam.model.Query;
import postbeam.model.SlidingWindowCounter;
import postbeam.model.Tenant;

/**
 * Tracks the router's load and its tenants' quotas: whether the router is close to its capacity,
 * which queries exceed their tenant's quota, and which Retry-After rejected clients get.
 */
public final class AdmissionControl {
    /** Fraction of {@code maxInFlight} above which the router counts as near its capacity. */
    private static final double NEAR_CAPACITY_SHARE = 0.7;

    /** Sliding window over which the queries of each tenant are counted. */
    private static final Duration QUOTA_WINDOW = Duration.ofSeconds(5);

    /**
     * Number of queries by which a tenant may exceed its quota within the window, as bursts of two
     * queries are normal.
     */
    private static final double QUOTA_BURST = 2;

    /** Retry-After of rejections while the router is near its capacity. */
    private static final Duration NEAR_CAPACITY_RETRY_AFTER = Duration.ofMillis(300);

    private final Integer maxInFlight;
    private final int routerCount;
    private final Double overQuotaUtility;
    private final Duration maxRetryAfter;
    private final Map<Tenant, SlidingWindowCounter> queriesByTenant = new HashMap<>();
    private final SlidingWindowCounter allQueries = new SlidingWindowCounter(QUOTA_WINDOW);
    private double sumOfQuotas;
    private boolean nearCapacity;

    /**
     * Creates the admission control of one router. A null parameter means that the limit is not
     * configured.
     *
     * @param maxInFlight maximum number of queries and shard requests that the router may have in
     *     flight
     * @param routerCount number of routers among which quotas are divided
     * @param overQuotaUtility utility of answering a query over its tenant's quota, as a fraction
     *     of the utility of the same query within the quota; at 1 or above, quotas are not checked
     * @param maxRetryAfter maximum Retry-After; null if rejections must not carry one
     */
    public AdmissionControl(
            Integer maxInFlight,
            Integer routerCount,
            Double overQuotaUtility,
            Duration maxRetryAfter) {
        this.maxInFlight = maxInFlight;
        this.routerCount = routerCount == null ? 1 : Math.max(1, routerCount);
        this.overQuotaUtility = overQuotaUtility;
        this.maxRetryAfter = maxRetryAfter;
    }

    /** Recomputes the load from the open queries and their shard requests. */
    void updateLoad(List<Query> openQueries) {
        int inFlight = 0;
        for (Query query : openQueries) {
            inFlight += 1 + query.shardRequests.size();
        }
        nearCapacity = maxInFlight != null && inFlight > NEAR_CAPACITY_SHARE * maxInFlight;
    }

    /**
     * Returns whether the router has nearly as many queries and shard requests in flight as it may
     * have.
     */
    boolean isNearCapacity() {
        return nearCapacity;
    }

    /** Returns the Retry-After of a rejection sent now; zero for none. */
    Duration retryAfter() {
        return nearCapacity && maxRetryAfter != null
                ? min(NEAR_CAPACITY_RETRY_AFTER, maxRetryAfter)
                : Duration.ZERO;
    }

    /**
     * Counts a query of the tenant and returns whether it exceeds the tenant's quota. The query
     * exceeds it if the tenant has sent this router more queries than the quota divided by the
     * number of routers plus a burst allowance, and the tenant's ratio of queries to quota is at
     * least that of all tenants of this router together. Without the second condition, a router
     * that has more clients than other routers would see every tenant over quota. Returns false for
     * a null tenant or one without a quota.
     */
    boolean recordAndCheckQuota(Duration now, Tenant tenant) {
        if (tenant == null
                || tenant.quotaPerSecond == null
                || overQuotaUtility == null
                || overQuotaUtility >= 1) {
            return false;
        }
        SlidingWindowCounter queries = queriesByTenant.get(tenant);
        if (queries == null) {
            queries = new SlidingWindowCounter(QUOTA_WINDOW);
            queriesByTenant.put(tenant, queries);
            sumOfQuotas += tenant.quotaPerSecond;
        }
        queries.add(now, 1);
        allQueries.add(now, 1);
        double recentQueries = queries.lowerBoundSum(now, QUOTA_WINDOW);
        double routerQuota = tenant.quotaPerSecond / routerCount * seconds(QUOTA_WINDOW);
        return recentQueries > routerQuota + QUOTA_BURST
                && recentQueries * sumOfQuotas
                        >= allQueries.lowerBoundSum(now, QUOTA_WINDOW) * tenant.quotaPerSecond;
    }
}
