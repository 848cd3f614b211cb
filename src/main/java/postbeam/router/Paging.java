package postbeam.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import postbeam.errors.ExplainedException;
import postbeam.pages.Ask;
import postbeam.pages.Assembly;
import postbeam.pages.CursorSeal;
import postbeam.pages.FurtherAsks;
import postbeam.pages.PageAsked;
import postbeam.pages.PageError;
import postbeam.pages.PageGiven;
import postbeam.pages.Shares;
import postbeam.pages.Standing;
import postbeam.setup.Info;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Pin;
import postbeam.slices.Slice;
import postbeam.slices.Unroutable;
import postbeam.state.Effect;
import postbeam.state.Query;
import postbeam.state.Vertical;

/**
 * Serves pages by the decisions: opens cursors before anything is sent, asks again where it must,
 * gives the page.
 */
public final class Paging {
    /** Rounds of further asks: what is short after them is given short. */
    private static final int FURTHER_ROUNDS = 2;

    /**
     * A round of further asks has at least this: some times the way there and back and a node's
     * usual work.
     */
    private static final Duration ROUND_LEAST = Duration.ofMillis(200);

    private final CursorSeal seal;
    private final int rowsMost;
    private final Map<String, Shares> shares = new ConcurrentHashMap<>();
    private FurtherAsks furtherAsks;

    /**
     * The key that signs cursors and the one before it, or null; and the most rows that a page may
     * be asked for.
     */
    public Paging(String key, String oldKey, int rowsMost) throws ExplainedException {
        this.seal = new CursorSeal(key, oldKey);
        this.rowsMost = rowsMost;
    }

    int rowsMost() {
        return rowsMost;
    }

    /** The settings with rule 6's budget less what further asks take of it; to be called once. */
    Info less(Info settings) {
        Double free = settings.number("obligations.spareAttempts");
        Double share = settings.number("obligations.budgetShare");
        double held = free == null ? 0 : free;
        furtherAsks =
                new FurtherAsks(
                        held, share == null ? 0 : share, settings.span("obligations.extraWindow"));
        return settings.with(
                "obligations.spareAttempts", String.valueOf(held - furtherAsks.reserve()));
    }

    /**
     * When a query that asks again ends: within the SLO time, and after about as long as the page
     * took so far. Guards against a page that waits for rule 6's budget, where it could be given
     * short at once; it could hurt where nodes get slower from one round to the next.
     */
    Duration until(Duration now, Query first) {
        Duration until = now.plus(now.minus(first.arrivedAt)).plus(ROUND_LEAST);
        until = until.compareTo(first.sloAt()) < 0 ? until : first.sloAt();
        return until.compareTo(first.deadline) < 0 ? until : first.deadline;
    }

    /** Whether a query with so many parts that asks again may begin now. */
    boolean begins(Duration now, int parts) {
        return furtherAsks.begins(now, parts);
    }

    /**
     * What to ask of whom for the page; the names are the client's own where it goes on from no
     * cursor. An Unroutable says why it can't be, and nothing has been sent.
     */
    Paged begin(Asked asked, Vertical vertical, Layout held, List<Pin.Named> named)
            throws Unroutable {
        PageAsked page = asked.page();
        LayoutLineage lineage = new LayoutLineage(held);
        try {
            if (vertical.effect != Effect.REPEATABLE) {
                throw new PageError.NotRepeatable(asked.vertical()).thrown();
            }
            List<Standing> standings =
                    named.stream()
                            .sorted(Comparator.comparing(Pin.Named::keys))
                            .map(one -> new Standing(one.keys(), one.weight(), null))
                            .toList();
            List<Pin.Named> names = named;
            if (page.cursor() != null) {
                standings = seal.opened(page.cursor(), digest(asked), lineage).standings();
                names = names(held, standings);
            } else if (standings.size() > Assembly.RANGES_MOST) {
                throw new PageError.BadRequest(
                                "ranges",
                                standings.size() + " are more than " + Assembly.RANGES_MOST)
                        .thrown();
            }
            Assembly assembly =
                    new Assembly(
                            page.order(),
                            page.rows(),
                            standings,
                            shares.computeIfAbsent(asked.vertical(), key -> new Shares()));
            List<Ask> asks = assembly.first(lineage);
            boolean own = page.cursor() == null && asked.layout() > 0;
            return new Paged(
                    assembly, asks, own ? asked.layout() : held.version, names, asked.text());
        } catch (ExplainedException e) {
            throw new Unroutable(
                    e.error() instanceof PageError.TooOld
                            ? Unroutable.Reason.NO_LONGER_KEPT
                            : e.error() instanceof PageError.Ahead
                                    ? Unroutable.Reason.NOT_KNOWN_YET
                                    : Unroutable.Reason.NO_SUCH_SLICE,
                    e.getMessage());
        }
    }

    private static long digest(Asked asked) {
        return CursorSeal.digest(
                asked.vertical(), asked.owner(), asked.text(), asked.page().order());
    }

    /** The keys by the slices in force, with weights that add up to 1. */
    private static List<Pin.Named> names(Layout held, List<Standing> standings) {
        double all = standings.stream().mapToDouble(Standing::weight).sum();
        List<Pin.Named> names = new ArrayList<>();
        for (Standing one : standings) {
            double weight = all > 0 ? one.weight() / all : 1.0 / standings.size();
            for (Slice slice : held.meeting(one.keys())) {
                KeyRange keys = slice.keys().common(one.keys());
                names.add(
                        new Pin.Named(slice.number(), keys, weight * one.keys().share(keys), null));
            }
        }
        return names;
    }

    /** The same for a further ask: each range by its share of the rows asked for. */
    static List<Pin.Named> asked(Layout held, List<Ask> asks) {
        return names(
                held,
                asks.stream().map(ask -> new Standing(ask.keys(), ask.rows(), null)).toList());
    }

    /**
     * What a further ask brings: the query it goes as, served to its end; null where none may go.
     */
    interface Further {
        Paged served(List<Ask> asks) throws InterruptedException;
    }

    /** The page of a query that was answered. */
    Step given(OpenQuery q, Step.Answer answer, Further further) throws InterruptedException {
        Paged round = q.paged;
        List<Ask> asks = q.paged.next(round);
        for (int i = 0; i < FURTHER_ROUNDS && !asks.isEmpty(); i++) {
            round = further.served(asks);
            if (round == null) {
                break;
            }
            asks = q.paged.next(round);
        }
        try {
            PageGiven page = q.paged.end(seal, q.layout, digest(q.asked));
            return new Step.Answer(answer.whole(), answer.values(), answer.layout(), page);
        } catch (ExplainedException e) {
            return new Step.Refused(e.error());
        }
    }
}
