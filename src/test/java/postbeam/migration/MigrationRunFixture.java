package postbeam.migration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postbeam.slices.Act;
import postbeam.slices.Book;
import postbeam.slices.Coordinator;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Logged;
import postbeam.slices.MoveLimits;
import postbeam.slices.Order;
import postbeam.slices.Target;
import postbeam.state.Readiness;

/**
 * Four slices on the nodes a to d, an empty node e, and a coordinator whose commands are answered
 * at once. Time goes in steps of 100 ms, and each action is written down as one line of text, which
 * does not depend on the names of types.
 */
final class MigrationRunFixture {
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
                    2,
                    1,
                    2,
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
    private static final Duration STEP = Duration.ofMillis(100);

    final Map<String, Target.Known> nodes = new LinkedHashMap<>();

    /** Nodes whose copies differ from the others in one key. */
    final Set<String> differing = new HashSet<>();

    /** Commands that no node answers. */
    final Set<Order> unanswered = new HashSet<>();

    final List<String> lines = new ArrayList<>();
    Coordinator coordinator;
    Migrations migrations;
    Duration now = Duration.ofSeconds(100);
    private final List<Logged> records = new ArrayList<>();
    private final List<Act.Tell> commands = new ArrayList<>();

    MigrationRunFixture() {
        for (String name : List.of("a", "b", "c", "d", "e")) {
            setReadiness(name, Readiness.READY);
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

    void setReadiness(String node, Readiness readiness) {
        nodes.put(node, new Target.Known("z", readiness));
        if (coordinator != null) {
            coordinator.listed(nodes, List.of());
        }
    }

    /** A successor starts from the records alone. */
    void restart() {
        Book book = new Book(100);
        MigrationBook migrationBook = new MigrationBook();
        book.others(migrationBook);
        records.forEach(book::apply);
        coordinator = new Coordinator(book, MOVES);
        coordinator.listed(nodes, List.of());
        migrations = new Migrations(coordinator, migrationBook, LIMITS, now);
        note("restart");
    }

    Migration migration(long id) {
        return migrations.book().of(id);
    }

    void note(String line) {
        lines.add(now.toMillis() + " " + line);
    }

    void carryOut(String order, List<Doing> doings) {
        note("order: " + order);
        carryOut(doings);
    }

    void run(Duration span) {
        Duration end = now.plus(span);
        while (now.compareTo(end) < 0) {
            carryOut(migrations.tick(now));
            List<Doing> doings = new ArrayList<>();
            coordinator.tick(now).forEach(act -> doings.add(new Doing.Of(act)));
            carryOut(doings);
            List<Act.Tell> given = List.copyOf(commands);
            commands.clear();
            given.stream()
                    .filter(tell -> !unanswered.contains(tell.order()))
                    .forEach(
                            tell ->
                                    coordinator.done(
                                            tell.move(), tell.node(), tell.order(), tell.slice()));
            now = now.plus(STEP);
        }
    }

    private void carryOut(List<Doing> doings) {
        for (Doing doing : doings) {
            if (doing instanceof Doing.Ask ask) {
                note(
                        "ask "
                                + ask.number()
                                + " "
                                + ask.node()
                                + " slice "
                                + ask.slice()
                                + " "
                                + ask.ranges().stream()
                                        .map(range -> range.from() + "-" + range.to())
                                        .toList());
                List<Said> said =
                        ask.ranges().stream().map(range -> said(ask.node(), range)).toList();
                migrations.answered(ask.number(), ask.node(), said, now);
            } else if (doing instanceof Doing.Of of && of.act() instanceof Act.Write write) {
                records.add(write.record());
                note(
                        "record "
                                + (write.record() instanceof Noted noted
                                        ? text(noted)
                                        : "of moves"));
            } else if (doing instanceof Doing.Of of && of.act() instanceof Act.Tell tell) {
                commands.add(tell);
                note(
                        "command to "
                                + tell.node()
                                + ": "
                                + text(tell.order())
                                + " slice "
                                + tell.slice()
                                + " of move "
                                + tell.move()
                                + " version "
                                + tell.version()
                                + " source "
                                + tell.source());
            } else if (doing instanceof Doing.Of of && of.act() instanceof Act.Publish publish) {
                note("publish version " + publish.layout().version);
            }
        }
    }

    private Said said(String node, KeyRange range) {
        boolean differs = differing.contains(node) && range.from() <= 5 && 5 < range.to();
        return new Said(range, 0, 7, differs ? 2 : 3, 600, differs ? "dd" : "ee");
    }

    private static String text(Order order) {
        return switch (order) {
            case COPY -> "COPY";
            case HOLD -> "HOLD";
            case SERVE -> "SERVE";
            case FENCE -> "FENCE";
            case DROP -> "DROP";
        };
    }

    private static String text(Noted noted) {
        if (noted instanceof Noted.Opened one) {
            return "opened "
                    + one.id()
                    + " "
                    + one.member()
                    + " "
                    + one.hops().stream()
                            .map(hop -> hop.slice() + ":" + hop.from() + ">" + hop.to())
                            .toList()
                    + " version "
                    + one.version()
                    + " utility "
                    + one.utility()
                    + " at "
                    + one.at().toMillis();
        } else if (noted instanceof Noted.Entered one) {
            return "entered "
                    + one.id()
                    + " "
                    + one.stage().wireName()
                    + " at "
                    + one.at().toMillis();
        } else if (noted instanceof Noted.Verified one) {
            return "verified " + one.id() + " move " + one.move() + " digest " + one.digest();
        } else if (noted instanceof Noted.Opening one) {
            return "opening "
                    + one.id()
                    + " version "
                    + one.version()
                    + " digest "
                    + one.digest()
                    + " at "
                    + one.at().toMillis();
        } else if (noted instanceof Noted.Passed one) {
            return "passed " + one.id() + " at " + one.at().toMillis();
        } else if (noted instanceof Noted.Paused one) {
            return "paused "
                    + one.id()
                    + " "
                    + one.cause().wireName()
                    + " at "
                    + one.at().toMillis()
                    + ": "
                    + one.why();
        } else if (noted instanceof Noted.Resumed one) {
            return "resumed " + one.id() + " at " + one.at().toMillis();
        } else if (noted instanceof Noted.RollingBack one) {
            return "rollingBack " + one.id() + " at " + one.at().toMillis() + ": " + one.why();
        }
        throw new AssertionError("a record that is not written while migrations go on: " + noted);
    }
}
