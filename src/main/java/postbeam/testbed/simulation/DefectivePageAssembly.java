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

/** A page assembler with one planted defect, which the trial must detect. */
public final class DefectivePageAssembly extends PageAssembler {
    /** The defects that can be planted. */
    public enum Defect {
        /** Rows with equal sort values are ordered by the arrival of their partial pages. */
        TIES_BY_ARRIVAL,
        /**
         * A range whose slice was split continues after the last row fetched, not the last row
         * returned.
         */
        SPLIT_SKIPS,
        /** A range that was missing from a page continues at the position of the others. */
        OWED_FORGOTTEN,
        /** Rows are returned although a truncated partial page may have earlier ones. */
        BOUND_PASSED,
        /** Partial pages whose rows are out of order are merged. */
        SPOILT_MERGED;

        /** Returns the name of the defect as an argument of the trial. */
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

    /** Creates an assembler with the defect, or a correct one if the defect is null. */
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
