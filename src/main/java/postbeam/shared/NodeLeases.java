package postbeam.shared;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import postbeam.state.TimeRing;

/**
 * What one router may send one cold node: its own part of the reserve, and the largest lease that
 * it holds, never past that lease's end, which counts from when it was asked for. A check takes
 * what it allows; what is checked and not yet told to be out is under way, and held down: a process
 * that is stopped there sends it whenever it wakes.
 */
public class NodeLeases {
    /** A lease asked for or held. */
    private static final class Lease {
        final long number;
        final Duration askedAt;

        /** Never used from here on. */
        final Duration end;

        double amount;

        Lease(long number, Duration askedAt, Duration end) {
            this.number = number;
            this.askedAt = askedAt;
            this.end = end;
        }
    }

    /** Leases asked for or held at once: asked again each third of a lease. */
    private static final int LEASES_MOST = 4;

    /** Buckets of a window; what shares a bucket with the window's start counts. */
    private static final int BUCKETS = 32;

    /**
     * Times what was wanted in the last window that is asked for: room to grow, as any ask is some
     * time on its way.
     */
    private static final double AHEAD = 1.5;

    private final LeaseTerms terms;
    private final int sharers;
    private final boolean drawn;
    private final List<Lease> leases = new ArrayList<>();
    private final TimeRing checked;
    private final TimeRing wanted;
    private double underWay;

    /** For a node whose parts are so many, and whether this router has one. */
    public NodeLeases(LeaseTerms terms, int sharers, boolean drawn) {
        this.terms = terms;
        this.sharers = sharers;
        this.drawn = drawn;
        this.checked = new TimeRing(terms.window(), BUCKETS);
        this.wanted = new TimeRing(terms.window(), BUCKETS);
    }

    // ---- leases

    /**
     * How much to ask the keeper for now, under this number; zero where nothing is to be asked for.
     */
    public double ask(Duration now, double budget, long number) {
        forget(now);
        Duration third = terms.use().dividedBy(3);
        boolean recent =
                leases.stream().anyMatch(lease -> now.minus(lease.askedAt).compareTo(third) < 0);
        double want =
                Math.min(
                        AHEAD * wanted.atLeast(now, terms.window()) - terms.own(budget, sharers),
                        terms.leasable(budget));
        if (!drawn || recent || leases.size() >= LEASES_MOST || want <= 0) {
            return 0;
        }
        leases.add(new Lease(number, now, now.plus(terms.use())));
        return want;
    }

    public void granted(Duration now, long ofNumber, double amount) {
        forget(now);
        leases.stream()
                .filter(lease -> lease.number == ofNumber)
                .forEach(lease -> lease.amount = amount);
    }

    private void forget(Duration now) {
        leases.removeIf(lease -> over(now, lease.end));
    }

    /** Past its end it is not used, whatever the keeper thinks of it. */
    protected boolean over(Duration now, Duration end) {
        return now.compareTo(end) >= 0;
    }

    /** The rate of the largest lease held. */
    public double leased(Duration now) {
        forget(now);
        return leases.stream().mapToDouble(lease -> lease.amount).max().orElse(0);
    }

    // ---- sends

    /** What may still be checked now, with this budget of the node for a window that ends now. */
    public double room(Duration now, double budget) {
        if (!drawn) {
            return 0;
        }
        double inWindow =
                terms.own(budget, sharers) + leased(now) - checked.atLeast(now, terms.window());
        return Math.max(0, Math.min(inWindow, terms.underWay(budget, sharers) - underWay));
    }

    /**
     * Takes so much and is true, if there is room for it; from then on it is under way until {@link
     * #out}.
     */
    public boolean take(Duration now, double amount, double budget) {
        wanted.add(now, amount);
        if (room(now, budget) < amount) {
            return false;
        }
        checked.add(now, amount);
        underWay += amount;
        return true;
    }

    /** So much is sent, or never will be. */
    public void out(double amount) {
        underWay = Math.max(0, underWay - amount);
    }

    /** What is of no use any more: nothing under way, no lease, nothing in the window. */
    public boolean idle(Duration now) {
        forget(now);
        return underWay == 0 && leases.isEmpty() && wanted.atLeast(now, terms.window()) == 0;
    }

    String standing(Duration now) {
        StringBuilder text =
                new StringBuilder()
                        .append(checked.atLeast(now, terms.window()))
                        .append(' ')
                        .append(underWay);
        leases.stream()
                .filter(lease -> !over(now, lease.end))
                .forEach(
                        lease ->
                                text.append(' ')
                                        .append(lease.number)
                                        .append('=')
                                        .append(lease.amount)
                                        .append('/')
                                        .append(lease.end.minus(now)));
        return text.toString();
    }
}
