package postbeam.model;

import java.util.function.Predicate;

/**
 * How the weight of a query's requests counts where slices were re-cut since the client named them.
 */
public interface CompletenessRule {
    /**
     * The weight of such requests, against one layout that the query may be held against; 0 to 1.
     */
    double weight(Query query, Predicate<ShardRequest> which);
}
