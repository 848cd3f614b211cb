package postbeam.testbed.simulation;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import postbeam.errors.OperatorErrorException;
import postbeam.pages.Cursor;
import postbeam.pages.CursorCodec;
import postbeam.pages.LayoutHistory;
import postbeam.pages.Page;
import postbeam.pages.PageAssembler;
import postbeam.pages.PageError;
import postbeam.pages.PartialPage;
import postbeam.pages.QueryDigest;
import postbeam.pages.RangeProgress;
import postbeam.pages.Row;
import postbeam.pages.RowCodec;
import postbeam.pages.RowDistribution;
import postbeam.pages.RowFetch;
import postbeam.pages.RowPosition;
import postbeam.pages.SortKey;
import postbeam.pages.SortOrder;
import postbeam.router.LayoutLineage;
import postbeam.slices.Fragment;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.LayoutChange;
import postbeam.slices.Slice;
import postbeam.testbed.fakes.SortedRows;

/**
 * Simulates one query whose result is read page by page through routers that share only the keys
 * that sign cursors. Meanwhile slices are split, moved and merged, ranges are missing and nodes
 * return rows out of order. The seed decides every random choice. The pages are compared with a
 * plain sort of the rows.
 */
public final class PagingSimulation {
    private static final List<String> NODES = List.of("a", "b", "c", "d");
    private static final int ROUTERS = 3;
    private static final int FURTHER_ROUNDS = 2;

    /** The number of pages with faults. After them no range is missing, so that the result ends. */
    private static final int TROUBLED_PAGES = 25;

    private static final int PAGES_MOST = 3000;
    private static final List<String> KEYS = List.of("1d".repeat(32), "e9".repeat(32));

    /**
     * A router: the row distribution that it has learnt, its cursor codec, and the index of its
     * layout.
     */
    private static final class Reader {
        final RowDistribution shares = new RowDistribution();
        final CursorCodec seal;
        int layout;

        Reader(CursorCodec seal) {
            this.seal = seal;
        }
    }

    private final Random chance;
    private final DefectivePageAssembly.Defect defect;
    private final List<Row> rows = new ArrayList<>();
    private final SortOrder order;
    private final List<Layout> layouts = new ArrayList<>();
    private final List<Reader> readers = new ArrayList<>();
    private final List<RangeProgress> asked = new ArrayList<>();
    private final long history;
    private final double missing;
    private final double spoilt;
    private final List<String> broken = new ArrayList<>();
    private int nextSlice;
    private int pages;
    private int pagesWithMissingRanges;
    private int truncatedPages;
    private int rowsGiven;
    private int rowsFetched;
    private int calls;
    private int maxCursorLength;

    /**
     * Prepares a run in which the seed decides every random choice.
     *
     * @param defect null for none
     */
    public PagingSimulation(long seed, DefectivePageAssembly.Defect defect) {
        chance = new Random(seed);
        this.defect = defect;
        order = order();
        makeRows();
        nextSlice = 2 + chance.nextInt(20);
        layouts.add(Layout.initial(nextSlice, NODES, 2));
        history = chance.nextInt(4) == 0 ? 4 : 1000;
        missing = chance.nextInt(2) * 0.2 * chance.nextDouble();
        spoilt = chance.nextInt(2) * 0.1 * chance.nextDouble();
        for (int i = 0; i < ROUTERS; i++) {
            try {
                readers.add(
                        new Reader(
                                i % 2 == 0
                                        ? new CursorCodec(KEYS.get(0), KEYS.get(1))
                                        : new CursorCodec(KEYS.get(1), KEYS.get(0))));
            } catch (OperatorErrorException e) {
                throw new IllegalArgumentException(e);
            }
        }
        List<Slice> slices = layouts.get(0).slices();
        for (Slice slice : slices) {
            if (slices.size() < 4 || chance.nextInt(5) > 0) {
                asked.add(new RangeProgress(slice.keys(), 1.0 / slices.size(), null));
            }
        }
        if (asked.isEmpty()) {
            asked.add(new RangeProgress(slices.get(0).keys(), 1, null));
        }
    }

    private SortOrder order() {
        List<SortKey> keys = new ArrayList<>();
        for (int i = 0; i <= chance.nextInt(3); i++) {
            keys.add(new SortKey("k" + i, chance.nextBoolean(), chance.nextBoolean()));
        }
        return new SortOrder(keys);
    }

