package postbeam.rig;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import postbeam.pages.Assembly;
import postbeam.pages.Mark;
import postbeam.pages.Order;
import postbeam.pages.Shares;
import postbeam.pages.Standing;
import postbeam.slices.KeyRange;

/** Pages with a defect put in, to show that trials catch it. */
final class PlantedPages extends Assembly {
    enum Defect {
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

        String spelt() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    private final Defect defect;

    private PlantedPages(
            Order order, int size, List<Standing> standings, Shares shares, Defect defect) {
        super(order, size, standings, shares);
        this.defect = defect;
    }

    /** Sound where the defect is null. */
    static Assembly of(
            Order order, int size, List<Standing> standings, Shares shares, Defect defect) {
        if (defect == null) {
            return new Assembly(order, size, standings, shares);
        }
        return new PlantedPages(order, size, standings, shares, defect);
    }

    @Override
    protected Comparator<Mark> merging(Order by) {
        return (one, other) ->
                defect == Defect.TIES_BY_ARRIVAL
                        ? by.compare(bare(one), bare(other))
                        : by.compare(one, other);
    }

    private static Mark bare(Mark mark) {
        return new Mark(mark.sort(), 0, 0);
    }

    @Override
    protected Mark standsAt(Standing before, KeyRange keys, Mark reached, Mark given) {
        Mark stands = super.standsAt(before, keys, reached, given);
        return defect == Defect.SPLIT_SKIPS
                        && !keys.equals(before.keys())
                        && reached != null
                        && order().compare(reached, stands) > 0
                ? reached
                : stands;
    }

    @Override
    protected Mark owes(Mark before, Mark given) {
        return defect == Defect.OWED_FORGOTTEN ? given : super.owes(before, given);
    }

    @Override
    protected Mark bound() {
        return defect == Defect.BOUND_PASSED ? null : super.bound();
    }
}
