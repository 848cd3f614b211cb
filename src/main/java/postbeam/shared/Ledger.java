package postbeam.shared;

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
public final class Ledger {
    /** A lease: who has it, how much in a window, and until when it counts. */
    public record Lease(Who router, long number, double amount, Duration until) {}

    private record Want(double wanted, Duration until) {}

    /**
     * Leases of one node that are kept at most: a router asks again at the earliest after a third
     * of a lease.
     */
    private static final int LEASES_MOST = 4096;

    private final Map<String, Lease> leases = new LinkedHashMap<>();

    /** What each router asked for last: for even parts where there is not enough. */
    private final Map<String, Want> wants = new LinkedHashMap<>();

    /** Grants up to so much of what is left of the leasable budget; zero where nothing is. */
    public double grant(
            Duration now,
            Who router,
            long number,
            double wanted,
            double leasable,
            Duration counted) {
        forget(now);
        String key = router.name() + ":" + router.incarnation() + ":" + number;
        Lease before = leases.get(key);
        if (before != null) {
            return before.amount();
        }
        wants.put(router.name(), new Want(wanted, now.plus(counted)));
        double amount =
                Math.min(
                        Math.min(wanted, even(router.name(), leasable)), leasable - others(router));
        if (amount <= 0 || leases.size() >= LEASES_MOST) {
            return 0;
        }
        leases.put(key, new Lease(router, number, amount, now.plus(counted)));
        return amount;
    }

    private void forget(Duration now) {
        leases.values().removeIf(lease -> lease.until().compareTo(now) <= 0);
        wants.values().removeIf(want -> want.until().compareTo(now) <= 0);
    }

    /**
     * What counts for all others: of each run of a router its largest lease. An earlier run of the
     * same name is another.
     */
    private double others(Who router) {
        Map<Who, Double> largest = new LinkedHashMap<>();
        leases.values().stream()
                .filter(lease -> !lease.router().equals(router))
                .forEach(lease -> largest.merge(lease.router(), lease.amount(), Math::max));
        return largest.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Max-min fair: who wants less than an even part leaves the rest to the others. */
    private double even(String router, double leasable) {
        List<Map.Entry<String, Want>> rising = new ArrayList<>(wants.entrySet());
        rising.sort(Comparator.comparingDouble(entry -> entry.getValue().wanted()));
        double left = leasable;
        int count = rising.size();
        for (Iterator<Map.Entry<String, Want>> all = rising.iterator(); all.hasNext(); count--) {
            Map.Entry<String, Want> next = all.next();
            double part = Math.min(next.getValue().wanted(), left / count);
            if (next.getKey().equals(router)) {
                return part;
            }
            left -= part;
        }
        return 0;
    }

    /** Whether nothing of it counts any more. */
    public boolean empty(Duration now) {
        forget(now);
        return leases.isEmpty() && wants.isEmpty();
    }

    public Collection<Lease> leases() {
        return leases.values();
    }
}
