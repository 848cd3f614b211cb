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
 * Load and quota accounting: whether the router is crowded (close to its capacity), which queries
 * exceed their tenant's quota, and the Retry-After of rejected clients.
 */
public final class AdmissionControl {
    /** Fraction of {@code maxInFlight} above which the router counts as crowded. */
    private static final double NEAR_CAPACITY_SHARE = 0.7;

    /** Window over which tenants' queries are counted. */
    private static final Duration QUOTA_WINDOW = Duration.ofSeconds(5);

    /** Number of queries by which a tenant may exceed its quota: a burst of two is normal. */
    private static final double QUOTA_BURST = 2;

    /** Retry-After of rejections while the router is crowded. */
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
     * Creates the accounting of one router; a null parameter is not configured.
     *
     * @param maxInFlight maximum number of queries and shard requests that the router may hold
     * @param routerCount number of routers among which quotas are divided
     * @param overQuotaUtility share of the utility that a query beyond its tenant's quota earns
     * @param maxRetryAfter maximum Retry-After; null where rejections may not carry one
     */
    public AdmissionControl(
            Integer maxInFlight, Integer routerCount, Double overQuotaUtility, Duration maxRetryAfter) {
        this.maxInFlight = maxInFlight;
        this.routerCount = routerCount == null ? 1 : Math.max(1, routerCount);
        this.overQuotaUtility = overQuotaUtility;
        this.maxRetryAfter = maxRetryAfter;
    }

    /** Recomputes the load from the open queries. */
    void updateLoad(List<Query> openQueries) {
        int inFlight = 0;
        for (Query query : openQueries) {
            inFlight += 1 + query.shardRequests.size();
        }
        nearCapacity = maxInFlight != null && inFlight > NEAR_CAPACITY_SHARE * maxInFlight;
    }

    /** Whether the router holds nearly as many queries and requests as it may. */
    boolean isNearCapacity() {
        return nearCapacity;
    }

    /** Retry-After of a rejection now; zero for none. */
    Duration retryAfter() {
        return nearCapacity && maxRetryAfter != null
                ? min(NEAR_CAPACITY_RETRY_AFTER, maxRetryAfter)
                : Duration.ZERO;
    }

    /**
     * Counts a query of the tenant and returns whether it exceeds the quota. It does if the tenant
     * exceeds its even share at this router and is further ahead of its quota than the router's
     * tenants are on average: a router with more clients than the others would otherwise see every
     * tenant over quota.
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
