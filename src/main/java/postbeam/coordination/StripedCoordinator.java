package postbeam.coordination;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/**
 * The stripes of one router, each guarded by its own lock (the {@link CoordinationStripe} itself):
 * the one class of this package that several threads may call. No thread holds two of the locks at
 * once, or one while it waits. The clock is read under the lock, so that a stripe's time never goes
 * back.
 */
public final class StripedCoordinator {
    private final CoordinationStripe[] stripes;
    private final Supplier<Duration> clock;

    /** Creates so many stripes. */
    public StripedCoordinator(
            int stripeCount, IntFunction<CoordinationStripe> stripeFactory, Supplier<Duration> clock) {
        this.stripes = new CoordinationStripe[stripeCount];
        for (int i = 0; i < stripeCount; i++) {
            stripes[i] = stripeFactory.apply(i);
        }
        this.clock = clock;
    }

    /** Creates so many stripes by the fleet's parameters. */
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

    /** What is done with a stripe under its lock. */
    public interface StripeOperation<T> {
        /** Does it, at a time that was read under the lock. */
        T apply(Duration now, CoordinationStripe stripe);
    }

    /** How many stripes there are. */
    public int stripeCount() {
        return stripes.length;
    }

    /** The stripe of a node, the same on all routers. */
    private int stripeOf(NodeIncarnation node) {
        int hash = node.name().hashCode();
        return Math.floorMod(hash ^ (hash >>> 16), stripes.length);
    }

    /**
     * Does something with a stripe under its lock.
     *
     * @param stripe from 0 to {@link #stripeCount} - 1
     */
    public <T> T withStripe(int stripe, StripeOperation<T> operation) {
        synchronized (stripes[stripe]) {
            return operation.apply(clock.get(), stripes[stripe]);
        }
    }

    /** See {@link CoordinationStripe#tryAcquire}; the budget is that at the stripe's time. */
    public boolean tryAcquire(
            NodeIncarnation node, double amount, Function<Duration, SlowStartBudget> budget) {
        return withStripe(
                stripeOf(node),
                (now, stripe) -> stripe.tryAcquire(now, node, amount, budget.apply(now)));
    }

    /** See {@link CoordinationStripe#available}; the budget is that at the stripe's time. */
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
