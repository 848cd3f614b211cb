package postbeam.testbed.simulation;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import postbeam.pages.PageAssembler;
import postbeam.pages.RangeProgress;
import postbeam.pages.RowDistribution;
import postbeam.pages.RowPosition;
import postbeam.pages.SortOrder;
import postbeam.slices.KeyRange;

/** Pages with a defect put in, to show that trials catch it. */
public final class DefectivePageAssembly extends PageAssembler {
    /** The defects; each must be caught by the trial. */
    public enum Defect {
        /** Rows that are alike in their sort keys come as their parts came. */
        TIES_BY_ARRIVAL,
        /**
         * A range whose slice was cut goes on from what was fetched of it, not from what was given.
         */
        SPLIT_SKIPS,
        /** A range that was missing goes on with the others. */
        OWED_FORGOTTEN,
        /** Rows are given though a part that ran out may have earlier ones. */
        BOUND_PASSED,
        /** Rows out of order are merged. */
        SPOILT_MERGED;

        /** The defect, as the trial takes it as an argument. */
        public String argumentName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    private final Defect defect;

    private DefectivePageAssembly(
            SortOrder order,
            int size,
            List<RangeProgress> standings,
            RowDistribution shares,
            Defect defect) {
        super(order, size, standings, shares);
        this.defect = defect;
    }

    /** Sound where the defect is null. */
    static PageAssembler of(
            SortOrder order,
            int size,
            List<RangeProgress> standings,
            RowDistribution shares,
            Defect defect) {
        if (defect == null) {
            return new PageAssembler(order, size, standings, shares);
        }
        return new DefectivePageAssembly(order, size, standings, shares, defect);
    }

    @Override
    protected Comparator<RowPosition> mergeOrder(SortOrder by) {
        return (one, other) ->
                defect == Defect.TIES_BY_ARRIVAL
                        ? by.compare(bare(one), bare(other))
                        : by.compare(one, other);
    }

    private static RowPosition bare(RowPosition mark) {
        return new RowPosition(mark.sortValues(), 0, 0);
    }

    @Override
    public RowPosition positionAfterPage(
            RangeProgress before, KeyRange keys, RowPosition reached, RowPosition given) {
        RowPosition stands = super.positionAfterPage(before, keys, reached, given);
        return defect == Defect.SPLIT_SKIPS
                        && !keys.equals(before.range())
                        && reached != null
                        && sortOrder().compare(reached, stands) > 0
                ? reached
                : stands;
    }

    @Override
    public RowPosition positionOfMissing(RowPosition before, RowPosition given) {
        return defect == Defect.OWED_FORGOTTEN ? given : super.positionOfMissing(before, given);
    }

    @Override
    protected RowPosition mergeBound() {
        return defect == Defect.BOUND_PASSED ? null : super.mergeBound();
    }
}
