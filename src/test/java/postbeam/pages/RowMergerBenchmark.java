package postbeam.pages;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import postbeam.errors.OperatorErrorException;
import postbeam.slices.KeyRange;

/**
 * What a page of 1,000 rows costs a row, by the parts it is merged from; run as {@code
 * TranslationBenchmark} is.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class RowMergerBenchmark {
    private static final int SIZE = 1000;

    @Param({"3", "20", "100"})
    public int parts;

    private final SortOrder order =
            new SortOrder(
                    List.of(new SortKey("fare", true, true), new SortKey("to", false, false)));
    private final List<List<Row>> lists = new ArrayList<>();
    private final List<PartialPage> partials = new ArrayList<>();
    private final List<RowFetch> asks = new ArrayList<>();
    private final List<byte[]> told = new ArrayList<>();
    private Cursor cursor;
    private CursorCodec seal;

    @Setup
    public void rows() throws OperatorErrorException {
        Random chance = new Random(1);
        seal = new CursorCodec("1d".repeat(32), null);
        List<RangeProgress> standings = new ArrayList<>();
        long width = KeyRange.KEY_SPACE_SIZE / parts;
        for (int i = 0; i < parts; i++) {
            KeyRange keys = new KeyRange(width * i, width * (i + 1));
            List<Row> rows = new ArrayList<>();
            for (int j = 0; j < SIZE / parts + 1; j++) {
                rows.add(
                        new Row(
                                new RowPosition(
                                        List.of(
                                                (long) chance.nextInt(50),
                                                "city " + chance.nextInt(40)),
                                        keys.from() + chance.nextInt(1 << 20),
                                        j),
                                "a row of some sixty bytes, as an answer to a search has them"));
            }
            rows.sort((one, other) -> order.compare(one.position(), other.position()));
            lists.add(rows);
            partials.add(new PartialPage(keys, rows, null));
            asks.add(new RowFetch(keys, null, rows.size()));
            told.add(RowCodec.partialPage(partials.get(i)));
            standings.add(new RangeProgress(keys, 1.0 / parts, rows.get(0).position()));
        }
        cursor =
                new Cursor(
                        1, 1, standings.subList(0, Math.min(parts, PageAssembler.MAX_POSITIONS)));
    }

    @Benchmark
    @OperationsPerInvocation(SIZE)
    public List<Row> merge() {
        return RowMerger.mergeFirst(order, lists, SIZE, null);
    }

    /** Reading what nodes gave, and looking whether it is spoilt. */
    @Benchmark
    @OperationsPerInvocation(SIZE)
    public int readAndCheck() throws java.io.IOException {
        int sound = 0;
        for (int i = 0; i < parts; i++) {
            sound +=
                    RowCodec.partialPage(partials.get(i).range(), told.get(i))
                                            .findProblem(order, asks)
                                    == null
                            ? 1
                            : 0;
        }
        return sound;
    }

    /** Of one cursor, not of a row. */
    @Benchmark
    public String seal() throws OperatorErrorException {
        return seal.encode(cursor);
    }

    public static void main(String[] args) throws RunnerException {
        new Runner(new OptionsBuilder().include(RowMergerBenchmark.class.getSimpleName()).build())
                .run();
    }
}
