package postbeam.model;

import java.util.function.Predicate;

/**
 * How the weight of a query's parts counts where their slices were re-cut since the client named
 * them.
 */
public interface CompletenessRule {
    /**
     * The weight that such parts make together, against one layout that the query may be held
     * against.
     */
    double weight(Query query, Predicate<ShardRequest> which);
}