    /**
     * Generates the rows. Sort values are few, so that there are many ties; some are null, and some
     * are texts beside numbers. Keys are spread evenly or concentrated at the low end.
     */
    private void makeRows() {
        int count = 20 + chance.nextInt(600);
        int values = 1 + chance.nextInt(30);
        double heap = chance.nextBoolean() ? 1 : 1 + 4 * chance.nextDouble();
        for (int i = 0; i < count; i++) {
            List<Object> sort = new ArrayList<>();
            for (int j = 0; j < order.keys().size(); j++) {
                long value = chance.nextInt(values);
                int kind = chance.nextInt(10);
                sort.add(kind < 2 ? null : kind < 5 ? "v" + value : (Object) value);
            }
            long key = (long) (Math.pow(chance.nextDouble(), heap) * KeyRange.KEY_SPACE_SIZE);
            // Some rows share the sort values and key of the previous one and differ in the
            // sequence only.
            RowPosition before =
                    i > 0 && chance.nextInt(4) == 0 ? rows.get(i - 1).position() : null;
            rows.add(
                    new Row(
                            new RowPosition(
                                    before == null ? sort : before.sortValues(),
                                    before == null ? key : before.key(),
                                    i),
                            "row " + i));
        }
    }

    // ---- reading the pages

    /** Runs the simulation. Returns the violations, one per line. */
    public List<String> run() {
        List<Row> chain = new ArrayList<>();
        Set<Long> excused = new HashSet<>();
        RowPosition furthest = null;
        boolean everMissing = false;
        long digest = QueryDigest.of("search", "acme", "x".getBytes(StandardCharsets.UTF_8), order);
        int size = 1 + chance.nextInt(60);
        String text = null;
        do {
            if (++pages > PAGES_MOST) {
                broken.add("the result does not end within " + PAGES_MOST + " pages");
                return broken;
            }
            recut();
            Reader reader = readers.get(chance.nextInt(ROUTERS));
            LayoutHistory lineage = heard(reader);
            List<RangeProgress> standings = asked;
            if (text != null) {
                Cursor cursor = opened(reader, text, digest);
                if (cursor == null) {
                    return broken;
                }
                lineage = lineage(reader);
                standings = cursor.ranges();
            }
            Page page = page(reader, lineage, standings, size);
            if (page == null) {
                return broken;
            }
            everMissing |= !page.missingRanges().isEmpty();
            ordered(page, furthest, excused);
            page.missingRanges()
                    .forEach(
                            keys ->
                                    rows.stream()
                                            .filter(
                                                    row ->
                                                            keys.from() <= row.position().key()
                                                                    && row.position().key()
                                                                            < keys.to())
                                            .forEach(
                                                    row -> excused.add(row.position().sequence())));
            chain.addAll(page.rows());
            for (Row row : page.rows()) {
                furthest =
                        furthest == null || order.compare(furthest, row.position()) < 0
                                ? row.position()
                                : furthest;
            }
            text =
                    page.remaining().isEmpty()
                            ? null
                            : sealed(
                                    reader,
                                    new Cursor(lineage.currentVersion(), digest, page.remaining()));
        } while (text != null && broken.isEmpty());
        whole(chain, everMissing);
        return broken;
    }

    private String sealed(Reader reader, Cursor cursor) {
        try {
            String text = reader.seal.encode(cursor);
            maxCursorLength = Math.max(maxCursorLength, text.length());
            return text;
        } catch (OperatorErrorException e) {
            broken.add("a cursor can't be encoded: " + e.getMessage());
            return null;
        }
    }

    /**
     * Decodes a cursor. Returns null if its layout is rightly refused as no longer kept, which ends
     * the result. If the cursor's layout is newer than the router's, the router first learns the
     * newest layout.
     */
    private Cursor opened(Reader reader, String text, long digest) {
        while (true) {
            LayoutHistory held = lineage(reader);
            try {
                return reader.seal.decode(text, digest, held);
            } catch (OperatorErrorException e) {
                if (e.error() instanceof PageError.LayoutNotYetKnown ahead
                        && ahead.layoutVersion() > held.currentVersion()) {
                    reader.layout = layouts.size() - 1;
                } else {
                    if (!(e.error() instanceof PageError.LayoutNoLongerKept old)
                            || old.layoutVersion() >= held.oldestVersion()) {
                        broken.add("a cursor was refused: " + e.getMessage());
                    }
                    return null;
                }
            }
        }
    }

