package postbeam.rig;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import postbeam.errors.ExplainedException;
import postbeam.migration.Doing;
import postbeam.migration.Migration;
import postbeam.migration.MigrationBook;
import postbeam.migration.Migrations;
import postbeam.slices.Coordinator;
import postbeam.slices.Move;

/**
 * Members' migrations under load and troubles on the jumping clock, compared with what is known to
 * have run.
 */
final class MigrationTrial implements Trial {
    /** What can be planted. */
    enum Defect {
        /** The switch is over at once, whatever routers hold. */
        SWITCH_BEFORE_ALL_TOLD,
        /** Nothing is compared. */
        VERIFY_SKIPPED,
        /** After the switch the old holder takes over as it stands. */
        ROLLBACK_LOSES
    }

    /** An operator's order to a coordinator. */
    interface Ordered {
        List<Doing> give() throws ExplainedException;
    }

    /** Every so many seeds nothing goes wrong, for the figures. */
    private static final int CALM_EVERY = 50;

    @Override
    public String name() {
        return "migration";
    }

    @Override
    public String about() {
        return "members' migrations with holds under load, a coordinator, router or source killed"
                + " at each record in turn, two coordinators, rollback racing the switch, on a"
                + " clock that jumps";
    }

    @Override
    public List<String> defects() {
        return Stream.of(Defect.values())
                .map(one -> one.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .toList();
    }

    @Override
    public boolean jumps() {
        return true;
    }

    static Migrations planted(
            Defect defect, Coordinator coordinator, MigrationBook book, Duration now) {
        return defect == null
                ? new Migrations(coordinator, book, MigrationChief.LIMITS, now)
                : new Migrations(coordinator, book, MigrationChief.LIMITS, now) {
                    @Override
                    protected boolean verified(Migration one, Move move) {
                        return defect == Defect.VERIFY_SKIPPED
                                || defect == Defect.ROLLBACK_LOSES && one.rollbackWhy() != null
                                || super.verified(one, move);
                    }

                    @Override
                    protected boolean allTold(long version, Duration at) {
                        return defect == Defect.SWITCH_BEFORE_ALL_TOLD
                                || super.allTold(version, at);
                    }
                };
    }

    @Override
    public Result run(long seed, String defect) {
        return world(seed, defect).run();
    }

    MigrationWorld world(long seed, String defect) {
        Defect planted =
                defect == null
                        ? null
                        : Defect.valueOf(defect.toUpperCase(Locale.ROOT).replace('-', '_'));
        return new MigrationWorld(seed, planted, seed % CALM_EVERY != 0);
    }
}
