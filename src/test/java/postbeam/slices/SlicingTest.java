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
import postbeam.state.DataNode;
import postbeam.state.Effect;
import postbeam.state.LeafCall;
import postbeam.state.Part;
import postbeam.state.Query;
import postbeam.state.Vertical;
import postbeam.state.Zone;

class SlicingTest {
    private static final long QUARTER = KeyRange.KEYS / 4;

    private final Slicing slicing = new Slicing();
    private final DataNode node = new DataNode(0, new Zone(true));
    private final Map<DataNode, String> names = new HashMap<>(Map.of(node, "a"));
    private Layout layout = Layout.first(4, List.of("a", "b", "c"), 2);
    private int births = 4;

    SlicingTest() {
        slicing.holders().know(names::get, at -> at);
        slicing.holders().add(node);
        slicing.told(layout);
    }

    private static Query query(Effect effect, double floor) {
        return new Query(
                new Vertical(
                        Duration.ofSeconds(1),
                        effect,
                        Duration.ofSeconds(1),
                        1,
                        0.1,
                        1,
                        floor,
                        0.9),
                null,
                Duration.ZERO,
                Duration.ofSeconds(3));
    }

    /** Asks for these slices of the layout told first, with even weights. */
    private Query asked(Effect effect, long version, int... slices) throws Unroutable {
        Query query = query(effect, 0.25);
        List<Asking> askings = new ArrayList<>();
        for (int slice : slices) {
            askings.add(new Asking(slice, 1.0 / slices.length, Duration.ofMillis(8)));
        }
        slicing.take(query, version, askings);
        return query;
    }

    private List<Integer> births(Change change) {
        List<Integer> born = new ArrayList<>();
        for (int i = 0; i < change.births(); i++) {
            born.add(births++);
        }
        return born;
    }

    private void after(Change change, Query... open) {
        layout =
                layout.after(
                        change,
                        births(change),
                        layout.version + 1,
                        Duration.ofSeconds(layout.version),
                        100);
        assertTrue(slicing.told(layout));
        for (Query query : open) {
            slicing.recut(query);
        }
    }

    private LeafCall sent(Part part, int atMs) {
        return new LeafCall(part, node, Duration.ofMillis(atMs), null);
    }

    private static Part part(Query query, int slice) {
        return query.parts.stream().filter(part -> part.shard == slice).findFirst().orElse(null);
    }

    // ---- lineage

    @Test
    void aSplitDividesWeightsAndWorkHintsAndKeepsThePast() throws Unroutable {
        Query query = asked(Effect.SIDE_EFFECTING, 1, 0, 1);
        LeafCall call = sent(part(query, 0), 5);
        Change split = new Change.Split(0, List.of(QUARTER / 4));
        after(split, query);
        assertNotNull(part(query, 0), "what is out stays as it was sent");
        // Its answer is an error: it may have run.
        call.end();
        part(query, 0).mayHaveRun(call.sentAt);
        assertTrue(slicing.recut(query));
        assertNull(part(query, 0));
        for (int slice : new int[] {4, 5}) {
            assertEquals(
                    Duration.ofMillis(5),
                    part(query, slice).mayHaveExecutedSince(),
                    "a child may have run");
            assertEquals(List.of(call), part(query, slice).calls);
        }
        assertEquals(0.125, part(query, 4).weight, 1e-9);
        assertEquals(0.375, part(query, 5).weight, 1e-9);
        assertEquals(Duration.ofMillis(2), part(query, 4).work);
        assertEquals(Duration.ofMillis(6), part(query, 5).work);
    }

    @Test
    void aMergeOfAPartThatMayHaveRunAndOneThatNeverWasSentKeepsBothPasts() throws Unroutable {
        Query query = asked(Effect.SIDE_EFFECTING, 1, 1, 2);
        LeafCall call = sent(part(query, 1), 5);
        call.end();
        part(query, 1).mayHaveRun(call.sentAt);
        Query fresh = asked(Effect.SIDE_EFFECTING, 1, 1, 2);
        layout =
                layout.after(
                        new Change.Move(
                                2, layout.slice(2).nodes().get(1), layout.slice(1).nodes().get(0)),
                        List.of(),
                        2,
                        Duration.ZERO,
                        9);
        after(new Change.Merge(List.of(1, 2)), query, fresh);
        assertEquals(2, query.parts.size());
        assertEquals(1, query.count(part -> part.mayHaveExecutedSince() != null));
        assertEquals(1, query.count(part -> part.calls.isEmpty()));
        assertTrue(query.parts.stream().allMatch(part -> part.shard == 4));
        assertEquals(
                1,
                fresh.parts.size(),
                "parts that nothing was sent for are joined: one answer for both");
        assertEquals(1.0, fresh.parts.get(0).weight, 1e-9);
    }

    @Test
    void twoRecutsDuringOneQueryKeepThePastOfEach() throws Unroutable {
        Query query = asked(Effect.DEDUPLICATED, 1, 0);
        LeafCall call = sent(part(query, 0), 7);
        after(new Change.Split(0, List.of(100L)), query);
        after(new Change.Merge(List.of(4, 5)), query);
        call.end();
        part(query, 0).mayHaveRun(call.sentAt);
        slicing.recut(query);
        assertEquals(1, query.parts.size());
        assertEquals(6, query.parts.get(0).shard);
        assertEquals(
                Duration.ofMillis(7),
                query.parts.get(0).mayHaveExecutedSince(),
                "the window counts from the first send");
    }

