package postbeam.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import postbeam.errors.OperatorErrorException;
import postbeam.model.Readiness;
import postbeam.slices.Coordinator;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.HandoffCommand;
import postbeam.slices.JournalRecord;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.LayoutChange;
import postbeam.slices.MoveJournalState;
import postbeam.slices.MoveLimits;
import postbeam.slices.TargetLayout;

class MigrationManagerTest {
    private static final MoveLimits MOVES =
            new MoveLimits(
                    9,
                    9,
                    9,
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(5),
                    Duration.ZERO,
                    Duration.ofSeconds(1),
                    2,
                    1);
    private static final MigrationLimits LIMITS =
            new MigrationLimits(
                    1,
                    1,
                    10,
                    1000,
                    Duration.ofSeconds(20),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(5),
                    0.97,
                    Duration.ofMillis(300),
                    3,
                    KeyRange.KEY_SPACE_SIZE >>> 9,
                    Duration.ofSeconds(4),
                    Duration.ofSeconds(1));

    private final Map<String, TargetLayout.NodeInfo> nodes = new LinkedHashMap<>();
    private final List<JournalRecord> records = new ArrayList<>();
    private final List<CoordinatorAction.SendCommand> told = new ArrayList<>();
    private final Set<String> differing = new HashSet<>();
    private final Set<HandoffCommand> unanswered = new HashSet<>();

    /** Asked in the order of time. */
    private final List<MigrationAction.RequestDigests> asked = new ArrayList<>();

    private Coordinator coordinator;
    private MigrationManager migrations;
    private Duration now = Duration.ofSeconds(100);
    private long weight = 10;

    MigrationManagerTest() {
        for (String name : List.of("a", "b", "c", "d", "e")) {
            nodes.put(name, new TargetLayout.NodeInfo("z", Readiness.READY));
        }
        records.add(
                new JournalRecord.Snapshot(
                        Layout.initial(4, List.of("a", "b", "c", "d"), 3),
                        1,
                        0,
                        3,
                        List.of(),
                        null,
                        List.of()));
        restart();
    }

    private void restart() {
        MoveJournalState journalState = new MoveJournalState(100);
        MigrationJournalState mine = new MigrationJournalState();
        journalState.workflow(mine);
        records.forEach(journalState::apply);
        coordinator = new Coordinator(journalState, MOVES);
        coordinator.listed(nodes, List.of());
        migrations = new MigrationManager(coordinator, mine, LIMITS, now);
    }

    private void carryOut(List<MigrationAction> doings) {
        for (MigrationAction doing : doings) {
            if (doing instanceof MigrationAction.RequestDigests ask) {
                asked.add(ask);
                List<RangeDigest> said =
                        ask.ranges().stream().map(range -> said(ask.node(), range)).toList();
                migrations.onRangeDigests(ask.requestId(), ask.node(), said, now);
            } else if (doing instanceof MigrationAction.Delegated of
                    && of.action() instanceof CoordinatorAction.AppendRecord write) {
                records.add(write.record());
            } else if (doing instanceof MigrationAction.Delegated of
                    && of.action() instanceof CoordinatorAction.SendCommand tell) {
                told.add(tell);
            }
        }
    }

    private RangeDigest said(String node, KeyRange range) {
        boolean differs = differing.contains(node) && range.from() <= 5 && 5 < range.to();
        return new RangeDigest(range, 0, 7, differs ? 2 : 3, weight, differs ? "dd" : "ee");
    }

    private void goOn(Duration span) {
        Duration end = now.plus(span);
        while (now.compareTo(end) < 0) {
            carryOut(migrations.tick(now));
            List<MigrationAction> doings = new ArrayList<>();
            coordinator.tick(now).forEach(act -> doings.add(new MigrationAction.Delegated(act)));
            carryOut(doings);
            List<CoordinatorAction.SendCommand> all = List.copyOf(told);
            told.clear();
            all.stream()
                    .filter(tell -> !unanswered.contains(tell.command()))
                    .forEach(
                            tell ->
                                    coordinator.acknowledged(
                                            tell.move(),
                                            tell.node(),
                                            tell.command(),
                                            tell.slice()));
            now = now.plusMillis(100);
        }
    }

