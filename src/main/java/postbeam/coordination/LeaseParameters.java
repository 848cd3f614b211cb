package postbeam.coordination;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;

/**
 * The parameters for leases of the budget of a node that warms up, which must be the same on all
 * routers. The letters are those of docs/together.md.
 *
 * @param leaseDuration u: how long a router may use a lease, counted from its request
 * @param window w: the sliding time window in which the work sent to such a node is limited
 * @param maxClockDrift d: the most that two clocks may diverge over the longest of these times
 * @param reservedFraction s: the fraction of each budget that is never leased; a router that can't
 *     reach a leader may still use its part of it
 * @param inFlightFraction k: the fraction of each budget for work that is acquired and not yet
 *     sent, as a process may be suspended in between
 * @param maxRouters the number that the reserve is divided by: all routers, including those that
 *     may be added before every router has new parameters
 * @param maxAttemptWork the work of the largest attempt, in the unit of the budget
 */
public record LeaseParameters(
        Duration leaseDuration,
        Duration window,
        Duration maxClockDrift,
        double reservedFraction,
        double inFlightFraction,
        int maxRouters,
        double maxAttemptWork) {
    /** {@link #participates} selects one router fewer, which leaves at least one. */
    private static final int MIN_PARTICIPANTS = 2;

    /** Prevents a quotient that is an integer but for rounding errors from being rounded down. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /**
     * Checks the parameters.
     *
     * @throws IllegalArgumentException if they can't be used; the message has all of them
     */
    public LeaseParameters {
        if (reservedFraction <= 0
                || inFlightFraction <= 0
                || reservedFraction + inFlightFraction >= 1
                || maxRouters < 1
                || maxAttemptWork < 0
                || leaseDuration.isNegative()
                || leaseDuration.isZero()
                || window.isNegative()
                || maxClockDrift.isNegative()) {
            throw new IllegalArgumentException(
                    "lease parameters must satisfy reserved > 0, in flight > 0, reserved + in"
                            + " flight < 1, maximum of routers >= 1, largest attempt >= 0,"
                            + " duration > 0, window >= 0 and clock drift >= 0, but reserved is "
                            + reservedFraction
                            + ", in flight "
                            + inFlightFraction
                            + ", maximum of routers "
                            + maxRouters
                            + ", largest attempt "
                            + maxAttemptWork
                            + ", duration "
                            + leaseDuration
                            + ", window "
                            + window
                            + " and clock drift "
                            + maxClockDrift);
        }
    }

    /**
     * How long a leader counts a lease against the budget, from when it granted the lease. Work
     * that is sent at the end of the lease is counted in windows that end up to one window later,
     * and the requester's lease began before the grant, with its request. A new leader grants
     * nothing for the same time; by then all leases of earlier leaders are over.
     */
    public Duration leaseRetention() {
        return leaseDuration.plus(window).plus(maxClockDrift);
    }

    /** The part of a budget that a leader may lease. */
    public double leasable(double budget) {
        return budget * (1 - reservedFraction - inFlightFraction);
    }

    /** The work in a window that each participant may send without a lease. */
    public double reservedQuota(double budget, int participants) {
        return budget * reservedFraction / participants;
    }

    /** The work that each participant may have acquired and not yet sent. */
    public double inFlightLimit(double budget, int participants) {
        return budget * inFlightFraction / participants;
    }

    /**
     * The number of routers that share a node whose budget starts at this amount: at most so many
     * that the largest attempt fits into each one's in-flight limit, but at least two.
     */
    public int participants(double initialBudget) {
        if (maxAttemptWork <= 0) {
            return maxRouters;
        }
        double maxParticipants =
                Math.floor(initialBudget * inFlightFraction / maxAttemptWork + ROUNDING_TOLERANCE);
        return (int) Math.min(maxRouters, Math.max(MIN_PARTICIPANTS, maxParticipants));
    }

    /**
     * Whether this router is one of those that share the node. The result is the same on all
     * routers that know the same list of routers. If not all routers can share the node, one fewer
     * than {@code participants} are selected, so that two lists that differ in one name together
     * select at most {@code participants}.
     */
    public boolean participates(
            NodeIncarnation node, String router, List<String> routers, int participants) {
        if (participants >= routers.size() && participants >= maxRouters) {
            return true;
        }
        return routers.stream()
                .sorted(
                        Comparator.<String>comparingLong(name -> rank(node, name))
                                .thenComparing(name -> name))
                .limit(participants - 1)
                .anyMatch(router::equals);
    }

    private static long rank(NodeIncarnation node, String router) {
        String text = node.name() + "\n" + node.incarnation() + "\n" + router;
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(
                    "this Java platform lacks SHA-256, which every Java platform must provide", e);
        }
    }
}
