package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.SideEffects;

/**
 * Measures the translation of a query for 100 slices over a layout of 10,000 slices, whose request
 * names the current layout version or a version from before 100 splits. After {@code mvn -q
 * test-compile dependency:build-classpath -Dmdep.outputFile=target/cp} run it with {@code java -cp
 * target/classes:target/test-classes:$(cat target/cp) postbeam.slices.TranslationBenchmark}.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class TranslationBenchmark {
    private static final int SLICES = 10_000;
    private static final int REQUESTED_SLICES = 100;
    private static final int SPLITS = 100;
    private static final QueryClass SEARCH =
            QueryClass.builder(Duration.ofSeconds(1), SideEffects.IDEMPOTENT)
                    .utility(1, 0.1)
                    .weights(0.75, 0.75)
                    .partialUtility(0.9)
                    .build();

    private final SliceTranslator translator = new SliceTranslator();
    private final List<SliceRequest> currentRequests = new ArrayList<>();
    private final List<SliceRequest> oldRequests = new ArrayList<>();
    private Layout oldLayout;

    @Setup
    public void layout() {
        List<String> nodes = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            nodes.add("n" + i);
        }
        Layout layout = Layout.initial(SLICES, nodes, 3);
        oldLayout = layout;
        for (int i = 0; i < SPLITS; i++) {
            Slice slice = layout.slices().get(50 * i);
            layout =
                    layout.withChange(
                            new LayoutChange.Split(
                                    slice.number(), List.of(slice.keys().from() + 100)),
                            List.of(SLICES + 2 * i, SLICES + 2 * i + 1),
                            layout.version + 1,
                            Duration.ZERO,
                            1000);
        }
        translator.onUpdate(layout);
        for (int i = 0; i < REQUESTED_SLICES; i++) {
            oldRequests.add(
                    new SliceRequest(
                            oldLayout.slices().get(97 * i).number(), 1.0 / REQUESTED_SLICES, null));
            currentRequests.add(
                    new SliceRequest(
                            layout.slices().get(97 * i).number(), 1.0 / REQUESTED_SLICES, null));
        }
    }

    private static Query query() {
        return new Query(SEARCH, null, Duration.ZERO, Duration.ofSeconds(3));
    }

    @Benchmark
    public Query translateFromCurrentVersion() throws UnroutableQueryException {
        Query query = query();
        translator.assignShardRequests(query, 0, currentRequests);
        return query;
    }

    @Benchmark
    public Query translateFromVersionBeforeHundredSplits() throws UnroutableQueryException {
        Query query = query();
        translator.assignShardRequests(query, oldLayout.version, oldRequests);
        return query;
    }

    /**
     * Includes the answered weight, which the policy computes several times per batch of events.
     */
    @Benchmark
    public double answeredWeightAcrossSplits() throws UnroutableQueryException {
        Query query = query();
        translator.assignShardRequests(query, oldLayout.version, oldRequests);
        return query.answeredWeight();
    }

    public static void main(String[] args) throws RunnerException {
        new Runner(new OptionsBuilder().include(TranslationBenchmark.class.getSimpleName()).build())
                .run();
    }
}
