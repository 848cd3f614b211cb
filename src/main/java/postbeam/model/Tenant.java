package postbeam.model;

/** An owner of queries, with a quota. Tenants are compared by identity. */
public final class Tenant {
    /** Quota in queries per second over all routers; null if not configured. */
    public final Double quotaPerSecond;

    /** Creates a tenant. The quota may be null. */
    public Tenant(Double quotaPerSecond) {
        this.quotaPerSecond = quotaPerSecond;
    }
}
