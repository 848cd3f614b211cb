package postbeam.rig;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import postbeam.shared.LeaseTerms;
import postbeam.shared.OfficeTerms;

/**
 * What routers share keeps its bounds under random schedules of all that can fail, on the jumping
 * clock.
 */
final class BoundsTrial implements Trial {
    private static final Duration DRIFT = Duration.ofMillis(30);
    private static final Duration WINDOW = Duration.ofSeconds(1);

    @Override
    public String name() {
        return "bounds";
    }

    @Override
    public String about() {
        return "keepers, leases and what is sent to cold nodes under loss, delay, crashes and"
                + " stops, on a clock that jumps; no sockets";
    }

    @Override
    public List<String> defects() {
        return PlantedSharing.names();
    }

    @Override
    public boolean jumps() {
        return true;
    }

    static LeaseTerms leases(
            int routers, Duration use, double reserved, double underWay, double callMost) {
        return new LeaseTerms(use, WINDOW, DRIFT, reserved, underWay, routers, callMost);
    }

    static OfficeTerms offices(Duration office) {
        return new OfficeTerms(office, office.multipliedBy(4).dividedBy(3), DRIFT);
    }

    @Override
    public Result run(long seed, String defect) {
        // What may be under way is little, so that little hides in it. Every second seed has leases
        // that outlast offices,
        // every fourth has more routers than parts that hold a leaf call.
        boolean outlasts = seed % 2 == 0;
        int routers = seed % 4 == 0 ? 9 : seed % 4 == 1 ? 3 : 5;
        double underWay = seed % 3 == 0 ? 0.05 : 0.1;
        LeaseTerms leases =
                leases(
                        routers,
                        Duration.ofMillis(outlasts ? 1500 : 600),
                        routers == 3 ? 0.6 : 0.25,
                        underWay,
                        underWay * 0.4);
        OfficeTerms offices = offices(Duration.ofMillis(outlasts ? 500 : 900));
        BoundsWorld world =
                new BoundsWorld(
                        new BoundsWorld.Plan(
                                routers,
                                2,
                                2,
                                Duration.ofSeconds(16),
                                true,
                                0,
                                leases,
                                offices,
                                PlantedSharing.defect(defect)),
                        seed);
        HearsayWorld hearsay = new HearsayWorld(routers, PlantedSharing.defect(defect), seed);
        List<String> broken = new ArrayList<>(hearsay.run());
        broken.addAll(world.run());
        BoundsWorld.Use use = world.use();
        return new Result(
                List.of(
                        String.format(
                                Locale.ROOT,
                                "seed %d: %d routers, %d sends, %.3f of the budgets used, %.3f in"
                                    + " the fullest window, %d times a keeper won its office; %d"
                                    + " counted",
                                seed,
                                routers,
                                use.sends(),
                                use.used() / use.budget(),
                                world.fullest(),
                                use.won(),
                                hearsay.taken())),
                broken);
    }
}