    private Migration opened(SliceTransfer... hops) throws OperatorErrorException {
        carryOut(migrations.createMigration("acme", List.of(hops), now));
        return one();
    }

    private Migration one() {
        return migrations.journalState().find(1);
    }

    private void pass() throws OperatorErrorException {
        carryOut(migrations.passCheckpoint(1, one().openCheckpoint(), now));
    }

    private static MigrationError error(org.junit.jupiter.api.function.Executable order) {
        return (MigrationError) assertThrows(OperatorErrorException.class, order).error();
    }

    private static final SliceTransfer FIRST = new SliceTransfer(0, "a", "e");
    private static final SliceTransfer SECOND = new SliceTransfer(1, "b", "e");

    @Test
    void itGoesThroughAllStagesAndWaitsAtBothCheckpoints() throws Exception {
        opened(FIRST, SECOND);
        goOn(Duration.ofSeconds(8));
        assertEquals(MigrationState.SWITCH_CHECKPOINT, one().state());
        assertEquals(1, coordinator.book().layout().version, "the old side serves");
        pass();
        goOn(Duration.ofSeconds(1));
        assertEquals(3, coordinator.book().layout().version);
        goOn(Duration.ofSeconds(20));
        assertEquals(MigrationState.RETIREMENT_CHECKPOINT, one().state());
        assertEquals(
                0, told.stream().filter(tell -> tell.command() == HandoffCommand.DROP).count());
        pass();
        goOn(Duration.ofSeconds(2));
        assertEquals(MigrationState.RETIRED, one().state());
        assertEquals(List.of("e", "b", "c"), coordinator.book().layout().slice(0).nodes());
        assertTrue(coordinator.book().activeMoves().isEmpty());
    }

    @Test
    void theSwitchIsOverOnceEachRouterHasToldOrItsLeaseIsPast() throws Exception {
        opened(FIRST);
        goOn(Duration.ofSeconds(8));
        migrations.routerAcknowledgements().onRequest("r1", 1, now);
        migrations.routerAcknowledgements().onResponse("r1", 1, now);
        migrations.routerAcknowledgements().onRequest("r2", 1, now);
        migrations.routerAcknowledgements().onResponse("r2", 1, now);
        pass();
        goOn(Duration.ofSeconds(1));
        assertEquals(MigrationState.SWITCHING, one().state());
        migrations.routerAcknowledgements().onRequest("r1", 2, now);
        assertEquals(List.of("r2"), migrations.routerAcknowledgements().routersBehind(2, now));
        goOn(Duration.ofSeconds(3));
        assertEquals(MigrationState.SWITCHING, one().state(), "r2 may still go by the old layout");
        goOn(Duration.ofSeconds(2));
        assertEquals(MigrationState.OBSERVING, one().state());
    }

    @Test
    void aSuccessorTakesEachRouterForOneThatHasNotTold() throws Exception {
        opened(FIRST);
        goOn(Duration.ofSeconds(8));
        pass();
        restart();
        goOn(Duration.ofMillis(4900));
        assertEquals(MigrationState.SWITCHING, one().state());
        goOn(Duration.ofMillis(500));
        assertEquals(MigrationState.OBSERVING, one().state());
    }

    @Test
    void anyPrefixOfTheRecordsGoesOnToTheSameEnd() throws Exception {
        opened(FIRST, SECOND);
        goOn(Duration.ofSeconds(8));
        pass();
        goOn(Duration.ofSeconds(20));
        carryOut(migrations.rollBack(1, "looks bad", now));
        goOn(Duration.ofSeconds(8));
        assertEquals(MigrationState.ROLLED_BACK, one().state());
        List<JournalRecord> all = List.copyOf(records);
        int from = 0;
        while (!(all.get(from) instanceof MigrationRecord.Created)) {
            from++;
        }
        for (int end = from + 1; end <= all.size(); end++) {
            records.clear();
            records.addAll(all.subList(0, end));
            told.clear();
            restart();
            if (one().state().allowsRollback()) {
                carryOut(migrations.rollBack(1, "looks bad", now));
            }
            goOn(Duration.ofSeconds(12));
            assertEquals(MigrationState.ROLLED_BACK, one().state(), "after " + all.get(end - 1));
            assertEquals(
                    List.of("a", "b", "c"),
                    coordinator.book().layout().slice(0).nodes().stream().sorted().toList());
            assertEquals(
                    List.of("b", "c", "d"),
                    coordinator.book().layout().slice(1).nodes().stream().sorted().toList());
        }
    }