    private Page page(
            Reader reader, LayoutHistory lineage, List<RangeProgress> standings, int size) {
        PageAssembler assembly =
                DefectivePageAssembly.of(order, size, standings, reader.shares, defect);
        List<RowFetch> asks = assembly.initialFetches(lineage);
        for (int round = 0; round <= FURTHER_ROUNDS && !asks.isEmpty(); round++) {
            int bytes = chance.nextInt(6) == 0 ? 1 + chance.nextInt(5) : Integer.MAX_VALUE;
            List<PartialPage> came = came(asks, bytes);
            if (round == 0 && came.isEmpty()) {
                // Without any partial page a router rejects the query, and the client retries it.
                came = came(asks, bytes);
            }
            came.forEach(assembly::add);
            asks = assembly.followUpFetches();
        }
        Page page = assembly.finish();
        pagesWithMissingRanges += page.missingRanges().isEmpty() ? 0 : 1;
        truncatedPages += page.truncated() ? 1 : 0;
        rowsGiven += page.rows().size();
        rowsFetched += page.rowsFetched();
        if (page.rows().size() > size) {
            broken.add(
                    "a page of " + page.rows().size() + " rows where " + size + " were asked for");
        }
        alike(page, standings, size);
        return page;
    }

    /**
     * Returns the partial pages in a random order. They are split by the newest layout, as those of
     * a router are by the time they are sent.
     */
    private List<PartialPage> came(List<RowFetch> asks, int bytes) {
        List<Fragment> fragments = new ArrayList<>();
        Layout newest = layouts.get(layouts.size() - 1);
        asks.forEach(ask -> fragments.addAll(Fragment.split(newest, ask.range())));
        List<PartialPage> came = new ArrayList<>();
        for (Fragment one : Fragment.merged(fragments)) {
            calls++;
            boolean troubled = pages < TROUBLED_PAGES;
            if (troubled && chance.nextDouble() < missing) {
                continue;
            }
            PartialPage partial =
                    travelled(SortedRows.answer(order, asks, rows, one.keys(), bytes));
            if (troubled && chance.nextDouble() < spoilt && partial.rows().size() > 1) {
                List<Row> turned = new ArrayList<>(partial.rows());
                Collections.swap(turned, 0, 1 + chance.nextInt(turned.size() - 1));
                partial = new PartialPage(partial.range(), turned, partial.nextPosition());
            }
            if (partial.findProblem(order, asks).isEmpty()
                    || defect == DefectivePageAssembly.Defect.SPOILT_MERGED) {
                came.add(partial);
            }
        }
        Collections.shuffle(came, chance);
        return came;
    }

    private PartialPage travelled(PartialPage partial) {
        try {
            return RowCodec.decodePartialPage(partial.range(), RowCodec.encodePartialPage(partial));
        } catch (IOException e) {
            broken.add("a partial page can't be decoded: " + e.getMessage());
            return partial;
        }
    }

    // ---- layouts

    private void recut() {
        for (int i = chance.nextInt(3); i > 0; i--) {
            Layout layout = layouts.get(layouts.size() - 1);
            Slice slice = layout.slices().get(chance.nextInt(layout.slices().size()));
            LayoutChange change =
                    switch (chance.nextInt(3)) {
                        case 0 ->
                                new LayoutChange.Split(
                                        slice.number(),
                                        List.of(
                                                slice.keys().from()
                                                        + 1
                                                        + (long)
                                                                (chance.nextDouble()
                                                                        * (slice.keys().size()
                                                                                - 1))));
                        case 1 ->
                                new LayoutChange.Transfer(
                                        slice.number(),
                                        slice.nodes().get(0),
                                        NODES.get(chance.nextInt(NODES.size())));
                        default ->
                                new LayoutChange.Merge(
                                        layout.slices().stream()
                                                .map(Slice::number)
                                                .skip(chance.nextInt(layout.slices().size()))
                                                .limit(2)
                                                .toList());
                    };
            List<Integer> births = new ArrayList<>();
            for (int j = 0; j < change.newSliceCount(); j++) {
                births.add(nextSlice++);
            }
            try {
                layouts.add(
                        layout.withChange(
                                change, births, layout.version + 1, Duration.ZERO, history));
            } catch (IllegalArgumentException e) {
                // Not every random change is possible; an impossible one leaves the layout as it
                // is.
            }
        }
    }

    /** Moves the router to the newest layout or one up to two versions behind, never back. */
    private LayoutHistory heard(Reader reader) {
        reader.layout = Math.max(reader.layout, layouts.size() - 1 - chance.nextInt(3));
        return lineage(reader);
    }

