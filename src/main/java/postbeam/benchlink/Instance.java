package postbeam.benchlink;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import postbeam.Decide;
import postbeam.Host;
import postbeam.state.Customer;
import postbeam.state.DataNode;
import postbeam.state.Effect;
import postbeam.state.Fleet;
import postbeam.state.LeafCall;
import postbeam.state.Outcome;
import postbeam.state.Part;
import postbeam.state.Query;
import postbeam.state.Readiness;
import postbeam.state.Vertical;
import postbeam.state.Zone;

/** One instance at the door: turns ids into objects and back, and writes what its Decide has done. */
final class Instance implements Host {
    private static final int COST_HINT_IS_VALID = 1;

    private final int id;
    private final long startMicros;
    private final StringBuilder out;
    private final String zone;
    private final Fleet fleet;
    private final Map<String, Vertical> verticals = new LinkedHashMap<>();
    private final Map<String, Customer> customers = new LinkedHashMap<>();
    private final Map<String, DataNode> nodes = new LinkedHashMap<>();
    private final Map<String, Zone> zones = new LinkedHashMap<>();
    private final Map<DataNode, String> addresses = new IdentityHashMap<>();
    private final Map<String, Query> queries = new HashMap<>();
    private final Map<Long, Query> byNumber = new HashMap<>();
    private final Map<Query, Long> numbers = new IdentityHashMap<>();
    private final Map<String, Part> parts = new HashMap<>();
    private final Map<Object, String> ids = new IdentityHashMap<>();
    private final Decide decide;

    Instance(int id, long seed, Info info, long nowMicros, StringBuilder out) {
        this.id = id;
        this.startMicros = nowMicros;
        this.out = out;
        this.zone = info.text("zone");
        Integer cells = info.whole("domain.cells");
        Integer reach = info.whole("domain.reach");
        if (cells == null || reach == null) {
            throw new IllegalArgumentException("domain.cells or domain.reach is not stated");
        }
        this.fleet = new Fleet(cells, reach);
        for (int i = 0; i < info.count("classes"); i++) {
            verticals.put(info.text("classes." + i + ".name"), vertical(info, "classes." + i + ".", i));
        }
        for (int i = 0; i < info.count("tenants"); i++) {
            customers.put(info.text("tenants." + i + ".name"),
                    new Customer(info.number("tenants." + i + ".quotaPerS")));
        }
        Integer routers = info.whole("nInstances");
        this.decide = new Decide(this, new Random(seed), fleet,
                new Decide.Held(info.whole("caps.mostHeld"), routers, info.number("overShareWorth"),
                        info.span("caps.maxRetryAfter")),
                new Decide.Calls(info.whole("caps.maxAttempts"), info.flag("caps.mayDuplicate"),
                        info.flag("caps.cancelling"), info.flag("caps.probes")),
                new Decide.FurtherCalls(info.number("obligations.spareAttempts"),
                        info.number("obligations.budgetShare"), info.span("obligations.extraWindow")),
                new Decide.ColdPacing(info.number("obligations.coldFrom"), info.span("obligations.rampTime"),
                        info.number("obligations.fallMultiple"), info.span("obligations.fall"), routers,
                        info.span("domain.callCost")));
    }

    private static Vertical vertical(Info info, String path, int i) {
        Effect effect = switch (String.valueOf(info.text(path + "effect"))) {
            case "retryable" -> Effect.REPEATABLE;
            case "dedup" -> Effect.DEDUPLICATED;
            default -> Effect.SIDE_EFFECTING;
        };
        Double utility = info.number(path + "worth");
        Double late = info.number(path + "lateWorth");
        Double need = info.listed("domain.classNeed", i);
        Double floor = info.listed("domain.leastShare", i);
        Double shortUtility = info.listed("domain.shortWorth", i);
        Double followUp = info.listed("domain.followUp", i);
        double whole = need == null ? 1 : need;
        return new Vertical(info.span(path + "promise"), effect, info.span(path + "repeatWindow"),
                utility == null ? 1 : utility, late == null ? 0 : late, whole, floor == null ? whole : floor,
                shortUtility == null ? 0 : shortUtility, followUp == null ? 0 : followUp.intValue());
    }

