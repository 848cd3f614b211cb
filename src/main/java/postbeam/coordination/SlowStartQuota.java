package postbeam.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import postbeam.model.SlidingWindowCounter;

/**
 * The work that one router may send one node that warms up, in any window: its part of the reserve
 * and the largest unexpired lease that it holds. Work that is acquired and not yet released is in
 * flight, and is limited as well: a process that is suspended in between sends it when it resumes,
 * possibly after its lease has expired.
 *
 * <p>Not thread-safe; {@link StripedCoordinator} guards it with the stripe's lock.
 */
public class SlowStartQuota {
    /** A requested lease; it is granted once its amount is above 0. */
    private static final class Lease {
        final long requestNumber;
        final Duration requestedAt;

        /** The lease may not be used from this time on. */
        final Duration expiresAt;

        double amount;

        Lease(long requestNumber, Duration requestedAt, Duration expiresAt) {
            this.requestNumber = requestNumber;
            this.requestedAt = requestedAt;
            this.expiresAt = expiresAt;
        }
    }

    /**
     * Maximum number of leases at the same time; one is requested every third of a lease's
     * duration.
     */
    private static final int MAX_LEASES = 4;

    /**
     * Number of buckets that a window is divided into; the bucket in which the window starts is
     * counted as a whole.
     */
    private static final int WINDOW_BUCKETS = 32;

    /**
     * The requested lease amount as a multiple of the last window's demand, so that demand can grow
     * meanwhile.
     */
    private static final double REQUEST_HEADROOM = 1.5;

    private final LeaseParameters parameters;
    private final int participants;
    private final boolean participating;
    private final List<Lease> leases = new ArrayList<>();

    /** Work that callers acquired within the window. */
    private final SlidingWindowCounter admitted;

    /** Work that callers tried to acquire within the window, whether it was available or not. */
    private final SlidingWindowCounter demanded;

    /** Work that was acquired and not yet released. */
    private double inFlight;

    /**
     * Creates an unused quota.
     *
     * @param participants number of routers that share the node
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

    /**
     * The amount to request from the leader now under this request number, recorded as requested; 0
     * if no request is due.
     */
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
        Duration minInterval = parameters.leaseDuration().dividedBy(3);
        return leases.stream()
                .anyMatch(lease -> now.minus(lease.requestedAt).compareTo(minInterval) < 0);
    }

    /** Handles the response to a request; it is ignored if the requested lease has expired. */
    public void onGrant(Duration now, long requestNumber, double amount) {
        expire(now);
        leases.stream()
                .filter(lease -> lease.requestNumber == requestNumber)
                .forEach(lease -> lease.amount = amount);
    }

    private void expire(Duration now) {
        leases.removeIf(lease -> isExpired(now, lease.expiresAt));
    }

    /** Whether a lease has expired by this router's clock, however long the leader counts it. */
    protected boolean isExpired(Duration now, Duration expiresAt) {
        return now.compareTo(expiresAt) >= 0;
    }

    /** The amount of the largest unexpired lease; 0 if there is none. */
    public double largestLease(Duration now) {
        expire(now);
        return leases.stream().mapToDouble(lease -> lease.amount).max().orElse(0);
    }

    // ---- acquire and release work

    /**
     * The work that may be acquired now.
     *
     * @param budget the node's budget for a window that ends now
     */
    public double available(Duration now, double budget) {
        if (!participating) {
            return 0;
        }
        double remainingInWindow =
                parameters.reservedQuota(budget, participants)
                        + largestLease(now)
                        - admitted.upperBoundSum(now, parameters.window());
        double remainingInFlight = parameters.inFlightLimit(budget, participants) - inFlight;
        return Math.max(0, Math.min(remainingInWindow, remainingInFlight));
    }

    /** Acquires the amount if it is available; it is in flight until {@link #release}. */
    public boolean tryAcquire(Duration now, double amount, double budget) {
        demanded.add(now, amount);
        if (available(now, budget) < amount) {
            return false;
        }
        admitted.add(now, amount);
        inFlight += amount;
        return true;
    }

    /** Releases acquired work that has been sent or will not be sent. */
    public void release(double amount) {
        inFlight = Math.max(0, inFlight - amount);
    }

    /**
     * Whether this quota can be discarded: no work in flight, no lease and no demand in the window.
     */
    public boolean isIdle(Duration now) {
        expire(now);
        return inFlight == 0
                && leases.isEmpty()
                && demanded.upperBoundSum(now, parameters.window()) == 0;
    }

    /**
     * Encodes the state that determines the later behaviour, with times relative to {@code now}:
     * two quotas with equal summaries behave alike from here on.
     */
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
