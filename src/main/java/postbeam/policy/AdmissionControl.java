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
 * How full the router is, which tenants are beyond their quota, and how long rejected clients wait.
 */
public final class AdmissionControl {
    /** Share of the limit on held queries and requests from which the router is crowded. */
    private static final double CROWDED_SHARE = 0.7;

    /** How long tenants' queries are counted. */
    private static final Duration QUOTA_WINDOW = Duration.ofSeconds(5);

    /** Queries that a tenant may be ahead of its quota: a burst of two is no excess. */
    private static final double QUOTA_TOLERANCE = 2;

    /** Time that a client is told to wait after a rejection while the router is crowded. */
    private static final Duration CROWDED_RETRY_AFTER = Duration.ofMillis(300);

    private final Integer maxHeld;
    private final int routerCount;
    private final Double overQuotaUtility;
    private final Duration maxRetryAfter;
    private final Map<Tenant, SlidingWindowCounter> queriesByTenant = new HashMap<>();
    private final SlidingWindowCounter allQueries = new SlidingWindowCounter(QUOTA_WINDOW);
    private double sumOfQuotas;
    private boolean crowded;

    /**
     * Creates a control; each parameter is null where not stated.
     *
     * @param maxHeld most queries and shard requests that the router may hold
     * @param routerCount routers among which quotas are divided
     * @param overQuotaUtility share of the utility that a query beyond its tenant's quota earns
     * @param maxRetryAfter longest wait that a rejected client may be told; null where none may be
     */
    public AdmissionControl(
            Integer maxHeld, Integer routerCount, Double overQuotaUtility, Duration maxRetryAfter) {
        this.maxHeld = maxHeld;
        this.routerCount = routerCount == null ? 1 : Math.max(1, routerCount);
        this.overQuotaUtility = overQuotaUtility;
        this.maxRetryAfter = maxRetryAfter;
    }

    /** These are the queries open now. */
    void update(List<Query> open) {
        int held = 0;
        for (Query query : open) {
            held += 1 + query.shardRequests.size();
        }
        crowded = maxHeld != null && held > CROWDED_SHARE * maxHeld;
    }

    /** Whether the router holds nearly as much as it may. */
    boolean isCrowded() {
        return crowded;
    }

    /** How long a client that is rejected now waits before its retry; zero for no advice. */
    Duration retryAfter() {
        return crowded && maxRetryAfter != null
                ? min(CROWDED_RETRY_AFTER, maxRetryAfter)
                : Duration.ZERO;
    }

    /**
     * Counts a query of the tenant, and says whether it is beyond the quota: beyond the tenant's
     * even share at this router, and further than the router's tenants are on the whole, as a
     * router with more clients than the others sees all tenants beyond their share.
     */
    boolean countsAsOverQuota(Duration now, Tenant tenant) {
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
        double received = queries.lowerBoundSum(now, QUOTA_WINDOW);
        double evenShare = tenant.quotaPerSecond / routerCount * seconds(QUOTA_WINDOW);
        return received > evenShare + QUOTA_TOLERANCE
                && received * sumOfQuotas
                        >= allQueries.lowerBoundSum(now, QUOTA_WINDOW) * tenant.quotaPerSecond;
    }
}