    Decide decide() {
        return decide;
    }

    Duration since(long micros) {
        return Duration.ofNanos((micros - startMicros) * 1000);
    }

    // ---- in: the host list

    void listed(Duration now, List<Entry> entries, boolean whole) {
        Map<String, Entry> seen = new HashMap<>();
        for (Entry entry : entries) {
            seen.put(entry.address(), entry);
            DataNode node = nodes.get(entry.address());
            if (node == null) {
                if (entry.readiness() == Readiness.GONE) {
                    continue;
                }
                node = new DataNode(entry.cell(), zones.computeIfAbsent(String.valueOf(entry.zone()),
                        name -> new Zone(name.equals(zone))));
                nodes.put(entry.address(), node);
                addresses.put(node, entry.address());
            }
            decide.nodeListed(node, entry.readiness(),
                    entry.startedMicros() == 0 ? null : since(entry.startedMicros()));
        }
        if (whole) {
            for (Map.Entry<String, DataNode> known : new ArrayList<>(nodes.entrySet())) {
                if (!seen.containsKey(known.getKey())) {
                    DataNode node = known.getValue();
                    decide.nodeListed(node, Readiness.GONE, node.startedAt);
                }
            }
        }
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
        Duration hint = (attrs & COST_HINT_IS_VALID) != 0 && work > 0 ? Duration.ofNanos(work * 1000) : null;
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
        if (part == null || hop >= part.calls.size() || part.calls.get(hop).ended) {
            return;
        }
        decide.leafCallEnded(now, part.calls.get(hop), outcome, took, over);
        forgetIfDone(part.query);
    }

    void abandoned(Duration now, Lines in) {
        Query query = queries.get(in.text());
        if (query != null && !query.ended) {
            decide.clientLeft(now, query);
            forgetIfDone(query);
        }
    }

    void probed(Duration now, Lines in) {
        DataNode node = nodes.get(in.text());
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
        if (!query.ended) {
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
        forgetParts(query.firstStepParts);
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
        action("ATTEMPT").append('\t').append(ids.get(call.part)).append('\t').append(addresses.get(call.node))
                .append('\t').append(call.timeout == null ? 0 : micros(call.timeout)).append('\n');
    }

    @Override
    public void cancel(LeafCall call) {
        action("RECALL").append('\t').append(ids.get(call.part)).append('\t').append(call.number).append('\n');
    }

    @Override
    public void answer(Query query, boolean whole) {
        action("WRAP_UP").append('\t').append(ids.get(query)).append('\t').append(whole ? 1 : 0).append('\n');
        forgetIfDone(query);
    }

    @Override
    public void reject(Query query, Duration comeBack) {
        action("REJECT").append('\t').append(ids.get(query)).append('\t')
                .append(comeBack == null ? 0 : micros(comeBack)).append('\n');
        forgetIfDone(query);
    }

    @Override
    public void abort(Query query) {
        action("REPORT_FAILURE").append('\t').append(ids.get(query)).append('\n');
        forgetIfDone(query);
    }

    @Override
    public void wakeAfter(Duration wait) {
        action("DEFER").append('\t').append(micros(wait)).append("\t0\n");
    }

    @Override
    public void probe(DataNode node) {
        action("SAMPLE").append('\t').append(addresses.get(node)).append('\n');
    }

    @Override
    public void log(String text) {
        action("TRACE").append('\t').append(text).append('\n');
    }

    void panic(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        action("PANIC").append('\t').append(String.valueOf(e).replaceAll("\\s", " ")).append(" at ")
                .append(trace.length == 0 ? "an unknown place" : trace[0]).append('\n');
    }
}
