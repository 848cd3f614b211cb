package postbeam.shared;

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
public final class Stripes {
    private final Stripe[] stripes;
    private final Supplier<Duration> clock;

    public Stripes(int count, IntFunction<Stripe> stripe, Supplier<Duration> clock) {
        this.stripes = new Stripe[count];
        for (int i = 0; i < count; i++) {
            stripes[i] = stripe.apply(i);
        }
        this.clock = clock;
    }

    /** As a router has them from its terms. */
    public static Stripes of(
            int count,
            Who self,
            List<String> fleet,
            LeaseTerms terms,
            OfficeTerms offices,
            Supplier<Duration> clock,
            Random chance) {
        return new Stripes(
                count,
                i ->
                        new Stripe(
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
    public interface Turn<T> {
        T at(Duration now, Stripe stripe);
    }

    public int count() {
        return stripes.length;
    }

    public int of(String node) {
        int hash = node.hashCode();
        return Math.floorMod(hash ^ hash >>> 16, stripes.length);
    }

    public <T> T on(int stripe, Turn<T> turn) {
        synchronized (stripes[stripe]) {
            return turn.at(clock.get(), stripes[stripe]);
        }
    }

    public boolean take(NodeKey node, double amount, Function<Duration, Budget> budget) {
        return on(
                of(node.node()),
                (now, stripe) -> stripe.take(now, node, amount, budget.apply(now)));
    }

    public double room(NodeKey node, Function<Duration, Budget> budget) {
        return on(of(node.node()), (now, stripe) -> stripe.room(now, node, budget.apply(now)));
    }

    public void out(NodeKey node, double amount) {
        on(
                of(node.node()),
                (now, stripe) -> {
                    stripe.out(node, amount);
                    return null;
                });
    }
}
