package postbeam.coordination;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;

/**
 * What all routers must agree on for leases of the budget of a node that warms up; the letters are
 * those of docs/together.md.
 *
 * @param leaseDuration u: how long a router may use a lease, from when it requested it
 * @param window w: the span in which the rule counts what such a node is sent
 * @param maxClockDrift d: what two clocks may differ by over the longest span here
 * @param reservedFraction s: fraction of each budget that is never leased; a router that hears
 *     nothing has its part of it
 * @param inFlightFraction k: fraction of each budget for work that is acquired and not yet sent, as when a
 *     process is stopped there
 * @param maxRouters what the reserve is divided by: all routers that are, and that may be before
 *     all know of new parameters
 * @param maxAttemptWork the largest attempt's work, in the budget's unit
 */
public record LeaseParameters(
        Duration leaseDuration,
        Duration window,
        Duration maxClockDrift,
        double reservedFraction,
        double inFlightFraction,
        int maxRouters,
        double maxAttemptWork) {
    private static final int MIN_PARTICIPANTS = 2;

    /** Keeps a quotient that is a whole number from being rounded down. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** Checks the parameters; an IllegalArgumentException states them where they can't be used. */
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
                    "lease parameters can't be used: reserved "
                            + reservedFraction
                            + ", in flight "
                            + inFlightFraction
                            + ", most routers "
                            + maxRouters
                            + ", largest attempt "
                            + maxAttemptWork
                            + ", duration "
                            + leaseDuration
                            + ", window "
                            + window
                            + ", clock drift "
                            + maxClockDrift);
        }
    }

    /**
     * How long a leader counts a lease, from when it granted it: what is used at the last moment
     * counts in windows that reach so much further, and the grant came after the request. A new
     * leader grants nothing for as long: by then all is past that its predecessors can have
     * granted.
     */
    public Duration leaseRetention() {
        return leaseDuration.plus(window).plus(maxClockDrift);
    }

    /** What a leader may lease out of a budget. */
    public double leasable(double budget) {
        return budget * (1 - reservedFraction - inFlightFraction);
    }

    /** What each of so many participants may use of a budget without a lease. */
    public double reservedQuota(double budget, int participants) {
        return budget * reservedFraction / participants;
    }

    /** What each of so many participants may have acquired of a budget and not yet sent. */
    public double inFlightLimit(double budget, int participants) {
        return budget * inFlightFraction / participants;
    }

    /**
     * How many routers share a node whose budget begins with this: no more than get a part that an
     * attempt fits into.
     */
    public int participants(double initialBudget) {
        if (maxAttemptWork <= 0) {
            return maxRouters;
        }
        double parts = Math.floor(initialBudget * inFlightFraction / maxAttemptWork + ROUNDING_TOLERANCE);
        return (int) Math.min(maxRouters, Math.max(MIN_PARTICIPANTS, parts));
    }

    /**
     * Whether this router is one of those that share the node, the same for all who know the same
     * names. One fewer than the participants take part, so that two lists which differ in one name
     * together never have more than that.
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
            throw new AssertionError("every Java has SHA-256", e);
        }
    }
}
