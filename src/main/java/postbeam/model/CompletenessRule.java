package postbeam.model;

import java.util.function.Predicate;

/**
 * Computes the weight of a query's requests when slices have been split or merged since the client
 * named them, so that requests and the client's slices no longer correspond.
 */
public interface CompletenessRule {
    /**
     * Returns the weight of the requests that match the condition, from 0 to {@link #totalWeight}.
     * All of it is counted in the slices of one layout.
     */
    double weight(Query query, Predicate<ShardRequest> condition);

    /** Returns the sum of the weights that the client stated. */
    double totalWeight();

    /**
     * Returns the number of weights that the client stated. Each of them adds a floating-point
     * error to sums.
     */
    int weightCount();
}
