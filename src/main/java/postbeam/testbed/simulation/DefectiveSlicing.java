package postbeam.testbed.simulation;

import java.util.function.Predicate;
import postbeam.model.CompletenessRule;
import postbeam.model.Query;
import postbeam.model.ShardRequest;
import postbeam.slices.KeyRangeRequest;
import postbeam.slices.Layout;
import postbeam.slices.LayoutCompleteness;
import postbeam.slices.SliceTranslator;

/** A router's slicing with one defect, which the referee must catch. */
public final class DefectiveSlicing extends SliceTranslator {
    /** What can be planted. */
    public enum Defect {
        /** A part of a slice that was re-cut begins with a clean past. */
        LINEAGE,
        /** It keeps its calls, but not that one of them may have run. */
        RESEND,
        /** Weights are added over the parts as they are, whichever layouts they come of. */
        MIXED_FLOOR,
        /** A layout that goes back is believed. */
        BACK
    }

    private final Defect defect;

    DefectiveSlicing(Defect defect) {
        this.defect = defect;
    }

    /** Null where nothing is planted. */
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
