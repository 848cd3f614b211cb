package postbeam.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The leases of one node's budget as the leader holds them, by the leader's own clock. Of each
 * process its largest lease counts; a repeated request gets the answer of the first.
 */
public final class LeaseTable {
    /**
     * A lease.
     *
     * @param amount of work in any window
     * @param retainedUntil when the leader forgets it, which is after the holder does
     */
    public record IssuedLease(
            ProcessIdentity holder, long requestNumber, double amount, Duration retainedUntil) {}

    private record Demand(double amount, Duration retainedUntil) {}

    /** A router requests again after a third of a lease at the earliest. */
    private static final int MAX_LEASES = 4096;

    private final Map<String, IssuedLease> leases = new LinkedHashMap<>();

    /** By router, its latest request: for fair shares where there is not enough. */
    private final Map<String, Demand> demands = new LinkedHashMap<>();

    /**
     * Grants a lease.
     *
     * @param leasable what of the node's budget may be leased in all
     * @param retention how long the lease counts
     * @return the amount, at most that requested; 0 where nothing is remaining
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

    /** The largest lease of each other process; an earlier run of the same router is another. */
    private double grantedToOthers(ProcessIdentity requester) {
        Map<ProcessIdentity, Double> largest = new LinkedHashMap<>();
        leases.values().stream()
                .filter(lease -> !lease.holder().equals(requester))
                .forEach(lease -> largest.merge(lease.holder(), lease.amount(), Math::max));
        return largest.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /**
     * Max-min fair: a router that demands less than an even share leaves the rest to the others.
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

    /** Whether nothing of it counts any more. */
    public boolean isEmpty(Duration now) {
        expire(now);
        return leases.isEmpty() && demands.isEmpty();
    }

    /** The leases that counted at the last call with a time. */
    public Collection<IssuedLease> leases() {
        return leases.values();
    }
}
