package postbeam.shared;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * What one router may send one cold node: its own part of the reserve, and the leases that it holds. A lease is used
 * only once it was granted and then, by a second question, seen to stand; and never past its end, which counts from
 * when it was asked for. An answer that is late, lost or not understood is no grant: at the store it may count as one.
 */
public final class NodeLeases {
    /** A lease on its way to use, or in it. */
    public static final class Lease {
        public final long number;
        /** Never used from here on. */
        public final Duration end;
        private double left;
        private boolean granted;
        private boolean confirmed;

        private Lease(long number, Duration end) {
            this.number = number;
            this.end = end;
        }
    }

    /** What was used of the reserve, and when. */
    private record Used(Duration at, double amount) { }

    /** Leases asked for or held at once: one in use, one on its way. */
    private static final int LEASES_MOST = 2;

    private final LeaseTerms terms;
    private final List<Lease> leases = new ArrayList<>();
    private final Deque<Used> reserve = new ArrayDeque<>();
    private long number;
    /** Null while no store is reached. */
    private Duration quietUntil;

    public NodeLeases(LeaseTerms terms) {
        this.terms = terms;
    }

    // ---- the store

    /**
     * A store is reached, perhaps another than before. Guards against one that failed over to an older state, or was
     * away and forgot: it may grant again what others still hold, so nothing is asked for until all leases that it
     * can have forgotten are past. What this router holds it keeps: that is counted somewhere, or was.
     */
    public void reached(Duration now) {
        quietUntil = now.plus(terms.quarantine());
    }

    public void lost() {
        quietUntil = null;
        // Whether these were granted nobody will tell: the store may count them.
        leases.removeIf(lease -> !lease.confirmed);
    }

    /** The number of a lease to ask for now; 0 where none is to be asked for. */
    public long ask(Duration now) {
        forget(now);
        if (quietUntil == null || !quiet(now) || leases.size() >= LEASES_MOST) {
            return 0;
        }
        leases.add(new Lease(++number, now.plus(terms.use())));
        return number;
    }

    private boolean quiet(Duration now) {
        return now.compareTo(quietUntil) >= 0;
    }

    /** The store's answer to the first question; true where it is to be asked a second time. */
    public boolean granted(Duration now, long number, double amount) {
        Lease lease = lease(now, number);
        if (lease == null || amount <= 0) {
            leases.remove(lease);
            return false;
        }
        lease.granted = true;
        lease.left = amount;
        return true;
    }

    /** Its answer to the second: whether the lease stands. */
    public void stands(Duration now, long number, boolean stands) {
        Lease lease = lease(now, number);
        if (lease != null && lease.granted && stands) {
            lease.confirmed = true;
        } else {
            leases.remove(lease);
        }
    }

    private Lease lease(Duration now, long number) {
        forget(now);
        return leases.stream().filter(one -> one.number == number).findFirst().orElse(null);
    }

    private void forget(Duration now) {
        leases.removeIf(lease -> over(lease, now));
        while (!reserve.isEmpty() && now.minus(reserve.peek().at()).compareTo(terms.window()) > 0) {
            reserve.poll();
        }
    }

    /** Past its end it is not used, whatever the store thinks of it. */
    private boolean over(Lease lease, Duration now) {
        return now.compareTo(lease.end) >= 0;
    }

    // ---- sends

    /** Whether so much may be sent now, with this budget of the node for a window. */
    public boolean allows(Duration now, double amount, double budget) {
        forget(now);
        return reserveLeft(budget) >= amount || leases.stream().anyMatch(lease -> lease.confirmed
                && lease.left >= amount);
    }

    /** It was sent: leases go first, the one that ends soonest before others; the reserve is kept for worse times. */
    public void sent(Duration now, double amount, double budget) {
        Lease from = null;
        for (Lease lease : leases) {
            if (lease.confirmed && lease.left >= amount && (from == null || lease.end.compareTo(from.end) < 0)) {
                from = lease;
            }
        }
        if (from != null) {
            from.left -= amount;
        } else {
            reserve.add(new Used(now, amount));
        }
    }

    private double reserveLeft(double budget) {
        double used = 0;
        for (Iterator<Used> all = reserve.iterator(); all.hasNext();) {
            used += all.next().amount();
        }
        return terms.own(budget) - used;
    }

    /** What may be sent of leases held. */
    public double leased(Duration now) {
        forget(now);
        return leases.stream().filter(lease -> lease.confirmed).mapToDouble(lease -> lease.left).sum();
    }
}
