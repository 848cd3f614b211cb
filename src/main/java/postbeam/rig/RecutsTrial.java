package postbeam.rig;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * Re-cuts under load and troubles on the jumping clock: fast, so that many seeds meet rare things.
 */
final class RecutsTrial implements Trial {
    @Override
    public String name() {
        return "recuts";
    }

    @Override
    public String about() {
        return "slices split, merge and move under load and troubles, on a clock that jumps; no"
                + " sockets";
    }

    @Override
    public List<String> defects() {
        return Stream.of(PlantedSlicing.Defect.values()).map(RecutsTrial::spelt).toList();
    }

    @Override
    public boolean jumps() {
        return true;
    }

    static String spelt(PlantedSlicing.Defect defect) {
        return defect.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Null where the name is null. */
    static PlantedSlicing.Defect defect(String name) {
        return name == null
                ? null
                : PlantedSlicing.Defect.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    @Override
    public Result run(long seed, String defect) {
        // Every third seed is a small one where all is held nearly everywhere: there slices split
        // and merge all the time.
        World.Plan plan =
                seed % 3 == 0
                        ? new World.Plan(
                                5,
                                3,
                                8,
                                4,
                                Duration.ofSeconds(15),
                                120,
                                Duration.ofMillis(60),
                                true,
                                defect(defect))
                        : new World.Plan(
                                8,
                                3,
                                12,
                                3,
                                Duration.ofSeconds(15),
                                120,
                                Duration.ofMillis(250),
                                true,
                                defect(defect));
        World world = new World(plan, seed);
        List<String> broken = world.run();
        return new Result(
                List.of(
                        String.format(
                                Locale.ROOT,
                                "seed %d: %d queries, %.3f in SLO time; %d calls, %.3f a query; %d"
                                        + " re-cuts planned, %d cut over, %d abandoned, layout %d",
                                seed,
                                world.asked(),
                                (double) world.good() / Math.max(1, world.asked()),
                                world.referee.calls(),
                                (double) world.referee.calls() / Math.max(1, world.asked()),
                                world.moves.begun(),
                                world.moves.cut(),
                                world.moves.abandoned(),
                                world.told.get(world.told.size() - 1).version)),
                broken);
    }
}
