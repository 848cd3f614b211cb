package postbeam.slices;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import postbeam.model.Readiness;

/** Tests the rejection of changes and targets, with the reasons given. */
class ChangePlannerTest extends CoordinatorScenario {
    @Test
    void invalidChangeIsRejectedWithOneLineAndNoRecord() {
        nodes.put("e", new TargetLayout.NodeInfo("z0", Readiness.DRAINING));
        coordinator.onNodesListed(nodes, List.of());
        plan(new LayoutChange.Transfer(2, "c", "a"));
        int before = records.size();
        Map<LayoutChange, String> reasons = new LinkedHashMap<>();
        reasons.put(new LayoutChange.Split(9, List.of(5L)), "there is no slice 9");
        reasons.put(
                new LayoutChange.Split(0, List.of(KeyRange.KEY_SPACE_SIZE - 1)), "can't be cut at");
        reasons.put(new LayoutChange.Merge(List.of(0, 2)), "slice 2 is moving already");
        reasons.put(new LayoutChange.Merge(List.of(0, 1)), "held by different nodes");
        reasons.put(new LayoutChange.Merge(List.of(1, 0)), "not adjacent in key order");
        reasons.put(new LayoutChange.Transfer(0, "a", "x"), "there is no node x");
        reasons.put(new LayoutChange.Transfer(0, "a", "e"), "node e is draining");
        reasons.put(new LayoutChange.Transfer(0, "a", "b"), "is held by b already");
        reasons.put(new LayoutChange.Transfer(0, "d", "c"), "is not held by d");
        reasons.put(new LayoutChange.Transfer(0, "a", null), "1 holders, at least 2 are needed");
        reasons.put(
                new LayoutChange.Transfer(0, "a", "d"),
                "holders in 1 zones, at least 2 are needed");
        reasons.forEach(
                (change, reason) -> {
                    String message =
                            assertThrows(
                                            IllegalArgumentException.class,
                                            () -> coordinator.plan(change, now))
                                    .getMessage();
                    assertTrue(message.contains(reason), change + ": " + message);
                    assertFalse(message.contains("\n"));
                });
        assertEquals(before, records.size());
    }

    /** Only an operator can know whether a holder that is not listed is dead or cut off. */
    @Test
    void transferOffUnlistedHolderNeedsTheStatementThatItIsDead() {
        LayoutChange transfer = new LayoutChange.Transfer(0, "a", "c");
        LayoutChange offDeadHolder = new LayoutChange.Transfer(0, "a", "c", true);
        assertEquals(
                "holder a of slice 0 is listed by discovery: start the move without \"dead\"",
                coordinator.rejectionReason(offDeadHolder).orElseThrow());
        setReadiness("a", Readiness.REMOVED);
        assertTrue(
                coordinator
                        .rejectionReason(transfer)
                        .orElseThrow()
                        .startsWith(
                                "holder a of slice 0 is no longer listed by discovery and can't be"
                                        + " fenced"));
        assertEquals(Optional.empty(), coordinator.rejectionReason(offDeadHolder));
    }

    @Test
    void invalidTargetIsRejectedWithOneLinePerProblem() {
        KeyRange low = new KeyRange(0, 100);
        assertEquals(
                List.of("gap: no slice holds the keys 100-" + KeyRange.KEY_SPACE_SIZE),
                coordinator.targetProblems(
                        new TargetLayout(
                                List.of(new TargetLayout.DesiredSlice(low, List.of("a", "b"))))));
        assertEquals(
                List.of("overlap: two slices hold the keys 50-100"),
                coordinator.targetProblems(
                        new TargetLayout(
                                List.of(
                                        new TargetLayout.DesiredSlice(low, List.of("a", "b")),
                                        new TargetLayout.DesiredSlice(
                                                new KeyRange(50, KeyRange.KEY_SPACE_SIZE),
                                                List.of("a", "b"))))));
        assertEquals(
                3,
                coordinator
                        .targetProblems(
                                new TargetLayout(
                                        List.of(
                                                new TargetLayout.DesiredSlice(
                                                        low, List.of("a", "x")),
                                                new TargetLayout.DesiredSlice(
                                                        new KeyRange(100, KeyRange.KEY_SPACE_SIZE),
                                                        List.of("a", "a")))))
                        .size());
    }
}
