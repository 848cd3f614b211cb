package postbeam.shared;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The leases of one cold node as the store holds them: what the script at the store does, by the store's own clock. A
 * grant is one step; a second of the same number answers what the first did.
 */
public final class Ledger {
    /** A lease: who has it, how much, and until when it counts. */
    public record Lease(String router, long number, double amount, Duration until) { }

    /** Leases that are kept at most: more routers than any installation has ask for one each. */
    private static final int LEASES_MOST = 4096;

    private final Map<String, Lease> leases = new LinkedHashMap<>();

    /** Grants up to so much of what is left of the leasable budget; zero where nothing is. */
    public double grant(Duration now, String router, long number, double wanted, double leasable, Duration counted) {
        leases.values().removeIf(lease -> lease.until().compareTo(now) <= 0);
        String key = router + ":" + number;
        Lease before = leases.get(key);
        if (before != null) {
            return before.amount();
        }
        double left = leasable - leases.values().stream().mapToDouble(Lease::amount).sum();
        double amount = Math.min(wanted, left);
        if (amount <= 0 || leases.size() >= LEASES_MOST) {
            return 0;
        }
        leases.put(key, new Lease(router, number, amount, now.plus(counted)));
        return amount;
    }

    /** Whether a lease still stands, for the router that asks a second time before it uses it. */
    public boolean stands(Duration now, String router, long number) {
        Lease lease = leases.get(router + ":" + number);
        return lease != null && lease.until().compareTo(now) > 0;
    }

    public Collection<Lease> leases() {
        return leases.values();
    }
}
