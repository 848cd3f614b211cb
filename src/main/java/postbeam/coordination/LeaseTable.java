package postbeam.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The leases of one cold node as its keeper holds them, by the keeper's own clock. Of one router
 * the largest that counts is what counts; a second ask of the same number answers what the first
 * did.
 */
public final class LeaseTable {
    /** A lease: who has it, how much in a window, and until when it counts. */
    public record Lease(ProcessIdentity holder, long number, double amount, Duration countsUntil) {}

    private record Demand(double amount, Duration countsUntil) {}

    /**
     * Leases of one node that are kept at most: a router asks again at the earliest after a third
     * of a lease.
     */
    private static final int MAX_LEASES = 4096;

    private final Map<String, Lease> leases = new LinkedHashMap<>();

    /** What each router asked for last: for even parts where there is not enough. */
    private final Map<String, Demand> demands = new LinkedHashMap<>();

    /** Grants up to so much of what is left of the leasable budget; zero where nothing is. */
    public double grant(
            Duration now,
            ProcessIdentity router,
            long number,
            double wanted,
            double leasable,
            Duration counted) {
        expire(now);
        String key = router.name() + ":" + router.incarnation() + ":" + number;
        Lease before = leases.get(key);
        if (before != null) {
            return before.amount();
        }
        demands.put(router.name(), new Demand(wanted, now.plus(counted)));
        double amount =
                Math.min(
                        Math.min(wanted, fairShare(router.name(), leasable)),
                        leasable - grantedToOthers(router));
        if (amount <= 0 || leases.size() >= MAX_LEASES) {
            return 0;
        }
        leases.put(key, new Lease(router, number, amount, now.plus(counted)));
        return amount;
    }

    private void expire(Duration now) {
        leases.values().removeIf(lease -> lease.countsUntil().compareTo(now) <= 0);
        demands.values().removeIf(want -> want.countsUntil().compareTo(now) <= 0);
    }

    /**
     * What counts for all others: of each run of a router its largest lease. An earlier run of the
     * same name is another.
     */
    private double grantedToOthers(ProcessIdentity router) {
        Map<ProcessIdentity, Double> largest = new LinkedHashMap<>();
        leases.values().stream()
                .filter(lease -> !lease.holder().equals(router))
                .forEach(lease -> largest.merge(lease.holder(), lease.amount(), Math::max));
        return largest.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Max-min fair: who wants less than an even part leaves the rest to the others. */
    private double fairShare(String router, double leasable) {
        List<Map.Entry<String, Demand>> rising = new ArrayList<>(demands.entrySet());
        rising.sort(Comparator.comparingDouble(entry -> entry.getValue().amount()));
        double left = leasable;
        int count = rising.size();
        for (Iterator<Map.Entry<String, Demand>> all = rising.iterator(); all.hasNext(); count--) {
            Map.Entry<String, Demand> next = all.next();
            double part = Math.min(next.getValue().amount(), left / count);
            if (next.getKey().equals(router)) {
                return part;
            }
            left -= part;
        }
        return 0;
    }

    /** Whether nothing of it counts any more. */
    public boolean isEmpty(Duration now) {
        expire(now);
        return leases.isEmpty() && demands.isEmpty();
    }

    public Collection<Lease> leases() {
        return leases.values();
    }
}