    @Test
    void whatWasJoinedAndIsCutAgainHasTheWeightsThatItsClientGave() throws Unroutable {
        Query query = query(Effect.REPEATABLE, 1);
        layout =
                layout.after(
                        new Change.Move(1, layout.slice(1).nodes().get(1), "a"),
                        List.of(),
                        2,
                        Duration.ZERO,
                        9);
        slicing.told(layout);
        slicing.take(
                query,
                1,
                List.of(new Asking(0, 0.9, Duration.ofMillis(9)), new Asking(1, 0.1, null)));
        after(new Change.Merge(List.of(0, 1)), query);
        assertNull(query.parts.get(0).work);
        after(new Change.Split(4, List.of(QUARTER)), query);
        assertEquals(0.9, part(query, 5).weight, 1e-9);
        assertEquals(0.1, part(query, 6).weight, 1e-9);
        assertEquals(Duration.ofMillis(9), part(query, 5).work);
    }

    @Test
    void whatIsMergedStaysAndIsNotAskedAgain() throws Unroutable {
        Query query = asked(Effect.REPEATABLE, 1, 0, 1);
        part(query, 0).markAnswered();
        after(new Change.Split(0, List.of(100L)), query);
        assertFalse(slicing.recut(query));
        assertEquals(2, query.parts.size());
        assertEquals(0.5, query.mergedWeight(), 1e-9);
    }

    // ---- the floor and the whole mark

    @Test
    void halvesOfTwoSlicesAreNoSliceOfEitherLayout() throws Unroutable {
        // Named: 0 and 1. Then 0 is cut into 4 and 5, and 5 joined with 1 to 6.
        Query query = asked(Effect.REPEATABLE, 1, 0, 1);
        LeafCall call = sent(part(query, 1), 5);
        after(new Change.Split(0, List.of(QUARTER / 2)), query);
        sent(part(query, 5), 6);
        layout =
                layout.after(
                        new Change.Move(1, layout.slice(1).nodes().get(1), "a"),
                        List.of(),
                        layout.version + 1,
                        Duration.ZERO,
                        9);
        after(new Change.Merge(List.of(5, 1)), query);
        part(query, 5).markAnswered();
        assertEquals(
                0, query.mergedWeight(), 1e-9, "half of 0 is in, and half of 6: neither slice is");
        part(query, 4).markAnswered();
        assertEquals(0.5, query.mergedWeight(), 1e-9, "0 is in, by the layout that was named");
        Pin.Counted counted = slicing.pinOf(query).counted(query);
        assertEquals(1, counted.version());
        assertEquals(2, counted.pieces().size());
        call.end();
        part(query, 1).markAnswered();
        assertEquals(1, query.mergedWeight(), 1e-9);
    }

    @Test
    void anAnswerTellsWhichNamedSlicesAValueIsFor() throws Unroutable {
        layout =
                layout.after(
                        new Change.Move(1, layout.slice(1).nodes().get(1), "a"),
                        List.of(),
                        2,
                        Duration.ZERO,
                        9);
        after(new Change.Merge(List.of(0, 1)));
        Query query = asked(Effect.REPEATABLE, 1, 0, 1, 2);
        assertEquals(2, query.parts.size());
        query.parts.forEach(part -> part.markAnswered());
        Pin pin = slicing.pinOf(query);
        assertEquals(
                List.of(List.of(0, 1), List.of(2)),
                pin.counted(query).pieces().stream()
                        .map(piece -> pin.namesOf(piece.keys))
                        .toList());
    }

    // ---- versions

    @Test
    void aLayoutThatGoesBackIsRefused() {
        Layout first = layout;
        after(new Change.Split(0, List.of(100L)));
        assertFalse(slicing.told(first));
        assertEquals(2, slicing.held().version);
        assertEquals(1, slicing.refused());
    }

    @Test
    void whatCantBeRoutedIsToldApart() throws Unroutable {
        for (int i = 0; i < 6; i++) {
            layout = layout.again(layout.version + 1);
        }
        layout =
                layout.after(
                        new Change.Split(0, List.of(100L)), List.of(4, 5), 8, Duration.ZERO, 3);
        slicing.told(layout);
        assertEquals(Unroutable.Reason.NO_LONGER_KEPT, refused(4, 0));
        assertEquals(Unroutable.Reason.NOT_KNOWN_YET, refused(9, 0));
        assertEquals(Unroutable.Reason.NO_SUCH_SLICE, refused(8, 0));
        assertEquals(Unroutable.Reason.NO_SUCH_SLICE, refused(7, 4));
        asked(Effect.REPEATABLE, 7, 0);
        asked(Effect.REPEATABLE, 0, 4);
    }

    private Unroutable.Reason refused(long version, int slice) {
        return assertThrows(Unroutable.class, () -> asked(Effect.REPEATABLE, version, slice))
                .reason;
    }

    // ---- replica lists

    @Test
    void aNodeThatSaysItHoldsASliceNoMoreIsLeftOutForAWhile() throws Unroutable {
        assertEquals(List.of(node), slicing.holders().replicas(0));
        Query query = asked(Effect.REPEATABLE, 1, 0);
        slicing.left(part(query, 0), node);
        assertEquals(List.of(), slicing.holders().replicas(0));
        slicing.forgiven(0, node);
        assertEquals(List.of(node), slicing.holders().replicas(0));
        slicing.left(part(query, 0), node);
        after(new Change.Split(1, List.of(QUARTER + 5)));
        assertEquals(
                List.of(node),
                slicing.holders().replicas(0),
                "a new version clears what was said of the last");
    }

    @Test
    void aHolderThatTookASliceIsKnownToBeCold() {
        assertNull(slicing.holders().tookAt(1, node));
        after(new Change.Move(1, layout.slice(1).nodes().get(1), "a"));
        assertEquals(Duration.ofSeconds(1), slicing.holders().tookAt(1, node));
        assertEquals(2, slicing.holders().reach());
    }
}
