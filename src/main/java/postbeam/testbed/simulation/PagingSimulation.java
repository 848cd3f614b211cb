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
    private static final int FOLLOW_UP_ROUNDS = 2;

    /** The number of pages with faults. After them no range is missing, so that the result ends. */
    private static final int FAULTY_PAGES = 25;

    private static final int MAX_PAGES = 3000;
    private static final List<String> KEYS = List.of("1d".repeat(32), "e9".repeat(32));

    /**
     * A router: the row distribution that it has learnt, its cursor codec, and the index of its
     * layout.
     */
    private static final class PagingRouter {
        final RowDistribution distribution = new RowDistribution();
        final CursorCodec cursorCodec;
        int layout;

        PagingRouter(CursorCodec cursorCodec) {
            this.cursorCodec = cursorCodec;
        }
    }

    private final Random random;
    private final DefectivePageAssembly.Defect defect;
    private final List<Row> rows = new ArrayList<>();
    private final SortOrder order;
    private final List<Layout> layouts = new ArrayList<>();
    private final List<PagingRouter> routers = new ArrayList<>();
    private final List<RangeProgress> requestedRanges = new ArrayList<>();
    private final long keptVersions;
    private final double missingProbability;
    private final double misorderProbability;
    private final List<String> violations = new ArrayList<>();
    private int nextSlice;
    private int pages;
    private int pagesWithMissingRanges;
    private int truncatedPages;
    private int rowsReturned;
    private int rowsFetched;
    private int calls;
    private int maxCursorLength;

    /**
     * Prepares a run in which the seed decides every random choice.
     *
     * @param defect null for none
     */
    public PagingSimulation(long seed, DefectivePageAssembly.Defect defect) {
        random = new Random(seed);
        this.defect = defect;
        order = order();
        generateRows();
        nextSlice = 2 + random.nextInt(20);
        layouts.add(Layout.initial(nextSlice, NODES, 2));
        keptVersions = random.nextInt(4) == 0 ? 4 : 1000;
        missingProbability = random.nextInt(2) * 0.2 * random.nextDouble();
        misorderProbability = random.nextInt(2) * 0.1 * random.nextDouble();
        for (int i = 0; i < ROUTERS; i++) {
            try {
                routers.add(
                        new PagingRouter(
                                i % 2 == 0
                                        ? new CursorCodec(KEYS.get(0), KEYS.get(1))
                                        : new CursorCodec(KEYS.get(1), KEYS.get(0))));
            } catch (OperatorErrorException e) {
                throw new IllegalArgumentException(e);
            }
        }
        List<Slice> slices = layouts.get(0).slices();
        for (Slice slice : slices) {
            if (slices.size() < 4 || random.nextInt(5) > 0) {
                requestedRanges.add(new RangeProgress(slice.keys(), 1.0 / slices.size(), null));
            }
        }
        if (requestedRanges.isEmpty()) {
            requestedRanges.add(new RangeProgress(slices.get(0).keys(), 1, null));
        }
    }

    private SortOrder order() {
        List<SortKey> keys = new ArrayList<>();
        for (int i = 0; i <= random.nextInt(3); i++) {
            keys.add(new SortKey("k" + i, random.nextBoolean(), random.nextBoolean()));
        }
        return new SortOrder(keys);
    }

    /**
     * Generates the rows. Sort values are few, so that there are many ties; some are null, and some
     * are texts beside numbers. Keys are spread evenly or concentrated at the low end.
     */
    private void generateRows() {
        int count = 20 + random.nextInt(600);
        int values = 1 + random.nextInt(30);
        double skew = random.nextBoolean() ? 1 : 1 + 4 * random.nextDouble();
        for (int i = 0; i < count; i++) {
            List<Object> sort = new ArrayList<>();
            for (int j = 0; j < order.keys().size(); j++) {
                long value = random.nextInt(values);
                int kind = random.nextInt(10);
                sort.add(kind < 2 ? null : kind < 5 ? "v" + value : (Object) value);
            }
            long key = (long) (Math.pow(random.nextDouble(), skew) * KeyRange.KEY_SPACE_SIZE);
            // Some rows share the sort values and key of the previous one and differ in the
            // sequence only.
            RowPosition before =
                    i > 0 && random.nextInt(4) == 0 ? rows.get(i - 1).position() : null;
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
        List<Row> returnedRows = new ArrayList<>();
        Set<Long> reportedMissing = new HashSet<>();
        RowPosition lastReturned = null;
        boolean anyMissing = false;
        long digest = QueryDigest.of("search", "acme", "x".getBytes(StandardCharsets.UTF_8), order);
        int size = 1 + random.nextInt(60);
        String text = null;
        do {
            if (++pages > MAX_PAGES) {
                violations.add("the result does not end within " + MAX_PAGES + " pages");
                return violations;
            }
            changeLayout();
            PagingRouter router = routers.get(random.nextInt(ROUTERS));
            LayoutHistory lineage = learnLayout(router);
            List<RangeProgress> progress = requestedRanges;
            if (text != null) {
                Cursor cursor = decodeCursor(router, text, digest);
                if (cursor == null) {
                    return violations;
                }
                lineage = lineage(router);
                progress = cursor.ranges();
            }
            Page page = page(router, lineage, progress, size);
            if (page == null) {
                return violations;
            }
            anyMissing |= !page.missingRanges().isEmpty();
            checkOrder(page, lastReturned, reportedMissing);
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
                                                    row ->
                                                            reportedMissing.add(
                                                                    row.position().sequence())));
            returnedRows.addAll(page.rows());
            for (Row row : page.rows()) {
                lastReturned =
                        lastReturned == null || order.compare(lastReturned, row.position()) < 0
                                ? row.position()
                                : lastReturned;
            }
            text =
                    page.remaining().isEmpty()
                            ? null
                            : encodeCursor(
                                    router,
                                    new Cursor(lineage.currentVersion(), digest, page.remaining()));
        } while (text != null && violations.isEmpty());
        checkAllRows(returnedRows, anyMissing);
        return violations;
    }

    private String encodeCursor(PagingRouter router, Cursor cursor) {
        try {
            String text = router.cursorCodec.encode(cursor);
            maxCursorLength = Math.max(maxCursorLength, text.length());
            return text;
        } catch (OperatorErrorException e) {
            violations.add("a cursor can't be encoded: " + e.getMessage());
            return null;
        }
    }

    /**
     * Decodes a cursor. Returns null if its layout is rightly refused as no longer kept, which ends
     * the result. If the cursor's layout is newer than the router's, the router first learns the
     * newest layout.
     */
    private Cursor decodeCursor(PagingRouter router, String text, long digest) {
        while (true) {
            LayoutHistory known = lineage(router);
            try {
                return router.cursorCodec.decode(text, digest, known);
            } catch (OperatorErrorException e) {
                if (e.error() instanceof PageError.LayoutNotYetKnown ahead
                        && ahead.layoutVersion() > known.currentVersion()) {
                    router.layout = layouts.size() - 1;
                } else {
                    if (!(e.error() instanceof PageError.LayoutNoLongerKept old)
                            || old.layoutVersion() >= known.oldestVersion()) {
                        violations.add("a cursor was refused: " + e.getMessage());
                    }
                    return null;
                }
            }
        }
    }

    private Page page(
            PagingRouter router, LayoutHistory lineage, List<RangeProgress> progress, int size) {
        PageAssembler assembly =
                DefectivePageAssembly.of(order, size, progress, router.distribution, defect);
        List<RowFetch> fetches = assembly.initialFetches(lineage);
        for (int round = 0; round <= FOLLOW_UP_ROUNDS && !fetches.isEmpty(); round++) {
            int bytes = random.nextInt(6) == 0 ? 1 + random.nextInt(5) : Integer.MAX_VALUE;
            List<PartialPage> partials = execute(fetches, bytes);
            if (round == 0 && partials.isEmpty()) {
                // Without any partial page a router rejects the query, and the client retries it.
                partials = execute(fetches, bytes);
            }
            partials.forEach(assembly::add);
            fetches = assembly.followUpFetches();
        }
        Page page = assembly.finish();
        pagesWithMissingRanges += page.missingRanges().isEmpty() ? 0 : 1;
        truncatedPages += page.truncated() ? 1 : 0;
        rowsReturned += page.rows().size();
        rowsFetched += page.rowsFetched();
        if (page.rows().size() > size) {
            violations.add(
                    "a page of "
                            + page.rows().size()
                            + " rows, but at most "
                            + size
                            + " were requested");
        }
        checkAgainstOtherRouter(page, progress, size);
        return page;
    }

    /**
     * Returns the partial pages in a random order. They are split by the newest layout, as those of
     * a router are by the time they are sent.
     */
    private List<PartialPage> execute(List<RowFetch> fetches, int bytes) {
        List<Fragment> fragments = new ArrayList<>();
        Layout newest = layouts.get(layouts.size() - 1);
        fetches.forEach(fetch -> fragments.addAll(Fragment.split(newest, fetch.range())));
        List<PartialPage> partials = new ArrayList<>();
        for (Fragment fragment : Fragment.merged(fragments)) {
            calls++;
            boolean faultsActive = pages < FAULTY_PAGES;
            if (faultsActive && random.nextDouble() < missingProbability) {
                continue;
            }
            PartialPage partial =
                    encodeAndDecode(
                            SortedRows.answer(order, fetches, rows, fragment.keys(), bytes));
            if (faultsActive
                    && random.nextDouble() < misorderProbability
                    && partial.rows().size() > 1) {
                List<Row> swapped = new ArrayList<>(partial.rows());
                Collections.swap(swapped, 0, 1 + random.nextInt(swapped.size() - 1));
                partial = new PartialPage(partial.range(), swapped, partial.nextPosition());
            }
            if (partial.findProblem(order, fetches).isEmpty()
                    || defect == DefectivePageAssembly.Defect.SPOILT_MERGED) {
                partials.add(partial);
            }
        }
        Collections.shuffle(partials, random);
        return partials;
    }

    private PartialPage encodeAndDecode(PartialPage partial) {
        try {
            return RowCodec.decodePartialPage(partial.range(), RowCodec.encodePartialPage(partial));
        } catch (IOException e) {
            violations.add("a partial page can't be decoded: " + e.getMessage());
            return partial;
        }
    }

    // ---- layouts

    private void changeLayout() {
        for (int i = random.nextInt(3); i > 0; i--) {
            Layout layout = layouts.get(layouts.size() - 1);
            Slice slice = layout.slices().get(random.nextInt(layout.slices().size()));
            LayoutChange change =
                    switch (random.nextInt(3)) {
                        case 0 ->
                                new LayoutChange.Split(
                                        slice.number(),
                                        List.of(
                                                slice.keys().from()
                                                        + 1
                                                        + (long)
                                                                (random.nextDouble()
                                                                        * (slice.keys().size()
                                                                                - 1))));
                        case 1 ->
                                new LayoutChange.Transfer(
                                        slice.number(),
                                        slice.nodes().get(0),
                                        NODES.get(random.nextInt(NODES.size())));
                        default ->
                                new LayoutChange.Merge(
                                        layout.slices().stream()
                                                .map(Slice::number)
                                                .skip(random.nextInt(layout.slices().size()))
                                                .limit(2)
                                                .toList());
                    };
            List<Integer> newSliceNumbers = new ArrayList<>();
            for (int j = 0; j < change.newSliceCount(); j++) {
                newSliceNumbers.add(nextSlice++);
            }
            try {
                layouts.add(
                        layout.withChange(
                                change,
                                newSliceNumbers,
                                layout.version + 1,
                                Duration.ZERO,
                                keptVersions));
            } catch (IllegalArgumentException e) {
                // Not every random change is possible; an impossible one leaves the layout as it
                // is.
            }
        }
    }

    /** Moves the router to the newest layout or one up to two versions behind, never back. */
    private LayoutHistory learnLayout(PagingRouter router) {
        router.layout = Math.max(router.layout, layouts.size() - 1 - random.nextInt(3));
        return lineage(router);
    }

    private LayoutHistory lineage(PagingRouter router) {
        return new LayoutLineage(layouts.get(router.layout));
    }

    // ---- checks

    /**
     * Checks that rows ascend, and that rows that precede those of earlier pages are of ranges that
     * were reported missing there.
     */
    private void checkOrder(Page page, RowPosition lastReturned, Set<Long> reportedMissing) {
        RowPosition last = null;
        for (Row row : page.rows()) {
            if (last != null && order.compare(last, row.position()) >= 0) {
                violations.add("page " + pages + ": " + row + " does not follow " + last);
            }
            last = row.position();
            if (lastReturned != null
                    && order.compare(row.position(), lastReturned) < 0
                    && !reportedMissing.contains(row.position().sequence())) {
                violations.add(
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
    private void checkAgainstOtherRouter(Page page, List<RangeProgress> progress, int size) {
        if (!page.missingRanges().isEmpty() || defect != null) {
            return;
        }
        PageAssembler other = new PageAssembler(order, size, progress, new RowDistribution());
        Layout newest = layouts.get(layouts.size() - 1);
        List<RowFetch> fetches = other.initialFetches(new LayoutLineage(newest));
        while (!fetches.isEmpty()) {
            List<RowFetch> currentFetches = fetches;
            List<Fragment> fragments = new ArrayList<>();
            currentFetches.forEach(
                    fetch -> fragments.addAll(Fragment.split(newest, fetch.range())));
            Fragment.merged(fragments)
                    .forEach(
                            one ->
                                    other.add(
                                            SortedRows.answer(
                                                    order,
                                                    currentFetches,
                                                    rows,
                                                    one.keys(),
                                                    Integer.MAX_VALUE)));
            fetches = other.followUpFetches();
        }
        List<Row> expectedRows = other.finish().rows();
        int length = page.rows().size();
        if (length > expectedRows.size()
                || !encoded(page.rows()).equals(encoded(expectedRows.subList(0, length)))
                || (length < expectedRows.size() && !page.truncated())) {
            violations.add("page " + pages + " differs from the page of another router");
        }
    }

    private static String encoded(List<Row> rows) {
        return new String(
                RowCodec.encodePartialPage(new PartialPage(KeyRange.ALL, rows, null)),
                StandardCharsets.UTF_8);
    }

    private void checkAllRows(List<Row> returnedRows, boolean anyMissing) {
        List<Row> expected = new ArrayList<>();
        for (Row row : SortedRows.sorted(order, rows, KeyRange.ALL)) {
            long key = row.position().key();
            if (requestedRanges.stream()
                    .anyMatch(one -> one.range().from() <= key && key < one.range().to())) {
                expected.add(row);
            }
        }
        Map<Row, Integer> returnCounts = new LinkedHashMap<>();
        returnedRows.forEach(row -> returnCounts.merge(row, 1, Integer::sum));
        returnCounts.forEach(
                (row, count) -> {
                    if (count > 1) {
                        violations.add(row + " was returned " + count + " times");
                    }
                });
        expected.stream()
                .filter(row -> !returnCounts.containsKey(row))
                .forEach(row -> violations.add(row + " was never returned"));
        if (!anyMissing
                && violations.isEmpty()
                && !encoded(returnedRows).equals(encoded(expected))) {
            violations.add("no range was missing, but the pages differ from the plain sort");
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
    public int rowsReturned() {
        return rowsReturned;
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
