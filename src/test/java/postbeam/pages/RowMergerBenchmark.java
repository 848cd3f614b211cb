package postbeam.pages;

import java.io.IOException;
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
 * Measures the time for each row of a page of 1,000 rows, by the number of parts it is merged from.
 * Run it like {@code TranslationBenchmark}.
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
    private final List<PartialPage> answers = new ArrayList<>();
    private final List<RowFetch> fetches = new ArrayList<>();
    private final List<byte[]> encodedAnswers = new ArrayList<>();
    private Cursor cursor;
    private CursorCodec cursorCodec;

    @Setup
    public void generateRows() throws OperatorErrorException {
        Random random = new Random(1);
        cursorCodec = new CursorCodec("1d".repeat(32), null);
        List<RangeProgress> ranges = new ArrayList<>();
        long width = KeyRange.KEY_SPACE_SIZE / parts;
        for (int i = 0; i < parts; i++) {
            KeyRange range = new KeyRange(width * i, width * (i + 1));
            List<Row> rows = rows(random, range);
            lists.add(rows);
            answers.add(new PartialPage(range, rows, null));
            fetches.add(new RowFetch(range, null, rows.size()));
            encodedAnswers.add(RowCodec.encodePartialPage(answers.get(i)));
            ranges.add(new RangeProgress(range, 1.0 / parts, rows.get(0).position()));
        }
        cursor = new Cursor(1, 1, ranges.subList(0, Math.min(parts, PageAssembler.MAX_POSITIONS)));
    }

    private List<Row> rows(Random random, KeyRange range) {
        List<Row> rows = new ArrayList<>();
        for (int i = 0; i < SIZE / parts + 1; i++) {
            List<Object> sortValues =
                    List.of((long) random.nextInt(50), "city " + random.nextInt(40));
            RowPosition position =
                    new RowPosition(sortValues, range.from() + random.nextInt(1 << 20), i);
            rows.add(
                    new Row(
                            position,
                            "a row of some sixty bytes, as an answer to a search has them"));
        }
        rows.sort((one, other) -> order.compare(one.position(), other.position()));
        return rows;
    }

    @Benchmark
    @OperationsPerInvocation(SIZE)
    public List<Row> merge() {
        return RowMerger.mergeFirst(order, lists, SIZE, null);
    }

    /** Decodes and validates the answers of data nodes. */
    @Benchmark
    @OperationsPerInvocation(SIZE)
    public int decodeAndCheck() throws IOException {
        int valid = 0;
        for (int i = 0; i < parts; i++) {
            PartialPage answer =
                    RowCodec.decodePartialPage(answers.get(i).range(), encodedAnswers.get(i));
            valid += answer.findProblem(order, fetches).isEmpty() ? 1 : 0;
        }
        return valid;
    }

    /** Encodes one cursor; the reported time is for one cursor, not for one row. */
    @Benchmark
    public String encodeCursor() throws OperatorErrorException {
        return cursorCodec.encode(cursor);
    }

    public static void main(String[] args) throws RunnerException {
        new Runner(new OptionsBuilder().include(RowMergerBenchmark.class.getSimpleName()).build())
                .run();
    }
}
