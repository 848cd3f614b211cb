package postbeam.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import postbeam.model.SlidingWindowCounter;

/**
 * What one router may send one cold node: its own part of the reserve, and the largest lease that
 * it holds, never past that lease's end, which counts from when it was asked for. A check takes
 * what it allows; what is checked and not yet told to be out is under way, and held down: a process
 * that is stopped there sends it whenever it wakes.
 */
public class ColdNodeQuota {
    /** A lease asked for or held. */
    private static final class Lease {
        final long number;
        final Duration requestedAt;

        /** Never used from here on. */
        final Duration expiresAt;

        double amount;

        Lease(long number, Duration askedAt, Duration end) {
            this.number = number;
            this.requestedAt = askedAt;
            this.expiresAt = end;
        }
    }

    /** Leases asked for or held at once: asked again each third of a lease. */
    private static final int MAX_LEASES = 4;

    /** Buckets of a window; what shares a bucket with the window's start counts. */
    private static final int WINDOW_BUCKETS = 32;

    /**
     * Times what was wanted in the last window that is asked for: room to grow, as any ask is some
     * time on its way.
     */
    private static final double REQUEST_HEADROOM = 1.5;

    private final LeaseParameters parameters;
    private final int participants;
    private final boolean participating;
    private final List<Lease> leases = new ArrayList<>();
    private final SlidingWindowCounter admitted;
    private final SlidingWindowCounter demanded;
    private double inFlight;

    /** For a node whose parts are so many, and whether this router has one. */
    public ColdNodeQuota(LeaseParameters terms, int sharers, boolean drawn) {
        this.parameters = terms;
        this.participants = sharers;
        this.participating = drawn;
        this.admitted = new SlidingWindowCounter(terms.window(), WINDOW_BUCKETS);
        this.demanded = new SlidingWindowCounter(terms.window(), WINDOW_BUCKETS);
    }

    // ---- leases

    /**
     * How much to ask the keeper for now, under this number; zero where nothing is to be asked for.
     */
    public double requestAmount(Duration now, double budget, long number) {
        expire(now);
        Duration third = parameters.duration().dividedBy(3);
        boolean recent =
                leases.stream()
                        .anyMatch(lease -> now.minus(lease.requestedAt).compareTo(third) < 0);
        double want =
                Math.min(
                        REQUEST_HEADROOM * demanded.upperBoundSum(now, parameters.window())
                                - parameters.reservedQuota(budget, participants),
                        parameters.leasable(budget));
        if (!participating || recent || leases.size() >= MAX_LEASES || want <= 0) {
            return 0;
        }
        leases.add(new Lease(number, now, now.plus(parameters.duration())));
        return want;
    }

    public void onGrant(Duration now, long ofNumber, double amount) {
        expire(now);
        leases.stream()
                .filter(lease -> lease.number == ofNumber)
                .forEach(lease -> lease.amount = amount);
    }

    private void expire(Duration now) {
        leases.removeIf(lease -> isExpired(now, lease.expiresAt));
    }

    /** Past its end it is not used, whatever the keeper thinks of it. */
    protected boolean isExpired(Duration now, Duration end) {
        return now.compareTo(end) >= 0;
    }

    /** The rate of the largest lease held. */
    public double largestLease(Duration now) {
        expire(now);
        return leases.stream().mapToDouble(lease -> lease.amount).max().orElse(0);
    }

    // ---- sends

    /** What may still be checked now, with this budget of the node for a window that ends now. */
    public double available(Duration now, double budget) {
        if (!participating) {
            return 0;
        }
        double inWindow =
                parameters.reservedQuota(budget, participants)
                        + largestLease(now)
                        - admitted.upperBoundSum(now, parameters.window());
        return Math.max(
                0, Math.min(inWindow, parameters.inFlight(budget, participants) - inFlight));
    }

    /**
     * Takes so much and is true, if there is room for it; from then on it is under way until {@link
     * #out}.
     */
    public boolean tryAcquire(Duration now, double amount, double budget) {
        demanded.add(now, amount);
        if (available(now, budget) < amount) {
            return false;
        }
        admitted.add(now, amount);
        inFlight += amount;
        return true;
    }

    /** So much is sent, or never will be. */
    public void release(double amount) {
        inFlight = Math.max(0, inFlight - amount);
    }

    /** What is of no use any more: nothing under way, no lease, nothing in the window. */
    public boolean isIdle(Duration now) {
        expire(now);
        return inFlight == 0
                && leases.isEmpty()
                && demanded.upperBoundSum(now, parameters.window()) == 0;
    }

    String stateSummary(Duration now) {
        StringBuilder text =
                new StringBuilder()
                        .append(admitted.upperBoundSum(now, parameters.window()))
                        .append(' ')
                        .append(inFlight);
        leases.stream()
                .filter(lease -> !isExpired(now, lease.expiresAt))
                .forEach(
                        lease ->
                                text.append(' ')
                                        .append(lease.number)
                                        .append('=')
                                        .append(lease.amount)
                                        .append('/')
                                        .append(lease.expiresAt.minus(now)));
        return text.toString();
    }
}
