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
    protected void inherit(KeyRangeRequest young, ShardRequest old) {
        if (defect == Defect.RESEND) {
            young.inheritAttempts(old);
        } else if (defect != Defect.LINEAGE) {
            super.inherit(young, old);
        }
    }

    @Override
    protected boolean isSuccessor(Layout held, Layout next) {
        return defect == Defect.BACK
                ? held == null || held.version != next.version
                : super.isSuccessor(held, next);
    }

    @Override
    protected CompletenessRule completenessRule(LayoutCompleteness completeness) {
        return defect == Defect.MIXED_FLOOR ? new Mixed(completeness) : completeness;
    }

    @Override
    public LayoutCompleteness completenessOf(Query query) {
        return query.completenessRule() instanceof Mixed mixed
                ? mixed.pin
                : super.completenessOf(query);
    }

    private record Mixed(LayoutCompleteness pin) implements CompletenessRule {
        @Override
        public double weight(Query query, Predicate<ShardRequest> which) {
            return query.shardRequests.stream()
                    .filter(which)
                    .mapToDouble(request -> request.weight)
                    .sum();
        }

        @Override
        public double totalWeight() {
            return pin.totalWeight();
        }

        @Override
        public int weightCount() {
            return pin.weightCount();
        }
    }
}