    @Test
    void aDifferenceStopsTheSwitchAndIsNarrowedToItsKeys() throws Exception {
        differing.add("e");
        opened(FIRST);
        goOn(Duration.ofSeconds(20));
        assertEquals(MigrationState.VERIFYING, one().state());
        assertEquals(PauseReason.DIGEST_MISMATCH, one().pauseReason());
        assertTrue(
                one().pauseDetail().contains("keys 0-")
                        && one().pauseDetail().contains("3 rows at a, 2 at e"),
                one().pauseDetail());
        long finest =
                asked.stream()
                        .flatMap(ask -> ask.ranges().stream())
                        .mapToLong(KeyRange::size)
                        .min()
                        .orElse(0);
        assertTrue(finest <= LIMITS.minRangeSize(), finest + " keys");
        // Going on never passes it by: the copy is made anew, and compared again.
        carryOut(migrations.resume(1, now));
        goOn(Duration.ofSeconds(20));
        assertEquals(PauseReason.DIGEST_MISMATCH, one().pauseReason());
        assertEquals(null, one().openCheckpoint());
        differing.clear();
        carryOut(migrations.resume(1, now));
        goOn(Duration.ofSeconds(20));
        assertEquals(MigrationState.SWITCH_CHECKPOINT, one().state());
    }

    @Test
    void eachOrderThatCantBeTakenHasItsOwnError() throws Exception {
        assertEquals(new MigrationError.NotFound(9), error(() -> migrations.pause(9, "x", now)));
        assertTrue(
                error(() -> migrations.createMigration("acme", List.of(FIRST, FIRST), now))
                        instanceof MigrationError.InvalidPlan);
        opened(FIRST);
        assertTrue(
                error(
                                () ->
                                        migrations.createMigration(
                                                "other",
                                                List.of(new SliceTransfer(0, "b", "e")),
                                                now))
                        instanceof MigrationError.InvalidPlan);
        assertEquals(
                "slice 0 belongs to migration 1 of acme",
                coordinator.rejectionReason(new LayoutChange.Transfer(0, "b", "e")).orElse(""));
        Checkpoint none = new Checkpoint(1, "x");
        assertEquals(
                new MigrationError.NoOpenCheckpoint(1, MigrationState.PLANNED),
                error(() -> migrations.passCheckpoint(1, none, now)));
        assertEquals(new MigrationError.NotPaused(1), error(() -> migrations.resume(1, now)));
        goOn(Duration.ofSeconds(8));
        Checkpoint open = one().openCheckpoint();
        assertEquals(
                new MigrationError.StaleCheckpoint(1, none, open),
                error(() -> migrations.passCheckpoint(1, none, now)));
        carryOut(migrations.pause(1, "lunch", now));
        assertEquals(
                new MigrationError.MigrationPaused(1, "lunch"),
                error(() -> migrations.pause(1, "again", now)));
        assertEquals(
                new MigrationError.MigrationPaused(1, "lunch"),
                error(() -> migrations.passCheckpoint(1, open, now)));
        nodes.put("b", new TargetLayout.NodeInfo("z", Readiness.DRAINING));
        nodes.put("c", new TargetLayout.NodeInfo("z", Readiness.REMOVED));
        coordinator.listed(nodes, List.of());
        assertTrue(
                error(() -> migrations.resume(1, now))
                        instanceof MigrationError.PauseReasonPersists);
        nodes.replaceAll((name, node) -> new TargetLayout.NodeInfo("z", Readiness.READY));
        coordinator.listed(nodes, List.of());
        carryOut(migrations.resume(1, now));
        pass();
        assertEquals(
                new MigrationError.CheckpointAlreadyPassed(1, open),
                error(() -> migrations.passCheckpoint(1, open, now)));
        goOn(Duration.ofSeconds(20));
        pass();
        assertEquals(
                new MigrationError.RollbackTooLate(1, MigrationState.RETIRING),
                error(() -> migrations.rollBack(1, "x", now)));
    }

