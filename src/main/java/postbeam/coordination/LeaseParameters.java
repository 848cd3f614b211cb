package postbeam.coordination;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;

/**
 * What all routers must agree on for leases of a cold node's budget; the letters are those of
 * docs/together.md.
 *
 * @param use u: how long a router may use a lease, from when it asked for it
 * @param window w: in which the rule counts what a cold node is sent
 * @param drift d: what two clocks may differ by over the longest span here
 * @param reserved s: share of each budget that is never leased; a router that hears nothing has its
 *     part of it
 * @param underWay k: share of each budget for what is checked and not yet out, as when a process is
 *     stopped there
 * @param shares what the reserve is divided by: all routers that are, and that may be before all
 *     know of new terms
 * @param callMost the largest leaf call's work, in the budget's unit
 */
public record LeaseParameters(
        Duration duration,
        Duration window,
        Duration maxClockDrift,
        double reservedFraction,
        double inFlight,
        int maxRouters,
        double maxAttemptWork) {
    public LeaseParameters {
        if (reservedFraction <= 0
                || inFlight <= 0
                || reservedFraction + inFlight >= 1
                || maxRouters < 1
                || maxAttemptWork < 0
                || duration.isNegative()
                || duration.isZero()
                || window.isNegative()
                || maxClockDrift.isNegative()) {
            throw new IllegalArgumentException(
                    "terms of leases can't be used: reserved "
                            + reservedFraction
                            + ", under way "
                            + inFlight
                            + ", shares "
                            + maxRouters
                            + ", largest call "
                            + maxAttemptWork
                            + ", use "
                            + duration
                            + ", window "
                            + window
                            + ", drift "
                            + maxClockDrift);
        }
    }

    /**
     * How long the keeper counts a lease, from when it granted it. What is used at the last moment
     * counts in windows that reach so much further, and the grant came after the question. A keeper
     * new in office grants nothing for as long: by then all is past that others can have granted.
     */
    public Duration countedFor() {
        return duration.plus(window).plus(maxClockDrift);
    }

    /** Of a budget, what the keeper may lease out. */
    public double leasable(double budget) {
        return budget * (1 - reservedFraction - inFlight);
    }

    /** Of a budget, what each of so many may use whatever it hears. */
    public double reservedQuota(double budget, int sharers) {
        return budget * reservedFraction / sharers;
    }

    /** Of a budget, what each of so many may have checked and not yet sent. */
    public double inFlight(double budget, int sharers) {
        return budget * inFlight / sharers;
    }

    /**
     * What the parts of a node are divided by whose budget begins with this: a part that holds no
     * leaf call helps nobody, so where there is too little for all, fewer share it.
     */
    public int participants(double firstBudget) {
        return maxAttemptWork <= 0
                ? maxRouters
                : (int)
                        Math.min(
                                maxRouters,
                                Math.max(
                                        2,
                                        Math.floor(
                                                firstBudget * inFlight / maxAttemptWork + 1e-9)));
    }

    /**
     * Whether this router is one of those that share the node: the same lot for all who know the
     * same names. One fewer than the parts are drawn, so that two lists that differ in one name
     * together draw no more than there are parts.
     */
    public boolean participates(
            NodeIncarnation node, String router, List<String> routers, int sharers) {
        return sharers >= routers.size() && sharers >= maxRouters
                || routers.stream()
                        .sorted(
                                Comparator.<String>comparingLong(name -> rank(node, name))
                                        .thenComparing(name -> name))
                        .limit(sharers - 1)
                        .anyMatch(router::equals);
    }

    private static long rank(NodeIncarnation node, String router) {
        try {
            return ByteBuffer.wrap(
                            MessageDigest.getInstance("SHA-256")
                                    .digest(
                                            (node.node()
                                                            + "\n"
                                                            + node.incarnation()
                                                            + "\n"
                                                            + router)
                                                    .getBytes(StandardCharsets.UTF_8)))
                    .getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java has SHA-256", e);
        }
    }
}
