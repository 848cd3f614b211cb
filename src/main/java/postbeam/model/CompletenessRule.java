package postbeam.model;

import java.util.function.Predicate;

/**
 * Rule for the weight of a query's requests after slices were split or merged since the client
 * named them.
 */
public interface CompletenessRule {
    /**
     * The weight, from 0 to {@link #totalWeight}, of the requests that match, in terms of one
     * layout.
     */
    double weight(Query query, Predicate<ShardRequest> condition);

    /** The sum of the weights that the client named. */
    double totalWeight();

    /** How many weights the client named: each adds a floating-point error to sums. */
    int weightCount();
}
