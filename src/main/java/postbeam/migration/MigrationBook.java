package postbeam.migration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import postbeam.slices.Book;
import postbeam.slices.Logged;

/** What the records of migrations add up to, whichever of them are there yet. */
public final class MigrationBook implements Book.Others {
    /** Migrations that are over and still shown to operators. */
    private static final int OVER_KEPT = 32;

    private final Map<Long, Migration> all = new TreeMap<>();
    private long last;

    /** Those that are not over, the oldest first, then those that are. */
    public Collection<Migration> all() {
        return all.values();
    }

    public List<Migration> open() {
        return all.values().stream().filter(one -> !one.stage.over()).toList();
    }

    /** Null where there is none of that number. */
    public Migration of(long id) {
        return all.get(id);
    }

    public long next() {
        return last + 1;
    }

    /** The open migration that a slice belongs to; null where it belongs to none. */
    public Migration owning(int slice) {
        for (Migration one : all.values()) {
            if (!one.stage.over() && one.hop(slice) != null) {
                return one;
            }
        }
        return null;
    }

    @Override
    public List<Logged.Other> whole() {
        List<Logged.Other> records = new ArrayList<>();
        all.values().forEach(one -> records.add(one.standing()));
        return records;
    }

    @Override
    public void apply(Logged.Other record) {
        if (!(record instanceof Noted noted)) {
            throw new IllegalArgumentException("a record of an unknown workflow");
        }
        if (noted instanceof Noted.Opened opened) {
            if (opened.id() <= last) {
                throw new IllegalArgumentException("migration " + opened.id() + " is opened twice");
            }
            last = opened.id();
            all.put(
                    last,
                    new Migration(
                            last,
                            opened.member(),
                            opened.hops(),
                            opened.version(),
                            opened.utility(),
                            opened.at()));
            return;
        }
        if (noted instanceof Noted.Standing standing) {
            last = Math.max(last, standing.id());
            all.put(standing.id(), Migration.of(standing));
            return;
        }
        Migration one = all.get(noted.id());
        if (one == null || one.stage.over()) {
            throw new IllegalArgumentException("no migration " + noted.id() + " is open");
        }
        apply(one, noted);
        if (one.stage.over()) {
            forget();
        }
    }

    private static void apply(Migration one, Noted noted) {
        if (noted instanceof Noted.Entered entered) {
            one.stage = entered.stage();
            one.since = entered.at();
            one.open = null;
        } else if (noted instanceof Noted.Verified verified) {
            one.verified.put(verified.move(), verified.digest());
        } else if (noted instanceof Noted.Opening opening) {
            one.stage = one.stage == Stage.WATCHED ? Stage.LAST_CHECKPOINT : Stage.CHECKPOINT;
            one.since = opening.at();
            one.openings++;
            one.open = new Checkpoint(opening.version(), opening.digest());
        } else if (noted instanceof Noted.Passed passed) {
            if (one.open == null) {
                throw new IllegalArgumentException(
                        "no checkpoint of migration " + one.id + " is open");
            }
            one.stage = one.stage == Stage.LAST_CHECKPOINT ? Stage.RETIRING : Stage.SWITCHING;
            one.since = passed.at();
            one.passed = one.open;
            one.open = null;
        } else if (noted instanceof Noted.Paused paused) {
            one.cause = paused.cause();
            one.pausedWhy = paused.why();
        } else if (noted instanceof Noted.Resumed resumed) {
            one.cause = null;
            one.pausedWhy = null;
            // What was slow while it stood still is given its time again.
            one.since = resumed.at();
        } else if (noted instanceof Noted.RollingBack back) {
            one.stage = Stage.ROLLING_BACK;
            one.since = back.at();
            one.rollbackWhy = back.why();
            one.open = null;
            one.cause = null;
            one.pausedWhy = null;
        }
    }

    private void forget() {
        List<Migration> over = all.values().stream().filter(one -> one.stage.over()).toList();
        over.stream()
                .limit(Math.max(0, over.size() - OVER_KEPT))
                .forEach(one -> all.remove(one.id));
    }
}
