package postbeam.testbed.fakes;

import java.util.Comparator;

/**
 * The place of an order among all orders of the layout service: by term, then by its number in the
 * term.
 */
public record OrderNumber(long term, long number) implements Comparable<OrderNumber> {
    /** Stands for the number of an order without one, and is below all others. */
    public static final OrderNumber NONE = new OrderNumber(0, 0);

    private static final Comparator<OrderNumber> ORDER =
            Comparator.comparingLong(OrderNumber::term).thenComparingLong(OrderNumber::number);

    @Override
    public int compareTo(OrderNumber other) {
        return ORDER.compare(this, other);
    }

    /** Returns the higher one of two. */
    static OrderNumber max(OrderNumber one, OrderNumber other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
