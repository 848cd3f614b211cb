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
final class PageCost {
    private static final int SIZE = 100;
    private static final int PAGES = 20;
    private static final int CHAINS = 40;
    private static final int ROUNDS = 2;

    private PageCost() {}

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
        Shares shares = new Shares();
        Order order = new Order(List.of(new SortKey("k", false, false)));
        long width = KeyRange.KEYS / shards;
        List<Standing> all = new ArrayList<>();
        for (int i = 0; i < shards; i++) {
            all.add(new Standing(new KeyRange(i * width, (i + 1) * width), 1.0 / shards, null));
        }
        Lineage lineage =
                new Lineage() {
                    @Override
                    public long version() {
                        return 1;
                    }

                    @Override
                    public long oldest() {
                        return 1;
                    }

                    @Override
                    public List<KeyRange> cut(KeyRange keys) {
                        List<KeyRange> cut = new ArrayList<>();
                        for (Standing one : all) {
                            if (one.keys().meets(keys)) {
                                cut.add(one.keys().common(keys));
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
                        .add(new Row(new Mark(List.of(chance.nextLong()), key, i), "r"));
            }
            rows.forEach(list -> list.sort((one, other) -> order.compare(one.at(), other.at())));
            List<Standing> standings = all;
            for (int i = 0; i < PAGES && !standings.isEmpty(); i++) {
                Assembly page = new Assembly(order, size, standings, shares);
                List<Ask> asks = page.first(lineage);
                naive += (long) asks.size() * size;
                for (int round = 0; round <= ROUNDS && !asks.isEmpty(); round++) {
                    for (Ask ask : asks) {
                        page.took(answer(order, rows.get((int) (ask.keys().from() / width)), ask));
                        calls++;
                    }
                    asks = page.further();
                }
                Page end = page.end();
                fetched += end.fetched();
                given += end.rows().size();
                pages++;
                full += end.isShort() ? 0 : 1;
                standings = end.next();
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

    private static Partial answer(Order order, List<Row> rows, Ask ask) {
        List<Row> found = new ArrayList<>();
        for (Row row : rows) {
            if (ask.after() == null || order.compare(row.at(), ask.after()) > 0) {
                if (found.size() == ask.rows()) {
                    return new Partial(ask.keys(), found, row.at());
                }
                found.add(row);
            }
        }
        return new Partial(ask.keys(), found, null);
    }
}
