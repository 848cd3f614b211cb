package postbeam.slices;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import postbeam.model.Attempt;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;
import postbeam.model.Zone;

/** Tests the translation of queries to slices of the current layout, while layouts change. */
class SliceTranslatorTest {
    private static final long QUARTER = KeyRange.KEY_SPACE_SIZE / 4;

    private final SliceTranslator translator = new SliceTranslator();
    private final DataNode node = new DataNode(0, new Zone(true));
    private final Map<DataNode, String> names = new HashMap<>(Map.of(node, "a"));
    private Layout layout = Layout.initial(4, List.of("a", "b", "c"), 2);
    private int nextSliceNumber = 4;

    SliceTranslatorTest() {
        translator.placement().configure(names::get, at -> at);
        translator.placement().add(node);
        translator.onUpdate(layout);
    }

    private static Query query(SideEffects sideEffects, double minWeight) {
        QueryClass queryClass =
                QueryClass.builder(Duration.ofSeconds(1), sideEffects)
                        .deduplicationWindow(Duration.ofSeconds(1))
                        .utility(1, 0.1)
                        .weights(1, minWeight)
                        .partialUtility(0.9)
                        .build();
        return new Query(queryClass, null, Duration.ZERO, Duration.ofSeconds(3));
    }

    /** A query for these slices of a layout version, with equal weights. */
    private Query request(SideEffects sideEffects, long version, int... slices)
            throws UnroutableQueryException {
        Query query = query(sideEffects, 0.25);
        List<SliceRequest> sliceRequests = new ArrayList<>();
        for (int slice : slices) {
            sliceRequests.add(new SliceRequest(slice, 1.0 / slices.length, Duration.ofMillis(8)));
        }
        translator.assignShardRequests(query, version, sliceRequests);
        return query;
    }

    private List<Integer> newSliceNumbers(LayoutChange change) {
        List<Integer> numbers = new ArrayList<>();
        for (int i = 0; i < change.newSliceCount(); i++) {
            numbers.add(nextSliceNumber++);
        }
        return numbers;
    }

    private void apply(LayoutChange change, Query... inFlight) {
        layout =
                layout.withChange(
                        change,
                        newSliceNumbers(change),
                        layout.version + 1,
                        Duration.ofSeconds(layout.version),
                        100);
        assertTrue(translator.onUpdate(layout));
        for (Query query : inFlight) {
            translator.remapStaleRequests(query);
        }
    }

    private Attempt startAttempt(ShardRequest request, int atMs) {
        return new Attempt(request, node, Duration.ofMillis(atMs), null);
    }

    private static ShardRequest requestFor(Query query, int slice) {
        return query.shardRequests.stream()
                .filter(request -> request.shard == slice)
                .findFirst()
                .orElse(null);
    }

    // ---- splits and merges during a query

    @Test
    void splitDividesWeightAndEstimatedWorkAndKeepsAttempts() throws UnroutableQueryException {
        Query query = request(SideEffects.NON_IDEMPOTENT, 1, 0, 1);
        Attempt attempt = startAttempt(requestFor(query, 0), 5);
        LayoutChange split = new LayoutChange.Split(0, List.of(QUARTER / 4));
        apply(split, query);
        assertNotNull(requestFor(query, 0), "a request with an attempt in flight is not replaced");
        // The attempt ends with an error, so it may have executed.
        attempt.end();
        requestFor(query, 0).recordPossibleExecution(attempt.sentAt);
        assertTrue(translator.remapStaleRequests(query));
        assertNull(requestFor(query, 0));
        for (int slice : new int[] {4, 5}) {
            assertEquals(
                    Duration.ofMillis(5),
                    requestFor(query, slice).mayHaveExecutedSince(),
                    "a successor may have executed");
            assertEquals(List.of(attempt), requestFor(query, slice).attempts);
        }
        assertEquals(0.125, requestFor(query, 4).weight, 1e-9);
        assertEquals(0.375, requestFor(query, 5).weight, 1e-9);
        assertEquals(Duration.ofMillis(2), requestFor(query, 4).estimatedWork);
        assertEquals(Duration.ofMillis(6), requestFor(query, 5).estimatedWork);
    }

