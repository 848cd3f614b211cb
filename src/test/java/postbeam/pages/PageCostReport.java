package postbeam.pages;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import postbeam.slices.KeyRange;

/**
 * What pages cost: rows fetched over rows given and calls a page, against asking every part for a
 * full page. Run it as {@code TranslationBenchmark} says; it takes no time into account and prints
 * the same each time.
 */
final class PageCostReport {
    private static final int SIZE = 100;
    private static final int PAGES = 20;
    private static final int CHAINS = 40;
    private static final int ROUNDS = 2;

    private PageCostReport() {}

    public static void main(String[] args) {
        System.out.println(
                "shards  rows are  page    fetched/given  calls a page  full pages  all for a full"
                        + " page");
        for (int size : new int[] {SIZE, 25, 400}) {
            for (int shards : new int[] {3, 10, 20, 50, 100}) {
                for (String how : List.of("even", "skewed")) {
                    run(shards, how.equals("skewed"), size);
                }
            }
        }
    }

    /**
     * Chains one after the other through one router, each over other rows; skewed: the first of 20
     * shards has a third.
     */
    private static void run(int shards, boolean skewed, int size) {
        Random chance = new Random(1);
        RowDistribution shares = new RowDistribution();
        SortOrder order = new SortOrder(List.of(new SortKey("k", false, false)));
        long width = KeyRange.KEY_SPACE_SIZE / shards;
        List<RangeProgress> all = new ArrayList<>();
        for (int i = 0; i < shards; i++) {
            all.add(
                    new RangeProgress(
                            new KeyRange(i * width, (i + 1) * width), 1.0 / shards, null));
        }
        LayoutHistory lineage =
                new LayoutHistory() {
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
                        List<KeyRange> cut = new ArrayList<>();
                        for (RangeProgress one : all) {
                            if (one.range().overlaps(keys)) {
                                cut.add(one.range().intersection(keys));
                            }
                        }
                        return cut;
                    }
                };
        long fetched = 0;
        long given = 0;
        long calls = 0;
        long pages = 0;
        long full = 0;
        long naive = 0;
        for (int chain = 0; chain < CHAINS; chain++) {
            List<List<Row>> rows = new ArrayList<>();
            for (int i = 0; i < shards; i++) {
                rows.add(new ArrayList<>());
            }
            for (int i = 0; i < size * PAGES * 2; i++) {
                long key = (long) (Math.pow(chance.nextDouble(), skewed ? 3 : 1) * width * shards);
                rows.get((int) (key / width))
                        .add(new Row(new RowPosition(List.of(chance.nextLong()), key, i), "r"));
            }
            rows.forEach(
                    list ->
                            list.sort(
                                    (one, other) ->
                                            order.compare(one.position(), other.position())));
            List<RangeProgress> standings = all;
            for (int i = 0; i < PAGES && !standings.isEmpty(); i++) {
                PageAssembler page = new PageAssembler(order, size, standings, shares);
                List<RowFetch> asks = page.initialFetches(lineage);
                naive += (long) asks.size() * size;
                for (int round = 0; round <= ROUNDS && !asks.isEmpty(); round++) {
                    for (RowFetch ask : asks) {
                        page.add(answer(order, rows.get((int) (ask.range().from() / width)), ask));
                        calls++;
                    }
                    asks = page.followUpFetches();
                }
                Page end = page.finish();
                fetched += end.rowsFetched();
                given += end.rows().size();
                pages++;
                full += end.truncated() ? 0 : 1;
                standings = end.remaining();
            }
        }
        System.out.printf(
                Locale.ROOT,
                "%6d  %-8s  %4d  %13.2f  %12.1f  %9.3f  %16.1f%n",
                shards,
                skewed ? "skewed" : "even",
                size,
                (double) fetched / given,
                (double) calls / pages,
                (double) full / pages,
                (double) naive / given);
    }

    private static PartialPage answer(SortOrder order, List<Row> rows, RowFetch ask) {
        List<Row> found = new ArrayList<>();
        for (Row row : rows) {
            if (ask.after() == null || order.compare(row.position(), ask.after()) > 0) {
                if (found.size() == ask.maxRows()) {
                    return new PartialPage(ask.range(), found, row.position());
                }
                found.add(row);
            }
        }
        return new PartialPage(ask.range(), found, null);
    }
}