    @Test
    void eachErrorSaysWhatHappenedAndWhatToDo() {
        List<MigrationError> all =
                List.of(
                        new MigrationError.NotFound(1),
                        new MigrationError.InvalidPlan("m", "w"),
                        new MigrationError.NoOpenCheckpoint(1, MigrationState.COPYING),
                        new MigrationError.StaleCheckpoint(
                                1, new Checkpoint(1, "a"), new Checkpoint(2, "b")),
                        new MigrationError.CheckpointAlreadyPassed(1, new Checkpoint(1, "a")),
                        new MigrationError.MigrationPaused(1, "w"),
                        new MigrationError.NotPaused(1),
                        new MigrationError.PauseReasonPersists(1, "w"),
                        new MigrationError.RollbackTooLate(1, MigrationState.RETIRING),
                        new MigrationError.MalformedCommand("w"),
                        new MigrationError.LeadershipLost(3, "w"),
                        new MigrationError.MigrationsDisabled());
        assertEquals(
                MigrationError.class.getPermittedSubclasses().length,
                all.stream().map(Object::getClass).distinct().count());
        all.forEach(
                error ->
                        assertTrue(
                                error.message().equals(error.problem() + "; " + error.remedy())
                                        && !error.message().endsWith(".")
                                        && error.remedy().length() > 10,
                                error.message()));
    }

    @Test
    void itPausesByItselfAndKeepsTheCause() throws Exception {
        migrations.updateUtility("acme", 0.9);
        opened(FIRST);
        goOn(Duration.ofSeconds(1));
        migrations.updateUtility("acme", 0.8);
        goOn(Duration.ofMillis(200));
        assertEquals(PauseReason.UTILITY_DROPPED, one().pauseReason());
        restart();
        assertEquals(PauseReason.UTILITY_DROPPED, one().pauseReason(), "kept on disk");
        migrations.updateUtility("acme", 0.9);
        carryOut(migrations.resume(1, now));
        carryOut(migrations.onNodesStarted(List.of("e"), now));
        goOn(Duration.ofMillis(200));
        assertEquals(PauseReason.TARGET_WARMING_UP, one().pauseReason());
        now = now.plusSeconds(4);
        carryOut(migrations.resume(1, now));
        unanswered.add(HandoffCommand.COPY);
        goOn(Duration.ofSeconds(21));
        assertEquals(PauseReason.STALLED, one().pauseReason());
        unanswered.clear();
        carryOut(migrations.resume(1, now));
        nodes.put("b", new TargetLayout.NodeInfo("z", Readiness.DRAINING));
        nodes.put("c", new TargetLayout.NodeInfo("z", Readiness.DRAINING));
        coordinator.listed(nodes, List.of());
        goOn(Duration.ofMillis(300));
        assertEquals(PauseReason.TOO_FEW_READY_REPLICAS, one().pauseReason());
        int version = (int) coordinator.book().layout().version;
        goOn(Duration.ofSeconds(30));
        assertEquals(version, coordinator.book().layout().version);
    }

    @Test
    void copiesBeginByThePaceAndMembersGetTheirTurns() {
        MigrationThrottle pace = new MigrationThrottle(10, 1000);
        assertTrue(pace.canStart(now));
        pace.onCopyStarted("large", 5000, now);
        assertFalse(pace.canStart(now.plusMillis(4999)));
        assertTrue(pace.canStart(now.plusSeconds(5)));
        pace.onCopyStarted("small", 0, now.plusSeconds(5));
        assertFalse(pace.canStart(now.plusSeconds(5).plusMillis(99)));
        assertTrue(
                pace.copiedBytes("small") < pace.copiedBytes("large"),
                "the small one is served before the large one again");
    }

    @Test
    void oneMigrationAtATimeIsUnderWay() throws Exception {
        opened(FIRST);
        carryOut(migrations.createMigration("other", List.of(SECOND), now));
        goOn(Duration.ofSeconds(8));
        assertEquals(MigrationState.PLANNED, migrations.journalState().find(2).state());
        carryOut(migrations.rollBack(1, "x", now));
        goOn(Duration.ofSeconds(2));
        assertEquals(MigrationState.ROLLED_BACK, one().state());
        assertEquals("a", coordinator.book().layout().slice(0).nodes().get(0));
        goOn(Duration.ofSeconds(8));
        assertEquals(MigrationState.SWITCH_CHECKPOINT, migrations.journalState().find(2).state());
    }
}
