package postbeam.testbed.trials;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import postbeam.testbed.simulation.DefectivePageAssembly;
import postbeam.testbed.simulation.PagingSimulation;
import postbeam.testbed.verification.TrialResult;

/**
 * Pages through changing routers while slices are re-cut and ranges go missing, against a plain
 * sort; no sockets.
 */
final class PagingTrial implements Trial {
    @Override
    public boolean jumps() {
        return true;
    }

    @Override
    public String name() {
        return "pages";
    }

    @Override
    public String about() {
        return "ordered pages through changing routers, layouts and missing shards, against a plain"
                + " sort; no sockets";
    }

    @Override
    public List<String> defects() {
        return Stream.of(DefectivePageAssembly.Defect.values())
                .map(DefectivePageAssembly.Defect::argumentName)
                .toList();
    }

    @Override
    public TrialResult run(long seed, String defect) {
        PagingSimulation world =
                new PagingSimulation(
                        seed,
                        defect == null
                                ? null
                                : DefectivePageAssembly.Defect.valueOf(
                                        defect.toUpperCase(Locale.ROOT).replace('-', '_')));
        List<String> broken = world.run();
        return new TrialResult(
                List.of(
                        String.format(
                                Locale.ROOT,
                                "seed %d: %d rows of %d on %d pages, %d of them without some"
                                    + " ranges, %d short; %.2f rows fetched over rows given, %.2f"
                                    + " calls a page; layouts %d, cursors up to %d",
                                seed,
                                world.rowsReturned(),
                                world.rows(),
                                world.pages(),
                                world.pagesWithMissingRanges(),
                                world.truncatedPages(),
                                (double) world.rowsFetched() / Math.max(1, world.rowsReturned()),
                                (double) world.calls() / Math.max(1, world.pages()),
                                world.layouts(),
                                world.maxCursorLength())),
                broken);
    }
}
