package postbeam.model;

/** A tenant: the owner of queries, with a quota; tenants are compared by identity. */
public final class Tenant {
    /** Queries a second, over all routers, within its quota; null where none is stated. */
    public final Double quotaPerSecond;

    /** Creates a tenant; the quota is null where none is stated. */
    public Tenant(Double quotaPerSecond) {
        this.quotaPerSecond = quotaPerSecond;
    }
}
