package postbeam.model;

/** A customer and the queries a second, over all routers, that fall within its share. */
public final class Tenant {
    /** Null where not stated. */
    public final Double quotaPerSecond;

    /** Queries taken lately; set up by the one who measures. */
    public SlidingWindowCounter recentQueries;

    public Tenant(Double quotaPerSecond) {
        this.quotaPerSecond = quotaPerSecond;
    }
}