    @Test
    void mergeKeepsAttemptedRequestSeparateFromUnattemptedOne() throws UnroutableQueryException {
        Query query = request(SideEffects.NON_IDEMPOTENT, 1, 1, 2);
        Attempt attempt = startAttempt(requestFor(query, 1), 5);
        attempt.end();
        requestFor(query, 1).recordPossibleExecution(attempt.sentAt);
        Query unattempted = request(SideEffects.NON_IDEMPOTENT, 1, 1, 2);
        layout =
                layout.withChange(
                        new LayoutChange.Transfer(
                                2, layout.slice(2).nodes().get(1), layout.slice(1).nodes().get(0)),
                        List.of(),
                        2,
                        Duration.ZERO,
                        9);
        apply(new LayoutChange.Merge(List.of(1, 2)), query, unattempted);
        assertEquals(2, query.shardRequests.size());
        assertEquals(1, query.countRequests(request -> request.mayHaveExecutedSince() != null));
        assertEquals(1, query.countRequests(request -> request.attempts.isEmpty()));
        assertTrue(query.shardRequests.stream().allMatch(request -> request.shard == 4));
        assertEquals(
                1,
                unattempted.shardRequests.size(),
                "requests without attempts are merged into one");
        assertEquals(1.0, unattempted.shardRequests.get(0).weight, 1e-9);
    }

    @Test
    void splitAndMergeDuringQueryKeepFirstExecutionTime() throws UnroutableQueryException {
        Query query = request(SideEffects.DEDUPLICATED, 1, 0);
        Attempt attempt = startAttempt(requestFor(query, 0), 7);
        apply(new LayoutChange.Split(0, List.of(100L)), query);
        apply(new LayoutChange.Merge(List.of(4, 5)), query);
        attempt.end();
        requestFor(query, 0).recordPossibleExecution(attempt.sentAt);
        translator.remapStaleRequests(query);
        assertEquals(1, query.shardRequests.size());
        assertEquals(6, query.shardRequests.get(0).shard);
        assertEquals(
                Duration.ofMillis(7),
                query.shardRequests.get(0).mayHaveExecutedSince(),
                "the deduplication window starts at the first attempt");
    }

    @Test
    void slicesMergedAndSplitAgainKeepRequestedWeights() throws UnroutableQueryException {
        Query query = query(SideEffects.IDEMPOTENT, 1);
        layout =
                layout.withChange(
                        new LayoutChange.Transfer(1, layout.slice(1).nodes().get(1), "a"),
                        List.of(),
                        2,
                        Duration.ZERO,
                        9);
        translator.onUpdate(layout);
        translator.assignShardRequests(
                query,
                1,
                List.of(
                        new SliceRequest(0, 0.9, Duration.ofMillis(9)),
                        new SliceRequest(1, 0.1, null)));
        apply(new LayoutChange.Merge(List.of(0, 1)), query);
        assertNull(query.shardRequests.get(0).estimatedWork);
        apply(new LayoutChange.Split(4, List.of(QUARTER)), query);
        assertEquals(0.9, requestFor(query, 5).weight, 1e-9);
        assertEquals(0.1, requestFor(query, 6).weight, 1e-9);
        assertEquals(Duration.ofMillis(9), requestFor(query, 5).estimatedWork);
    }

    @Test
    void answeredRequestIsNotRemapped() throws UnroutableQueryException {
        Query query = request(SideEffects.IDEMPOTENT, 1, 0, 1);
        requestFor(query, 0).markAnswered();
        apply(new LayoutChange.Split(0, List.of(100L)), query);
        assertFalse(translator.remapStaleRequests(query));
        assertEquals(2, query.shardRequests.size());
        assertEquals(0.5, query.answeredWeight(), 1e-9);
    }

    // ---- completeness

    @Test
    void answeredPartsOfSlicesOfTwoLayoutsDoNotCountTogether() throws UnroutableQueryException {
        // The query requests slices 0 and 1. Slice 0 is then split into 4 and 5, and 5 and 1 are
        // merged into 6.
        Query query = request(SideEffects.IDEMPOTENT, 1, 0, 1);
        Attempt attempt = startAttempt(requestFor(query, 1), 5);
        apply(new LayoutChange.Split(0, List.of(QUARTER / 2)), query);
        startAttempt(requestFor(query, 5), 6);
        layout =
                layout.withChange(
                        new LayoutChange.Transfer(1, layout.slice(1).nodes().get(1), "a"),
                        List.of(),
                        layout.version + 1,
                        Duration.ZERO,
                        9);
        apply(new LayoutChange.Merge(List.of(5, 1)), query);
        requestFor(query, 5).markAnswered();
        assertEquals(
                0,
                query.answeredWeight(),
                1e-9,
                "parts of 0 and of 6 are answered, but neither slice is complete");
        requestFor(query, 4).markAnswered();
        assertEquals(
                0.5, query.answeredWeight(), 1e-9, "slice 0 is complete by the requested layout");
        LayoutCompleteness.CompleteRequests complete =
                translator.completenessOf(query).completeRequests(query);
        assertEquals(1, complete.version());
        assertEquals(2, complete.requests().size());
        attempt.end();
        requestFor(query, 1).markAnswered();
        assertEquals(1, query.answeredWeight(), 1e-9);
    }

