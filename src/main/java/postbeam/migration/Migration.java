package postbeam.migration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One member's migration, as the log has it. */
public final class Migration {
    public final long id;
    public final String member;
    public final List<Hop> hops;

    /** Of the layout when it was opened. */
    public final long version;

    /** The member's utility then; 0 where none was told. */
    public final double utility;

    Stage stage = Stage.PLANNED;
    Duration since;
    Cause cause;
    String pausedWhy;

    /** Digests by move. */
    final Map<Long, String> verified = new TreeMap<>();

    int openings;
    Checkpoint open;
    Checkpoint passed;
    String rollbackWhy;

    Migration(long id, String member, List<Hop> hops, long version, double utility, Duration at) {
        this.id = id;
        this.member = member;
        this.hops = List.copyOf(hops);
        this.version = version;
        this.utility = utility;
        this.since = at;
    }

    public Stage stage() {
        return stage;
    }

    public Duration since() {
        return since;
    }

    public boolean paused() {
        return cause != null;
    }

    /** Null where it is not paused. */
    public Cause cause() {
        return cause;
    }

    public String pausedWhy() {
        return pausedWhy;
    }

    /** The checkpoint that waits for an operator; null where none does. */
    public Checkpoint open() {
        return open;
    }

    /** The one that was passed last; null before the first. */
    public Checkpoint passed() {
        return passed;
    }

    /** How many checkpoints it has opened. */
    public int openings() {
        return openings;
    }

    public String rollbackWhy() {
        return rollbackWhy;
    }

    /** Null where the slice is none of its own. */
    public Hop hop(int slice) {
        return hops.stream().filter(hop -> hop.slice() == slice).findFirst().orElse(null);
    }

    Noted.Standing standing() {
        return new Noted.Standing(
                id,
                member,
                hops,
                version,
                utility,
                stage,
                since,
                cause,
                pausedWhy,
                new TreeMap<>(verified),
                openings,
                open,
                passed,
                rollbackWhy);
    }

    static Migration of(Noted.Standing one) {
        Migration made =
                new Migration(
                        one.id(),
                        one.member(),
                        one.hops(),
                        one.version(),
                        one.utility(),
                        one.since());
        made.stage = one.stage();
        made.cause = one.cause();
        made.pausedWhy = one.pausedWhy();
        made.verified.putAll(one.verified());
        made.openings = one.openings();
        made.open = one.open();
        made.passed = one.passed();
        made.rollbackWhy = one.rollbackWhy();
        return made;
    }

    /** One line for operators, which the layout service answers to their orders. */
    public String summary() {
        return "migration "
                + id
                + " of "
                + member
                + " "
                + stage.wireName()
                + (paused() ? ", paused: " + pausedWhy : "")
                + (rollbackWhy == null ? "" : ", back: " + rollbackWhy);
    }

    @Override
    public String toString() {
        return summary();
    }
}
