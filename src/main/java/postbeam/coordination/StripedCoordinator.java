package postbeam.coordination;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/**
 * The stripes of one router, each under its own lock: the one place of this package that several
 * threads enter. No two locks are held at once, and none while anything waits. The clock is read
 * under the lock, so that a stripe's time never goes back.
 */
public final class StripedCoordinator {
    private final CoordinationStripe[] stripes;
    private final Supplier<Duration> clock;

    public StripedCoordinator(
            int count, IntFunction<CoordinationStripe> stripe, Supplier<Duration> clock) {
        this.stripes = new CoordinationStripe[count];
        for (int i = 0; i < count; i++) {
            stripes[i] = stripe.apply(i);
        }
        this.clock = clock;
    }

    /** As a router has them from its terms. */
    public static StripedCoordinator of(
            int count,
            ProcessIdentity self,
            List<String> fleet,
            LeaseParameters terms,
            ElectionTimeouts offices,
            Supplier<Duration> clock,
            Random chance) {
        return new StripedCoordinator(
                count,
                i ->
                        new CoordinationStripe(
                                i,
                                self,
                                fleet,
                                terms,
                                offices,
                                clock.get(),
                                new Random(chance.nextLong())),
                clock);
    }

    /** What is done with a stripe at a time that was read under its lock. */
    public interface StripeOperation<T> {
        T apply(Duration now, CoordinationStripe stripe);
    }

    public int count() {
        return stripes.length;
    }

    public int of(String node) {
        int hash = node.hashCode();
        return Math.floorMod(hash ^ hash >>> 16, stripes.length);
    }

    public <T> T withStripe(int stripe, StripeOperation<T> turn) {
        synchronized (stripes[stripe]) {
            return turn.apply(clock.get(), stripes[stripe]);
        }
    }

    public boolean tryAcquire(
            NodeIncarnation node, double amount, Function<Duration, SlowStartBudget> budget) {
        return withStripe(
                of(node.node()),
                (now, stripe) -> stripe.tryAcquire(now, node, amount, budget.apply(now)));
    }

    public double available(NodeIncarnation node, Function<Duration, SlowStartBudget> budget) {
        return withStripe(
                of(node.node()), (now, stripe) -> stripe.available(now, node, budget.apply(now)));
    }

    public void release(NodeIncarnation node, double amount) {
        withStripe(
                of(node.node()),
                (now, stripe) -> {
                    stripe.release(node, amount);
                    return null;
                });
    }
}