    private LayoutHistory lineage(Reader reader) {
        return new LayoutLineage(layouts.get(reader.layout));
    }

    // ---- checks

    /**
     * Checks that rows ascend, and that rows that precede those of earlier pages are of ranges that
     * were reported missing there.
     */
    private void ordered(Page page, RowPosition furthest, Set<Long> excused) {
        RowPosition last = null;
        for (Row row : page.rows()) {
            if (last != null && order.compare(last, row.position()) >= 0) {
                broken.add("page " + pages + ": " + row + " does not follow " + last);
            }
            last = row.position();
            if (furthest != null
                    && order.compare(row.position(), furthest) < 0
                    && !excused.contains(row.position().sequence())) {
                broken.add(
                        "page "
                                + pages
                                + ": "
                                + row
                                + " precedes rows of earlier pages, but its range was never"
                                + " reported missing");
            }
        }
    }

    /**
     * Checks that another router without faults returns the same rows, as far as this page goes.
     */
    private void alike(Page page, List<RangeProgress> standings, int size) {
        if (!page.missingRanges().isEmpty() || defect != null) {
            return;
        }
        PageAssembler other = new PageAssembler(order, size, standings, new RowDistribution());
        Layout newest = layouts.get(layouts.size() - 1);
        List<RowFetch> asks = other.initialFetches(new LayoutLineage(newest));
        while (!asks.isEmpty()) {
            List<RowFetch> now = asks;
            List<Fragment> fragments = new ArrayList<>();
            now.forEach(ask -> fragments.addAll(Fragment.split(newest, ask.range())));
            Fragment.merged(fragments)
                    .forEach(
                            one ->
                                    other.add(
                                            SortedRows.answer(
                                                    order,
                                                    now,
                                                    rows,
                                                    one.keys(),
                                                    Integer.MAX_VALUE)));
            asks = other.followUpFetches();
        }
        List<Row> same = other.finish().rows();
        int length = page.rows().size();
        if (length > same.size()
                || !written(page.rows()).equals(written(same.subList(0, length)))
                || (length < same.size() && !page.truncated())) {
            broken.add("page " + pages + " differs from the page of another router");
        }
    }

    private static String written(List<Row> rows) {
        return new String(
                RowCodec.encodePartialPage(new PartialPage(KeyRange.ALL, rows, null)),
                StandardCharsets.UTF_8);
    }

    private void whole(List<Row> chain, boolean everMissing) {
        List<Row> expected = new ArrayList<>();
        for (Row row : SortedRows.sorted(order, rows, KeyRange.ALL)) {
            long key = row.position().key();
            if (asked.stream()
                    .anyMatch(one -> one.range().from() <= key && key < one.range().to())) {
                expected.add(row);
            }
        }
        Map<Row, Integer> times = new LinkedHashMap<>();
        chain.forEach(row -> times.merge(row, 1, Integer::sum));
        times.forEach(
                (row, count) -> {
                    if (count > 1) {
                        broken.add(row + " was returned " + count + " times");
                    }
                });
        expected.stream()
                .filter(row -> !times.containsKey(row))
                .forEach(row -> broken.add(row + " was never returned"));
        if (!everMissing && broken.isEmpty() && !written(chain).equals(written(expected))) {
            broken.add("no range was missing, but the pages differ from the plain sort");
        }
    }

    // ---- figures

    /** Returns the number of rows in the data set. */
    public int rows() {
        return rows.size();
    }

    /** Returns the number of pages that were read. */
    public int pages() {
        return pages;
    }

    /** Returns the number of pages from which ranges were missing. */
    public int pagesWithMissingRanges() {
        return pagesWithMissingRanges;
    }

    /** Returns the number of pages that were not full although rows remained. */
    public int truncatedPages() {
        return truncatedPages;
    }

    /** Returns the number of rows on all pages. */
    public int rowsGiven() {
        return rowsGiven;
    }

    /** Returns the number of rows that data nodes sent for all pages. */
    public int rowsFetched() {
        return rowsFetched;
    }

    /** Returns the number of requests to data nodes for all pages. */
    public int calls() {
        return calls;
    }

    /** Returns the number of layout versions. */
    public int layouts() {
        return layouts.size();
    }

    /** Returns the length of the longest cursor in characters. */
    public int maxCursorLength() {
        return maxCursorLength;
    }
}
