package postbeam.state;

/** A customer and the queries a second, over all routers, that fall within its share. */
public final class Customer {
    /** Null where not stated. */
    public final Double quotaPerSecond;

    /** Queries taken lately; set up by the one who measures. */
    public TimeRing taken;

    public Customer(Double quotaPerSecond) {
        this.quotaPerSecond = quotaPerSecond;
    }
}
