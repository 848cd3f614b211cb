package postbeam.rig;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import postbeam.shared.LeaseTerms;
import postbeam.shared.OfficeTerms;

/** What routers share keeps its bounds under random schedules of all that can fail, on the jumping clock. */
final class BoundsTrial implements Trial {
    private static final Duration DRIFT = Duration.ofMillis(30);
    private static final Duration WINDOW = Duration.ofSeconds(1);

    @Override
    public String name() {
        return "bounds";
    }

    @Override
    public String about() {
        return "keepers, leases and what is sent to cold nodes under loss, delay, crashes and stops, on a clock that "
                + "jumps; no sockets";
    }

    @Override
    public List<String> defects() {
        return PlantedSharing.names();
    }

    @Override
    public boolean jumps() {
        return true;
    }

    static LeaseTerms leases(int routers, double underWay, double callMost) {
        return new LeaseTerms(Duration.ofMillis(600), WINDOW, DRIFT, 0.25, underWay, routers, callMost);
    }

    static OfficeTerms offices() {
        return new OfficeTerms(Duration.ofMillis(900), Duration.ofMillis(1200), DRIFT);
    }

    @Override
    public Result run(long seed, String defect) {
        // What may be under way is little, so that little hides in it. Every fourth seed has more routers than parts that hold a leaf call.
        int routers = seed % 4 == 0 ? 9 : seed % 4 == 1 ? 3 : 5;
        BoundsWorld world = new BoundsWorld(new BoundsWorld.Plan(routers, 2, 2, Duration.ofSeconds(16), true, 0,
                seed % 2 == 0 ? leases(routers, 0.1, 0.04) : leases(routers, 0.05, 0.02), offices(), PlantedSharing.defect(defect)), seed);
        List<String> broken = world.run();
        BoundsWorld.Use use = world.use();
        return new Result(List.of(String.format(Locale.ROOT, "seed %d: %d routers, %d sends, %.3f of the budgets used, "
                + "%.3f in the fullest window, %d times a keeper won its office", seed, routers, use.sends(),
                use.used() / use.budget(), world.fullest(), use.won())), broken);
    }
}
