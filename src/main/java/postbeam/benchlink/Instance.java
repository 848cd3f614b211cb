package postbeam.benchlink;

import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import postbeam.Decide;
import postbeam.Host;
import postbeam.roster.DiscoveryPacing;
import postbeam.roster.Entry;
import postbeam.roster.Roster;
import postbeam.setup.Assembly;
import postbeam.setup.Info;
import postbeam.state.Customer;
import postbeam.state.DataNode;
import postbeam.state.LeafCall;
import postbeam.state.Outcome;
import postbeam.state.Part;
import postbeam.state.Query;
import postbeam.state.Vertical;

/**
 * One instance at the door: turns ids into objects and back, and writes what its Decide has done.
 */
final class Instance implements Host {
    private static final int COST_HINT_IS_VALID = 1;
    private static final int REPEAT = 2;

    /** Cookies of timers: the decisions' own, and the one for asking discovery. */
    private static final int WAKE = 0;

    private static final int ASK = 1;

    private final int id;
    private final long startMicros;
    private final StringBuilder out;
    private final Roster roster;
    private final Map<String, Vertical> verticals;
    private final Map<String, Customer> customers;
    private final Map<String, Query> queries = new HashMap<>();
    private final Map<Long, Query> byNumber = new HashMap<>();
    private final Map<Query, Long> numbers = new IdentityHashMap<>();
    private final Map<String, Part> parts = new HashMap<>();
    private final Map<Object, String> ids = new IdentityHashMap<>();
    private final Decide decide;
    private final DiscoveryPacing asking;
    private Duration bell;

    Instance(int id, long seed, Info info, long nowMicros, StringBuilder out) {
        this.id = id;
        this.startMicros = nowMicros;
        this.out = out;
        this.roster = new Roster(info.text("zone"));
        this.verticals = Assembly.verticals(info);
        this.customers = Assembly.customers(info);
        Random chance = new Random(seed);
        this.decide = Assembly.decide(this, chance, Assembly.fleet(info), info);
        this.asking = Assembly.asking(info, chance);
    }

    Decide decide() {
        return decide;
    }

    Duration since(long micros) {
        return Duration.ofNanos((micros - startMicros) * 1000);
    }

    // ---- in: the host list

    void listAnswered(Duration now, boolean failed) {
        asking.answered(now, failed);
    }

    /**
     * All that came in a batch has been told: discovery is asked where that is due, or a bell set
     * for when it is.
     */
    void askDiscovery(Duration now) {
        if (asking.due(now)) {
            action("OBSERVE").append("\t1\n");
        }
        Duration next = asking.at();
        if (next != null && !next.equals(bell)) {
            bell = next;
            action("DEFER")
                    .append('\t')
                    .append(micros(next.minus(now)))
                    .append('\t')
                    .append(ASK)
                    .append('\n');
        }
    }

    void rung(Duration now, Lines in) {
        if (in.number(0) != ASK) {
            decide.woken(now);
        }
    }

    void listed(Duration now, List<Entry> entries, boolean whole) {
        roster.listed(now, entries, whole, this::since, decide);
    }

    // ---- in: queries, parts, leaf calls

    void taken(Duration now, Lines in) {
        String job = in.text();
        String lane = in.field();
        String group = in.field();
        in.field();
        Duration left = Duration.ofNanos(in.number() * 1000);
        long work = in.number(0);
        long number = (long) Double.parseDouble(in.text());
        int shard = (int) Double.parseDouble(in.text());
        double amount = Double.parseDouble(in.text());
        long attrs = in.number(0);
        if (shard < 0) {
            Vertical vertical = verticals.get(lane);
            if (vertical == null) {
                throw new IllegalArgumentException("a vertical that the settings lack");
            }
            Query query = new Query(vertical, customers.get(group), now, now.plus(left));
            if ((attrs & REPEAT) != 0) {
                query.markClientRetry();
            }
            queries.put(job, query);
            byNumber.put(number, query);
            numbers.put(query, number);
            ids.put(query, job);
            decide.queryArrived(now, query);
            return;
        }
        Query query = byNumber.get(number);
        if (query == null) {
            return;
        }
        Duration hint =
                (attrs & COST_HINT_IS_VALID) != 0 && work > 0
                        ? Duration.ofNanos(work * 1000)
                        : null;
        Part part = new Part(query, shard, amount, hint);
        parts.put(job, part);
        ids.put(part, job);
        decide.partArrived(now, part);
    }

