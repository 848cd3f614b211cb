package postbeam.testbed.simulation;

import java.util.function.Predicate;
import postbeam.model.CompletenessRule;
import postbeam.model.Query;
import postbeam.model.ShardRequest;
import postbeam.slices.KeyRangeRequest;
import postbeam.slices.Layout;
import postbeam.slices.LayoutCompleteness;
import postbeam.slices.SliceTranslator;

/** A slice translator with one planted defect, which the invariant checker must detect. */
public final class DefectiveSlicing extends SliceTranslator {
    /** The defects that can be planted. */
    public enum Defect {
        /**
         * A shard request for a slice that was split or merged inherits nothing from its
         * predecessor.
         */
        LINEAGE,
        /**
         * A shard request inherits the attempts of its predecessor, but not the fact that one may
         * have run.
         */
        RESEND,
        /**
         * Weights of shard requests are summed as they are, even if they stem from different
         * layouts.
         */
        MIXED_FLOOR,
        /** A layout with an older version than the current one is accepted. */
        BACK
    }

    private final Defect defect;

    DefectiveSlicing(Defect defect) {
        this.defect = defect;
    }

    /** Creates a translator with the defect, or a correct one if the defect is null. */
    public static SliceTranslator of(Defect defect) {
        return defect == null ? new SliceTranslator() : new DefectiveSlicing(defect);
    }

    @Override
    protected void inherit(KeyRangeRequest successor, ShardRequest predecessor) {
        if (defect == Defect.RESEND) {
            successor.inheritAttempts(predecessor);
        } else if (defect != Defect.LINEAGE) {
            super.inherit(successor, predecessor);
        }
    }

    @Override
    protected boolean isSuccessor(Layout current, Layout next) {
        return defect == Defect.BACK
                ? current == null || current.version != next.version
                : super.isSuccessor(current, next);
    }

    @Override
    protected CompletenessRule completenessRule(LayoutCompleteness completeness) {
        return defect == Defect.MIXED_FLOOR ? new UnscaledWeights(completeness) : completeness;
    }

    @Override
    public LayoutCompleteness completenessOf(Query query) {
        return query.completenessRule() instanceof UnscaledWeights mixed
                ? mixed.completeness
                : super.completenessOf(query);
    }

    private record UnscaledWeights(LayoutCompleteness completeness) implements CompletenessRule {
        @Override
        public double weight(Query query, Predicate<ShardRequest> filter) {
            return query.shardRequests.stream()
                    .filter(filter)
                    .mapToDouble(request -> request.weight)
                    .sum();
        }

        @Override
        public double totalWeight() {
            return completeness.totalWeight();
        }

        @Override
        public int weightCount() {
            return completeness.weightCount();
        }
    }
}