    @Test
    void requestedSlicesAreFoundForEachCompleteRequest() throws UnroutableQueryException {
        layout =
                layout.withChange(
                        new LayoutChange.Transfer(1, layout.slice(1).nodes().get(1), "a"),
                        List.of(),
                        2,
                        Duration.ZERO,
                        9);
        apply(new LayoutChange.Merge(List.of(0, 1)));
        Query query = request(SideEffects.IDEMPOTENT, 1, 0, 1, 2);
        assertEquals(2, query.shardRequests.size());
        query.shardRequests.forEach(request -> request.markAnswered());
        LayoutCompleteness completeness = translator.completenessOf(query);
        assertEquals(
                List.of(List.of(0, 1), List.of(2)),
                completeness.completeRequests(query).requests().stream()
                        .map(request -> completeness.requestedSlicesIn(request.keys))
                        .toList());
    }

    // ---- versions

    @Test
    void olderLayoutIsRejected() {
        Layout first = layout;
        apply(new LayoutChange.Split(0, List.of(100L)));
        assertFalse(translator.onUpdate(first));
        assertEquals(2, translator.currentLayout().version);
        assertEquals(1, translator.rejectedLayouts());
    }

    @Test
    void unroutableQueryIsRejectedWithItsReason() throws UnroutableQueryException {
        for (int i = 0; i < 6; i++) {
            layout = layout.withVersion(layout.version + 1);
        }
        layout =
                layout.withChange(
                        new LayoutChange.Split(0, List.of(100L)),
                        List.of(4, 5),
                        8,
                        Duration.ZERO,
                        3);
        translator.onUpdate(layout);
        assertEquals(UnroutableQueryException.Reason.LAYOUT_EXPIRED, reasonFor(4, 0));
        assertEquals(UnroutableQueryException.Reason.LAYOUT_UNKNOWN, reasonFor(9, 0));
        assertEquals(UnroutableQueryException.Reason.UNKNOWN_SLICE, reasonFor(8, 0));
        assertEquals(UnroutableQueryException.Reason.UNKNOWN_SLICE, reasonFor(7, 4));
        request(SideEffects.IDEMPOTENT, 7, 0);
        request(SideEffects.IDEMPOTENT, 0, 4);
    }

    private UnroutableQueryException.Reason reasonFor(long version, int slice) {
        return assertThrows(
                        UnroutableQueryException.class,
                        () -> request(SideEffects.IDEMPOTENT, version, slice))
                .reason;
    }

    // ---- replica lists

    @Test
    void excludedReplicaReturnsOnReadmissionOrNewLayout() throws UnroutableQueryException {
        assertEquals(List.of(node), translator.placement().replicas(0));
        Query query = request(SideEffects.IDEMPOTENT, 1, 0);
        translator.excludeReplica(requestFor(query, 0), node);
        assertEquals(List.of(), translator.placement().replicas(0));
        translator.readmitReplica(0, node);
        assertEquals(List.of(node), translator.placement().replicas(0));
        translator.excludeReplica(requestFor(query, 0), node);
        apply(new LayoutChange.Split(1, List.of(QUARTER + 5)));
        assertEquals(
                List.of(node),
                translator.placement().replicas(0),
                "a new layout version clears exclusions");
    }

    @Test
    void acquisitionTimeOfNewHolderIsKnown() {
        assertNull(translator.placement().acquiredAt(1, node));
        apply(new LayoutChange.Transfer(1, layout.slice(1).nodes().get(1), "a"));
        assertEquals(Duration.ofSeconds(1), translator.placement().acquiredAt(1, node));
        assertEquals(2, translator.placement().replicationFactor());
    }
}
