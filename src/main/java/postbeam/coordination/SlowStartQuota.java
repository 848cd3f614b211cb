package postbeam.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import postbeam.model.SlidingWindowCounter;

/**
 * What one router may send one node that warms up: its part of the reserve, and the largest lease
 * that it holds, until that lease expires, counted from its request. Work that is acquired and not
 * yet released is in flight and limited too: a process that is stopped there sends it when it
 * wakes.
 *
 * <p>Not thread-safe; {@link StripedCoordinator} guards it by the stripe's lock.
 */
public class SlowStartQuota {
    /** A lease that was requested and, once its amount is above 0, granted. */
    private static final class Lease {
        final long requestNumber;
        final Duration requestedAt;

        /** Not used from here on. */
        final Duration expiresAt;

        double amount;

        Lease(long requestNumber, Duration requestedAt, Duration expiresAt) {
            this.requestNumber = requestNumber;
            this.requestedAt = requestedAt;
            this.expiresAt = expiresAt;
        }
    }

    /** At once: one is requested each third of a lease. */
    private static final int MAX_LEASES = 4;

    /** Of a window; what shares a bucket with the window's start counts. */
    private static final int WINDOW_BUCKETS = 32;

    /** Times the last window's demand: room to grow while a request is on its way. */
    private static final double REQUEST_HEADROOM = 1.5;

    private final LeaseParameters parameters;
    private final int participants;
    private final boolean participating;
    private final List<Lease> leases = new ArrayList<>();
    private final SlidingWindowCounter admitted;
    private final SlidingWindowCounter demanded;
    private double inFlight;

    /**
     * A quota of which nothing is used.
     *
     * @param participants how many routers share the node
     * @param participating whether this router is one of them
     */
    public SlowStartQuota(LeaseParameters parameters, int participants, boolean participating) {
        this.parameters = parameters;
        this.participants = participants;
        this.participating = participating;
        this.admitted = new SlidingWindowCounter(parameters.window(), WINDOW_BUCKETS);
        this.demanded = new SlidingWindowCounter(parameters.window(), WINDOW_BUCKETS);
    }

    // ---- leases

    /** How much to request from the leader now under this request number; 0 for no request. */
    public double requestAmount(Duration now, double budget, long requestNumber) {
        expire(now);
        double requested =
                Math.min(
                        REQUEST_HEADROOM * demanded.upperBoundSum(now, parameters.window())
                                - parameters.reservedQuota(budget, participants),
                        parameters.leasable(budget));
        if (!participating
                || hasRecentRequest(now)
                || leases.size() >= MAX_LEASES
                || requested <= 0) {
            return 0;
        }
        leases.add(new Lease(requestNumber, now, now.plus(parameters.leaseDuration())));
        return requested;
    }

    private boolean hasRecentRequest(Duration now) {
        Duration third = parameters.leaseDuration().dividedBy(3);
        return leases.stream().anyMatch(lease -> now.minus(lease.requestedAt).compareTo(third) < 0);
    }

    /** Takes the answer to the request with this number, if that has not expired. */
    public void onGrant(Duration now, long requestNumber, double amount) {
        expire(now);
        leases.stream()
                .filter(lease -> lease.requestNumber == requestNumber)
                .forEach(lease -> lease.amount = amount);
    }

    private void expire(Duration now) {
        leases.removeIf(lease -> isExpired(now, lease.expiresAt));
    }

    /** Past its end a lease is not used, whatever the leader thinks of it. */
    protected boolean isExpired(Duration now, Duration expiresAt) {
        return now.compareTo(expiresAt) >= 0;
    }

    /** Work in a window by the largest lease held; 0 without one. */
    public double largestLease(Duration now) {
        expire(now);
        return leases.stream().mapToDouble(lease -> lease.amount).max().orElse(0);
    }

    // ---- sends

    /**
     * How much may be acquired now.
     *
     * @param budget of the node for a window that ends now
     */
    public double available(Duration now, double budget) {
        if (!participating) {
            return 0;
        }
        double inWindow =
                parameters.reservedQuota(budget, participants)
                        + largestLease(now)
                        - admitted.upperBoundSum(now, parameters.window());
        double unsent = parameters.inFlightLimit(budget, participants) - inFlight;
        return Math.max(0, Math.min(inWindow, unsent));
    }

    /** Acquires so much if it is available; it is in flight until it is released. */
    public boolean tryAcquire(Duration now, double amount, double budget) {
        demanded.add(now, amount);
        if (available(now, budget) < amount) {
            return false;
        }
        admitted.add(now, amount);
        inFlight += amount;
        return true;
    }

    /** So much of what was acquired is sent, or never will be. */
    public void release(double amount) {
        inFlight = Math.max(0, inFlight - amount);
    }

    /** Whether it can be forgotten: nothing in flight, no lease, nothing in the window. */
    public boolean isIdle(Duration now) {
        expire(now);
        return inFlight == 0
                && leases.isEmpty()
                && demanded.upperBoundSum(now, parameters.window()) == 0;
    }

    /** All that its next steps depend on, with spans from now: equal ones go on alike. */
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
                                        .append(lease.requestNumber)
                                        .append('=')
                                        .append(lease.amount)
                                        .append('/')
                                        .append(lease.expiresAt.minus(now)));
        return text.toString();
    }
}