    void reportedBack(Duration now, Lines in) {
        String job = in.text();
        int hop = (int) in.number();
        Outcome outcome = outcome(in.text());
        boolean over = "1".equals(in.field());
        Duration took = Duration.ofNanos(in.number(0) * 1000);
        Part part = parts.get(job);
        if (part == null || hop >= part.calls.size() || part.calls.get(hop).hasEnded()) {
            return;
        }
        decide.leafCallEnded(now, part.calls.get(hop), outcome, took, over);
        forgetIfDone(part.query);
    }

    void abandoned(Duration now, Lines in) {
        Query query = queries.get(in.text());
        if (query != null && !query.hasEnded()) {
            decide.clientLeft(now, query);
            forgetIfDone(query);
        }
    }

    void probed(Duration now, Lines in) {
        DataNode node = roster.node(in.text());
        Outcome outcome = outcome(in.text());
        if (node != null) {
            decide.probed(now, node, outcome == Outcome.MERGED);
        }
    }

    static Outcome outcome(String code) {
        return switch (code) {
            case "ok" -> Outcome.MERGED;
            case "error" -> Outcome.ERROR;
            case "full" -> Outcome.FULL;
            case "timeout" -> Outcome.TIMEOUT;
            case "connect_failed" -> Outcome.UNREACHABLE;
            case "reset" -> Outcome.RESET;
            case "cancelled" -> Outcome.CANCELLED;
            case "moot" -> Outcome.NEVER_SENT;
            default -> throw new IllegalArgumentException("unknown outcome " + code);
        };
    }

    /** An ended query is forgotten once the last of its leaf calls has reported back. */
    private void forgetIfDone(Query query) {
        if (!query.hasEnded()) {
            return;
        }
        String job = ids.get(query);
        if (job != null) {
            queries.remove(job);
            Long number = numbers.remove(query);
            byNumber.remove(number, query);
            ids.remove(query);
        }
        forgetParts(query.parts);
        forgetParts(query.firstStep);
    }

    private void forgetParts(List<Part> done) {
        for (Part part : done) {
            if (part.out.isEmpty()) {
                parts.remove(ids.remove(part));
            }
        }
    }

    // ---- out

    private StringBuilder action(String name) {
        return out.append(name).append('\t').append(id);
    }

    private static long micros(Duration span) {
        return span.toNanos() / 1000;
    }

    @Override
    public void send(LeafCall call) {
        action("ATTEMPT")
                .append('\t')
                .append(ids.get(call.part))
                .append('\t')
                .append(roster.name(call.node))
                .append('\t')
                .append(call.timeout == null ? 0 : micros(call.timeout))
                .append('\n');
    }

    @Override
    public void cancel(LeafCall call) {
        action("RECALL")
                .append('\t')
                .append(ids.get(call.part))
                .append('\t')
                .append(call.number)
                .append('\n');
    }

    @Override
    public void answer(Query query, boolean whole) {
        action("WRAP_UP")
                .append('\t')
                .append(ids.get(query))
                .append('\t')
                .append(whole ? 1 : 0)
                .append('\n');
        forgetIfDone(query);
    }

    @Override
    public void reject(Query query, Duration comeBack) {
        action("REJECT")
                .append('\t')
                .append(ids.get(query))
                .append('\t')
                .append(comeBack == null ? 0 : micros(comeBack))
                .append('\n');
        forgetIfDone(query);
    }

    @Override
    public void abort(Query query) {
        action("REPORT_FAILURE").append('\t').append(ids.get(query)).append('\n');
        forgetIfDone(query);
    }

    @Override
    public void wakeAfter(Duration wait) {
        action("DEFER").append('\t').append(micros(wait)).append('\t').append(WAKE).append('\n');
    }

    @Override
    public void probe(DataNode node) {
        action("SAMPLE").append('\t').append(roster.name(node)).append('\n');
    }

    @Override
    public void log(String text) {
        action("TRACE").append('\t').append(text).append('\n');
    }

    void panic(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        action("PANIC")
                .append('\t')
                .append(String.valueOf(e).replaceAll("\\s", " "))
                .append(" at ")
                .append(trace.length == 0 ? "an unknown place" : trace[0])
                .append('\n');
    }
}
