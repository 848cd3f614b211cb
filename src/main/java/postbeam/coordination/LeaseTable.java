package postbeam.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The leases of one node's budget that the leader has granted, timed by the leader's own clock.
 * Only the largest lease of each process counts against the budget. A repeated request gets the
 * amount that was granted to the first one.
 */
public final class LeaseTable {
    /**
     * A granted lease.
     *
     * @param amount work in any window
     * @param retainedUntil when the leader stops counting the lease, which is after it has expired
     *     at its holder
     */
    public record IssuedLease(
            ProcessIdentity holder, long requestNumber, double amount, Duration retainedUntil) {}

    /** The latest request of a router. */
    private record Demand(double amount, Duration retainedUntil) {}

    /**
     * Maximum number of leases; bounds the memory. A router requests a lease at most every third of
     * a lease's duration.
     */
    private static final int MAX_LEASES = 4096;

    /** Granted leases, by router process and request number. */
    private final Map<String, IssuedLease> leases = new LinkedHashMap<>();

    /** The latest request of each router, for fair shares of a budget that does not suffice. */
    private final Map<String, Demand> demands = new LinkedHashMap<>();

    /**
     * Grants a lease.
     *
     * @param leasable the part of the node's budget that may be leased in total
     * @param retention how long the lease counts against the budget
     * @return the granted amount, at most the requested one; 0 if nothing is left to grant
     */
    public double grant(
            Duration now,
            ProcessIdentity requester,
            long requestNumber,
            double requestedAmount,
            double leasable,
            Duration retention) {
        expire(now);
        String key = requester.name() + ":" + requester.incarnation() + ":" + requestNumber;
        IssuedLease earlier = leases.get(key);
        if (earlier != null) {
            return earlier.amount();
        }
        Duration retainedUntil = now.plus(retention);
        demands.put(requester.name(), new Demand(requestedAmount, retainedUntil));
        double fairAmount = Math.min(requestedAmount, fairShare(requester.name(), leasable));
        double amount = Math.min(fairAmount, leasable - grantedToOthers(requester));
        if (amount <= 0 || leases.size() >= MAX_LEASES) {
            return 0;
        }
        leases.put(key, new IssuedLease(requester, requestNumber, amount, retainedUntil));
        return amount;
    }

    private void expire(Duration now) {
        leases.values().removeIf(lease -> lease.retainedUntil().compareTo(now) <= 0);
        demands.values().removeIf(demand -> demand.retainedUntil().compareTo(now) <= 0);
    }

    /**
     * The sum of the largest leases of all other processes, including earlier processes of the same
     * router.
     */
    private double grantedToOthers(ProcessIdentity requester) {
        Map<ProcessIdentity, Double> largest = new LinkedHashMap<>();
        leases.values().stream()
                .filter(lease -> !lease.holder().equals(requester))
                .forEach(lease -> largest.merge(lease.holder(), lease.amount(), Math::max));
        return largest.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /**
     * The router's max-min fair share: what a router requests less than an equal portion of the
     * budget is available to the others.
     */
    private double fairShare(String router, double leasable) {
        List<Map.Entry<String, Demand>> ascending = new ArrayList<>(demands.entrySet());
        ascending.sort(Comparator.comparingDouble(entry -> entry.getValue().amount()));
        double remaining = leasable;
        int remainingRouters = ascending.size();
        for (Map.Entry<String, Demand> entry : ascending) {
            double share = Math.min(entry.getValue().amount(), remaining / remainingRouters);
            if (entry.getKey().equals(router)) {
                return share;
            }
            remaining -= share;
            remainingRouters--;
        }
        return 0;
    }

    /** Whether no lease or request counts any more. */
    public boolean isEmpty(Duration now) {
        expire(now);
        return leases.isEmpty() && demands.isEmpty();
    }

    /** The leases that had not expired at the last call of a method that takes a time. */
    public Collection<IssuedLease> leases() {
        return leases.values();
    }
}
