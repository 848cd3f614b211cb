package postbeam.shared;

import java.time.Duration;

/**
 * What all routers and the store must agree on for leases of a cold node's budget.
 *
 * @param use how long a router may use a lease, from when it asked for it
 * @param window in which the rule counts what a cold node is sent
 * @param drift what two clocks may differ by over a lease's time
 * @param reserved share of each budget that is never leased: a router that sees no store has its even part of it
 * @param routers how many there are; more would break the bound, fewer waste some
 */
public record LeaseTerms(Duration use, Duration window, Duration drift, double reserved, int routers) {
    public LeaseTerms {
        if (reserved <= 0 || reserved >= 1 || routers < 1 || use.isNegative() || use.isZero() || window.isNegative()
                || drift.isNegative()) {
            throw new IllegalArgumentException("terms of leases can't be used: reserved " + reserved + ", routers "
                    + routers + ", use " + use + ", window " + window + ", drift " + drift);
        }
    }

    /**
     * How long the store counts a lease, from when it granted it. What is used at the last moment counts in windows
     * that reach so much further, and the grant came after the question: so no window holds a use of a lease that
     * the store has given to somebody else in the same window.
     */
    public Duration counted() {
        return use.plus(window).plus(drift);
    }

    /** How long a router asks for nothing once it has (again) reached a store that may not know what it granted. */
    public Duration quarantine() {
        return counted().plus(drift);
    }

    /** Of a budget, what the store may lease out. */
    public double leasable(double budget) {
        return budget * (1 - reserved);
    }

    /** Of a budget, what each router may use whatever it knows of the store. */
    public double own(double budget) {
        return budget * reserved / routers;
    }
}
