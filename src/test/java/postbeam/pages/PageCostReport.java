package postbeam.pages;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import postbeam.slices.KeyRange;

/**
 * Reports the cost of pages: the ratio of rows fetched to rows returned and the calls for each
 * page, compared with requesting a full page from every part. Run it like {@code
 * TranslationBenchmark}; it measures no times, and its output is the same in each run.
 */
final class PageCostReport {
    private static final int SIZE = 100;
    private static final int PAGES = 20;
    private static final int CHAINS = 40;
    private static final int FOLLOW_UP_ROUNDS = 2;
    private static final SortOrder ORDER = new SortOrder(List.of(new SortKey("k", false, false)));

    private PageCostReport() {}

    public static void main(String[] args) {
        System.out.println(
                "shards  rows are  page    fetched/given  calls a page  full pages  all for a full"
                        + " page");
        for (int size : new int[] {SIZE, 25, 400}) {
            for (int shards : new int[] {3, 10, 20, 50, 100}) {
                for (String keyDistribution : List.of("even", "skewed")) {
                    run(shards, keyDistribution.equals("skewed"), size);
                }
            }
        }
    }

    /** Totals over many chains of pages. */
    private static final class Totals {
        private long fetched;
        private long returned;
        private long calls;
        private long pages;
        private long fullPages;
        private long fetchedWithFullPageRequests;
    }

    /**
     * Fetches chains of consecutive pages, one chain after the other, through one router; each
     * chain has its own rows. If skewed, the first of 20 shards has about a third of the rows.
     */
    private static void run(int shards, boolean skewed, int pageSize) {
        Random random = new Random(1);
        RowDistribution distribution = new RowDistribution();
        long width = KeyRange.KEY_SPACE_SIZE / shards;
        List<RangeProgress> start = new ArrayList<>();
        for (int i = 0; i < shards; i++) {
            start.add(
                    new RangeProgress(
                            new KeyRange(i * width, (i + 1) * width), 1.0 / shards, null));
        }
        Totals totals = new Totals();
        for (int chain = 0; chain < CHAINS; chain++) {
            List<List<Row>> rowsByShard = rows(random, shards, skewed, pageSize * PAGES * 2);
            List<RangeProgress> ranges = start;
            for (int i = 0; i < PAGES && !ranges.isEmpty(); i++) {
                PageAssembler assembler = new PageAssembler(ORDER, pageSize, ranges, distribution);
                ranges =
                        assemblePage(
                                        assembler,
                                        new EvenLayout(start),
                                        rowsByShard,
                                        width,
                                        pageSize,
                                        totals)
                                .remaining();
            }
        }
        System.out.printf(
                Locale.ROOT,
                "%6d  %-8s  %4d  %13.2f  %12.1f  %9.3f  %16.1f%n",
                shards,
                skewed ? "skewed" : "even",
                pageSize,
                (double) totals.fetched / totals.returned,
                (double) totals.calls / totals.pages,
                (double) totals.fullPages / totals.pages,
                (double) totals.fetchedWithFullPageRequests / totals.returned);
    }

    private static List<List<Row>> rows(Random random, int shards, boolean skewed, int rowCount) {
        long width = KeyRange.KEY_SPACE_SIZE / shards;
        List<List<Row>> rowsByShard = new ArrayList<>();
        for (int i = 0; i < shards; i++) {
            rowsByShard.add(new ArrayList<>());
        }
        for (int i = 0; i < rowCount; i++) {
            long key = (long) (Math.pow(random.nextDouble(), skewed ? 3 : 1) * width * shards);
            RowPosition position = new RowPosition(List.of(random.nextLong()), key, i);
            rowsByShard.get((int) (key / width)).add(new Row(position, "r"));
        }
        rowsByShard.forEach(
                rows -> rows.sort((one, other) -> ORDER.compare(one.position(), other.position())));
        return rowsByShard;
    }

    private static Page assemblePage(
            PageAssembler assembler,
            LayoutHistory layouts,
            List<List<Row>> rowsByShard,
            long width,
            int pageSize,
            Totals totals) {
        List<RowFetch> fetches = assembler.initialFetches(layouts);
        totals.fetchedWithFullPageRequests += (long) fetches.size() * pageSize;
        for (int round = 0; round <= FOLLOW_UP_ROUNDS && !fetches.isEmpty(); round++) {
            for (RowFetch fetch : fetches) {
                assembler.add(answer(rowsByShard.get((int) (fetch.range().from() / width)), fetch));
                totals.calls++;
            }
            fetches = assembler.followUpFetches();
        }
        Page page = assembler.finish();
        totals.fetched += page.rowsFetched();
        totals.returned += page.rows().size();
        totals.pages++;
        totals.fullPages += page.truncated() ? 0 : 1;
        return page;
    }

    private static PartialPage answer(List<Row> rows, RowFetch fetch) {
        List<Row> found = new ArrayList<>();
        for (Row row : rows) {
            if (fetch.after() == null || ORDER.compare(row.position(), fetch.after()) > 0) {
                if (found.size() == fetch.maxRows()) {
                    return new PartialPage(fetch.range(), found, row.position());
                }
                found.add(row);
            }
        }
        return new PartialPage(fetch.range(), found, null);
    }

    /** A layout whose slices never change. */
    private record EvenLayout(List<RangeProgress> slices) implements LayoutHistory {
        @Override
        public long currentVersion() {
            return 1;
        }

        @Override
        public long oldestVersion() {
            return 1;
        }

        @Override
        public List<KeyRange> splitBySlices(KeyRange keys) {
            return slices.stream()
                    .filter(slice -> slice.range().overlaps(keys))
                    .map(slice -> slice.range().intersection(keys))
                    .toList();
        }
    }
}
