package postbeam.coordination;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/**
 * The stripes of one router, each guarded by its own lock (the {@link CoordinationStripe} object).
 * This is the only class of the package that several threads may call. No thread holds two of the
 * locks at the same time, or waits while it holds one. The clock is read under the lock, so that
 * the time of a stripe never goes back.
 */
public final class StripedCoordinator {
    private final CoordinationStripe[] stripes;
    private final Supplier<Duration> clock;

    /**
     * Creates the stripes.
     *
     * @param stripeFactory creates the stripe of a number from 0 to stripeCount - 1
     */
    public StripedCoordinator(
            int stripeCount,
            IntFunction<CoordinationStripe> stripeFactory,
            Supplier<Duration> clock) {
        this.stripes = new CoordinationStripe[stripeCount];
        for (int i = 0; i < stripeCount; i++) {
            stripes[i] = stripeFactory.apply(i);
        }
        this.clock = clock;
    }

    /** Creates the stripes with the parameters of the fleet. */
    public static StripedCoordinator of(
            int stripeCount,
            ProcessIdentity self,
            List<String> members,
            LeaseParameters leaseParameters,
            ElectionTimeouts electionTimeouts,
            Supplier<Duration> clock,
            Random random) {
        return new StripedCoordinator(
                stripeCount,
                stripe ->
                        new CoordinationStripe(
                                stripe,
                                self,
                                members,
                                leaseParameters,
                                electionTimeouts,
                                clock.get(),
                                new Random(random.nextLong())),
                clock);
    }

    /** An operation on a stripe that runs under the stripe's lock. */
    public interface StripeOperation<T> {
        /** Runs the operation; {@code now} was read under the lock. */
        T apply(Duration now, CoordinationStripe stripe);
    }

    /** Number of stripes. */
    public int stripeCount() {
        return stripes.length;
    }

    /** The stripe that a node belongs to, the same on all routers. */
    private int stripeOf(NodeIncarnation node) {
        int hash = node.name().hashCode();
        return Math.floorMod(hash ^ (hash >>> 16), stripes.length);
    }

    /**
     * Runs an operation on a stripe under its lock.
     *
     * @param stripe from 0 to {@link #stripeCount} - 1
     */
    public <T> T withStripe(int stripe, StripeOperation<T> operation) {
        synchronized (stripes[stripe]) {
            return operation.apply(clock.get(), stripes[stripe]);
        }
    }

    /**
     * See {@link CoordinationStripe#tryAcquire}.
     *
     * @param budget computes the node's budget at the time that was read under the lock
     */
    public boolean tryAcquire(
            NodeIncarnation node, double amount, Function<Duration, SlowStartBudget> budget) {
        return withStripe(
                stripeOf(node),
                (now, stripe) -> stripe.tryAcquire(now, node, amount, budget.apply(now)));
    }

    /**
     * See {@link CoordinationStripe#available}.
     *
     * @param budget computes the node's budget at the time that was read under the lock
     */
    public double available(NodeIncarnation node, Function<Duration, SlowStartBudget> budget) {
        return withStripe(
                stripeOf(node), (now, stripe) -> stripe.available(now, node, budget.apply(now)));
    }

    /** See {@link CoordinationStripe#release}. */
    public void release(NodeIncarnation node, double amount) {
        withStripe(
                stripeOf(node),
                (now, stripe) -> {
                    stripe.release(node, amount);
                    return null;
                });
    }
}
