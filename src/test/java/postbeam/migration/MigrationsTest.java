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
import postbeam.errors.ExplainedException;
import postbeam.slices.Act;
import postbeam.slices.Book;
import postbeam.slices.Change;
import postbeam.slices.Coordinator;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Logged;
import postbeam.slices.MoveLimits;
import postbeam.slices.Order;
import postbeam.slices.Target;
import postbeam.state.Readiness;

class MigrationsTest {
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
                    KeyRange.KEYS >>> 9,
                    Duration.ofSeconds(4),
                    Duration.ofSeconds(1));

    private final Map<String, Target.Known> nodes = new LinkedHashMap<>();
    private final List<Logged> records = new ArrayList<>();
    private final List<Act.Tell> told = new ArrayList<>();
    private final Set<String> differing = new HashSet<>();
    private final Set<Order> unanswered = new HashSet<>();

    /** Asked in the order of time. */
    private final List<Doing.Ask> asked = new ArrayList<>();

    private Coordinator coordinator;
    private Migrations migrations;
    private Duration now = Duration.ofSeconds(100);
    private long weight = 10;

    MigrationsTest() {
        for (String name : List.of("a", "b", "c", "d", "e")) {
            nodes.put(name, new Target.Known("z", Readiness.READY));
        }
        records.add(
                new Logged.Whole(
                        Layout.first(4, List.of("a", "b", "c", "d"), 3),
                        1,
                        0,
                        3,
                        List.of(),
                        null,
                        List.of()));
        restart();
    }

    private void restart() {
        Book book = new Book(100);
        MigrationBook mine = new MigrationBook();
        book.others(mine);
        records.forEach(book::apply);
        coordinator = new Coordinator(book, MOVES);
        coordinator.listed(nodes, List.of());
        migrations = new Migrations(coordinator, mine, LIMITS, now);
    }

    private void carryOut(List<Doing> doings) {
        for (Doing doing : doings) {
            if (doing instanceof Doing.Ask ask) {
                asked.add(ask);
                List<Said> said =
                        ask.ranges().stream().map(range -> said(ask.node(), range)).toList();
                migrations.answered(ask.number(), ask.node(), said, now);
            } else if (doing instanceof Doing.Of of && of.act() instanceof Act.Write write) {
                records.add(write.record());
            } else if (doing instanceof Doing.Of of && of.act() instanceof Act.Tell tell) {
                told.add(tell);
            }
        }
    }

    private Said said(String node, KeyRange range) {
        boolean differs = differing.contains(node) && range.from() <= 5 && 5 < range.to();
        return new Said(range, 0, 7, differs ? 2 : 3, weight, differs ? "dd" : "ee");
    }

    private void goOn(Duration span) {
        Duration end = now.plus(span);
        while (now.compareTo(end) < 0) {
            carryOut(migrations.tick(now));
            List<Doing> doings = new ArrayList<>();
            coordinator.tick(now).forEach(act -> doings.add(new Doing.Of(act)));
            carryOut(doings);
            List<Act.Tell> all = List.copyOf(told);
            told.clear();
            all.stream()
                    .filter(tell -> !unanswered.contains(tell.order()))
                    .forEach(
                            tell ->
                                    coordinator.done(
                                            tell.move(), tell.node(), tell.order(), tell.slice()));
            now = now.plusMillis(100);
        }
    }

    private Migration opened(Hop... hops) throws ExplainedException {
        carryOut(migrations.open("acme", List.of(hops), now));
        return one();
    }

    private Migration one() {
        return migrations.book().of(1);
    }

    private void pass() throws ExplainedException {
        carryOut(migrations.pass(1, one().open(), now));
    }

    private static MigrationError error(org.junit.jupiter.api.function.Executable order) {
        return (MigrationError) assertThrows(ExplainedException.class, order).error();
    }

    private static final Hop FIRST = new Hop(0, "a", "e");
    private static final Hop SECOND = new Hop(1, "b", "e");

    @Test
    void itGoesThroughAllStagesAndWaitsAtBothCheckpoints() throws Exception {
        opened(FIRST, SECOND);
        goOn(Duration.ofSeconds(8));
        assertEquals(Stage.CHECKPOINT, one().stage());
        assertEquals(1, coordinator.book().layout().version, "the old side serves");
        pass();
        goOn(Duration.ofSeconds(1));
        assertEquals(3, coordinator.book().layout().version);
        goOn(Duration.ofSeconds(20));
        assertEquals(Stage.LAST_CHECKPOINT, one().stage());
        assertEquals(0, told.stream().filter(tell -> tell.order() == Order.DROP).count());
        pass();
        goOn(Duration.ofSeconds(2));
        assertEquals(Stage.RETIRED, one().stage());
        assertEquals(List.of("e", "b", "c"), coordinator.book().layout().slice(0).nodes());
        assertTrue(coordinator.book().moves().isEmpty());
    }

    @Test
    void theSwitchIsOverOnceEachRouterHasToldOrItsLeaseIsPast() throws Exception {
        opened(FIRST);
        goOn(Duration.ofSeconds(8));
        migrations.routers().asked("r1", 1, now);
        migrations.routers().answered("r1", 1, now);
        migrations.routers().asked("r2", 1, now);
        migrations.routers().answered("r2", 1, now);
        pass();
        goOn(Duration.ofSeconds(1));
        assertEquals(Stage.SWITCHING, one().stage());
        migrations.routers().asked("r1", 2, now);
        assertEquals(List.of("r2"), migrations.routers().behind(2, now));
        goOn(Duration.ofSeconds(3));
        assertEquals(Stage.SWITCHING, one().stage(), "r2 may still go by the old layout");
        goOn(Duration.ofSeconds(2));
        assertEquals(Stage.WATCHED, one().stage());
    }

    @Test
    void aSuccessorTakesEachRouterForOneThatHasNotTold() throws Exception {
        opened(FIRST);
        goOn(Duration.ofSeconds(8));
        pass();
        restart();
        goOn(Duration.ofMillis(4900));
        assertEquals(Stage.SWITCHING, one().stage());
        goOn(Duration.ofMillis(500));
        assertEquals(Stage.WATCHED, one().stage());
    }

    @Test
    void anyPrefixOfTheRecordsGoesOnToTheSameEnd() throws Exception {
        opened(FIRST, SECOND);
        goOn(Duration.ofSeconds(8));
        pass();
        goOn(Duration.ofSeconds(20));
        carryOut(migrations.rollBack(1, "looks bad", now));
        goOn(Duration.ofSeconds(8));
        assertEquals(Stage.ROLLED_BACK, one().stage());
        List<Logged> all = List.copyOf(records);
        int from = 0;
        while (!(all.get(from) instanceof Noted.Opened)) {
            from++;
        }
        for (int end = from + 1; end <= all.size(); end++) {
            records.clear();
            records.addAll(all.subList(0, end));
            told.clear();
            restart();
            if (one().stage().mayGoBack()) {
                carryOut(migrations.rollBack(1, "looks bad", now));
            }
            goOn(Duration.ofSeconds(12));
            assertEquals(Stage.ROLLED_BACK, one().stage(), "after " + all.get(end - 1));
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
        assertEquals(Stage.VERIFYING, one().stage());
        assertEquals(Cause.DIFFERS, one().cause());
        assertTrue(
                one().pausedWhy().contains("keys 0-")
                        && one().pausedWhy().contains("3 rows at a, 2 at e"),
                one().pausedWhy());
        long finest =
                asked.stream()
                        .flatMap(ask -> ask.ranges().stream())
                        .mapToLong(KeyRange::size)
                        .min()
                        .orElse(0);
        assertTrue(finest <= LIMITS.finest(), finest + " keys");
        // Going on never passes it by: the copy is made anew, and compared again.
        carryOut(migrations.resume(1, now));
        goOn(Duration.ofSeconds(20));
        assertEquals(Cause.DIFFERS, one().cause());
        assertEquals(null, one().open());
        differing.clear();
        carryOut(migrations.resume(1, now));
        goOn(Duration.ofSeconds(20));
        assertEquals(Stage.CHECKPOINT, one().stage());
    }

    @Test
    void eachOrderThatCantBeTakenHasItsOwnError() throws Exception {
        assertEquals(new MigrationError.NoSuch(9), error(() -> migrations.pause(9, "x", now)));
        assertTrue(
                error(() -> migrations.open("acme", List.of(FIRST, FIRST), now))
                        instanceof MigrationError.CantPlan);
        opened(FIRST);
        assertTrue(
                error(() -> migrations.open("other", List.of(new Hop(0, "b", "e")), now))
                        instanceof MigrationError.CantPlan);
        assertEquals(
                "slice 0 belongs to migration 1 of acme",
                coordinator.problem(new Change.Move(0, "b", "e")).orElse(""));
        Checkpoint none = new Checkpoint(1, "x");
        assertEquals(
                new MigrationError.NoCheckpoint(1, Stage.PLANNED),
                error(() -> migrations.pass(1, none, now)));
        assertEquals(new MigrationError.NotPaused(1), error(() -> migrations.resume(1, now)));
        goOn(Duration.ofSeconds(8));
        Checkpoint open = one().open();
        assertEquals(
                new MigrationError.Stale(1, none, open),
                error(() -> migrations.pass(1, none, now)));
        carryOut(migrations.pause(1, "lunch", now));
        assertEquals(
                new MigrationError.IsPaused(1, "lunch"),
                error(() -> migrations.pause(1, "again", now)));
        assertEquals(
                new MigrationError.IsPaused(1, "lunch"),
                error(() -> migrations.pass(1, open, now)));
        nodes.put("b", new Target.Known("z", Readiness.DRAINING));
        nodes.put("c", new Target.Known("z", Readiness.GONE));
        coordinator.listed(nodes, List.of());
        assertTrue(error(() -> migrations.resume(1, now)) instanceof MigrationError.StillSo);
        nodes.replaceAll((name, node) -> new Target.Known("z", Readiness.READY));
        coordinator.listed(nodes, List.of());
        carryOut(migrations.resume(1, now));
        pass();
        assertEquals(
                new MigrationError.Doubled(1, open), error(() -> migrations.pass(1, open, now)));
        goOn(Duration.ofSeconds(20));
        pass();
        assertEquals(
                new MigrationError.TooLate(1, Stage.RETIRING),
                error(() -> migrations.rollBack(1, "x", now)));
    }

    @Test
    void eachErrorSaysWhatHappenedAndWhatToDo() {
        List<MigrationError> all =
                List.of(
                        new MigrationError.NoSuch(1),
                        new MigrationError.CantPlan("m", "w"),
                        new MigrationError.NoCheckpoint(1, Stage.COPYING),
                        new MigrationError.Stale(1, new Checkpoint(1, "a"), new Checkpoint(2, "b")),
                        new MigrationError.Doubled(1, new Checkpoint(1, "a")),
                        new MigrationError.IsPaused(1, "w"),
                        new MigrationError.NotPaused(1),
                        new MigrationError.StillSo(1, "w"),
                        new MigrationError.TooLate(1, Stage.RETIRING),
                        new MigrationError.BadOrder("w"),
                        new MigrationError.OfficeLost(3, "w"),
                        new MigrationError.SwitchedOff());
        assertEquals(
                MigrationError.class.getPermittedSubclasses().length,
                all.stream().map(Object::getClass).distinct().count());
        all.forEach(
                error ->
                        assertTrue(
                                error.line().equals(error.happened() + "; " + error.advice())
                                        && !error.line().endsWith(".")
                                        && error.advice().length() > 10,
                                error.line()));
    }

    @Test
    void itPausesByItselfAndKeepsTheCause() throws Exception {
        migrations.utility("acme", 0.9);
        opened(FIRST);
        goOn(Duration.ofSeconds(1));
        migrations.utility("acme", 0.8);
        goOn(Duration.ofMillis(200));
        assertEquals(Cause.UTILITY_FELL, one().cause());
        restart();
        assertEquals(Cause.UTILITY_FELL, one().cause(), "kept on disk");
        migrations.utility("acme", 0.9);
        carryOut(migrations.resume(1, now));
        carryOut(migrations.started(List.of("e"), now));
        goOn(Duration.ofMillis(200));
        assertEquals(Cause.TARGET_COLD, one().cause());
        now = now.plusSeconds(4);
        carryOut(migrations.resume(1, now));
        unanswered.add(Order.COPY);
        goOn(Duration.ofSeconds(21));
        assertEquals(Cause.STARVED, one().cause());
        unanswered.clear();
        carryOut(migrations.resume(1, now));
        nodes.put("b", new Target.Known("z", Readiness.DRAINING));
        nodes.put("c", new Target.Known("z", Readiness.DRAINING));
        coordinator.listed(nodes, List.of());
        goOn(Duration.ofMillis(300));
        assertEquals(Cause.SHARD_THIN, one().cause());
        int version = (int) coordinator.book().layout().version;
        goOn(Duration.ofSeconds(30));
        assertEquals(version, coordinator.book().layout().version);
    }

    @Test
    void copiesBeginByThePaceAndMembersGetTheirTurns() {
        Pace pace = new Pace(10, 1000);
        assertTrue(pace.free(now));
        pace.begun("large", 5000, now);
        assertFalse(pace.free(now.plusMillis(4999)));
        assertTrue(pace.free(now.plusSeconds(5)));
        pace.begun("small", 0, now.plusSeconds(5));
        assertFalse(pace.free(now.plusSeconds(5).plusMillis(99)));
        assertTrue(
                pace.had("small") < pace.had("large"),
                "the small one is served before the large one again");
    }

    @Test
    void oneMigrationAtATimeIsUnderWay() throws Exception {
        opened(FIRST);
        carryOut(migrations.open("other", List.of(SECOND), now));
        goOn(Duration.ofSeconds(8));
        assertEquals(Stage.PLANNED, migrations.book().of(2).stage());
        carryOut(migrations.rollBack(1, "x", now));
        goOn(Duration.ofSeconds(2));
        assertEquals(Stage.ROLLED_BACK, one().stage());
        assertEquals("a", coordinator.book().layout().slice(0).nodes().get(0));
        goOn(Duration.ofSeconds(8));
        assertEquals(Stage.CHECKPOINT, migrations.book().of(2).stage());
    }
}
