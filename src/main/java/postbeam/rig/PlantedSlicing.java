package postbeam.rig;

import java.util.function.Predicate;
import postbeam.slices.Layout;
import postbeam.slices.Piece;
import postbeam.slices.Pin;
import postbeam.slices.Slicing;
import postbeam.state.Counting;
import postbeam.state.Part;
import postbeam.state.Query;

/** A router's slicing with one defect, which the referee must catch. */
final class PlantedSlicing extends Slicing {
    /** What can be planted. */
    enum Defect {
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

    PlantedSlicing(Defect defect) {
        this.defect = defect;
    }

    /** Null where nothing is planted. */
    static Slicing of(Defect defect) {
        return defect == null ? new Slicing() : new PlantedSlicing(defect);
    }

    @Override
    protected void inherit(Piece young, Part old) {
        if (defect == Defect.RESEND) {
            young.calls.addAll(old.calls);
        } else if (defect != Defect.LINEAGE) {
            super.inherit(young, old);
        }
    }

    @Override
    protected boolean follows(Layout held, Layout next) {
        return defect == Defect.BACK
                ? held == null || held.version != next.version
                : super.follows(held, next);
    }

    @Override
    protected Counting pin(Pin pin) {
        return defect == Defect.MIXED_FLOOR ? new Mixed(pin) : pin;
    }

    @Override
    public Pin pinOf(Query query) {
        return query.completenessRule() instanceof Mixed mixed ? mixed.pin : super.pinOf(query);
    }

    private record Mixed(Pin pin) implements Counting {
        @Override
        public double weight(Query query, Predicate<Part> which) {
            return query.parts.stream().filter(which).mapToDouble(part -> part.weight).sum();
        }
    }
}
