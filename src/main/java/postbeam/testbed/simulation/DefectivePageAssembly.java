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
        /**
         * A range that was missing from a page continues at the position of the last row returned,
         * as if it had not been missing.
         */
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
            List<RangeProgress> progress,
            RowDistribution distribution,
            Defect defect) {
        super(order, size, progress, distribution);
        this.defect = defect;
    }

    /** Creates an assembler with the defect, or a correct one if the defect is null. */
    static PageAssembler of(
            SortOrder order,
            int size,
            List<RangeProgress> progress,
            RowDistribution distribution,
            Defect defect) {
        if (defect == null) {
            return new PageAssembler(order, size, progress, distribution);
        }
        return new DefectivePageAssembly(order, size, progress, distribution, defect);
    }

    @Override
    protected Comparator<RowPosition> mergeOrder(SortOrder order) {
        return (first, second) ->
                defect == Defect.TIES_BY_ARRIVAL
                        ? order.compare(withoutTieBreakers(first), withoutTieBreakers(second))
                        : order.compare(first, second);
    }

    private static RowPosition withoutTieBreakers(RowPosition position) {
        return new RowPosition(position.sortValues(), 0, 0);
    }

    @Override
    public RowPosition positionAfterPage(
            RangeProgress before, KeyRange keys, RowPosition fetched, RowPosition returned) {
        RowPosition position = super.positionAfterPage(before, keys, fetched, returned);
        return defect == Defect.SPLIT_SKIPS
                        && !keys.equals(before.range())
                        && fetched != null
                        && sortOrder().compare(fetched, position) > 0
                ? fetched
                : position;
    }

    @Override
    public RowPosition positionOfMissing(RowPosition before, RowPosition returned) {
        return defect == Defect.OWED_FORGOTTEN
                ? returned
                : super.positionOfMissing(before, returned);
    }

    @Override
    protected RowPosition mergeBound() {
        return defect == Defect.BOUND_PASSED ? null : super.mergeBound();
    }
}
