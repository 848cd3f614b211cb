package postbeam.layouts;

import com.fasterxml.jackson.core.JsonGenerator;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import postbeam.discovery.LongPoll;
import postbeam.discovery.Watch;
import postbeam.errors.ExplainedException;
import postbeam.migration.Doing;
import postbeam.migration.MigrationBook;
import postbeam.migration.MigrationError;
import postbeam.migration.MigrationLimits;
import postbeam.migration.Migrations;
import postbeam.migration.Said;
import postbeam.roster.DiscoveryPacing;
import postbeam.roster.Entry;
import postbeam.roster.Told;
import postbeam.setup.Json;
import postbeam.setup.Startup;
import postbeam.slices.Act;
import postbeam.slices.Book;
import postbeam.slices.Change;
import postbeam.slices.Coordinator;
import postbeam.slices.Layout;
import postbeam.slices.Logged;
import postbeam.slices.Move;
import postbeam.slices.MoveLimits;
import postbeam.slices.Placement;
import postbeam.slices.Planner;
import postbeam.slices.Target;
import postbeam.state.Readiness;

/**
 * The one process that moves slices: keeps the log, carries out what the {@link Coordinator}
 * decides, and tells the layout over HTTP, whole and as a watch. One lock over all of it; nothing
 * waits for a peer under it but the disk.
 */
public final class LayoutService implements Closeable {
    private static final System.Logger LOG = System.getLogger(LayoutService.class.getName());
    private static final long START_MILLIS = System.currentTimeMillis();
    private static final long START_NANOS = System.nanoTime();

    /** Between looks at the moves where nothing happens; what happens is looked at at once. */
    private static final Duration LOOK = Duration.ofMillis(50);

    /** Routers that may wait for a newer layout at once; more are told to ask again. */
    private static final int WATCHERS_MOST = 1000;

    /** The longest that one waits. */
    private static final long WAIT_MOST_MS = 60_000;

    /** Bytes of a plan: a target of some 50,000 slices. */
    private static final int PLAN_LONGEST = 8 << 20;

    /**
     * Where it listens and keeps its log, the discovery, limits, the first layout's size; null: no
     * migrations.
     */
    public record Place(
            String listen,
            Path log,
            String discovery,
            long history,
            MoveLimits limits,
            int firstSlices,
            int firstHolders,
            MigrationLimits migration) {
        public Place(
                String listen,
                Path log,
                String discovery,
                long history,
                MoveLimits limits,
                int firstSlices,
                int firstHolders) {
            this(listen, log, discovery, history, limits, firstSlices, firstHolders, null);
        }
    }

    private final Place place;
    private final Consumer<Layout> listener;
    private final Book book;
    private final Coordinator coordinator;
    private final NodeOrders orders;
    private final LongPoll<Told> watch;
    private final Map<String, Entry> nodes = new TreeMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final List<Waiting> watchers = new ArrayList<>();
    private final Thread moves = new Thread(this::run, "moves");
    private Undertow http;
    private MoveLog log;
    private Layout published;
    private byte[] publishedBytes;
    private boolean changed;

    /** Null where migrations are off, or there is no log yet. */
    private MigrationDesk desk;

    private volatile boolean stopped;

    private record Waiting(HttpServerExchange exchange, long version, long untilNanos) {}

    /** A request that can't be done: its status and why. */
    private static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;
        final int status;

        Refused(int status, String why) {
            super(why);
            this.status = status;
        }
    }

    public LayoutService(Place place) {
        this(place, layout -> {});
    }

    /** The one who listens hears each layout before anybody else is told. */
    public LayoutService(Place place, Consumer<Layout> listener) {
        this.place = place;
        this.listener = listener;
        this.book = new Book(place.history());
        this.coordinator = new Coordinator(book, place.limits());
        this.orders = new NodeOrders(this::done);
        this.watch =
                Watch.of(place.discovery(), Integer.MAX_VALUE, this::listed, DiscoveryPacing.SOON);
        moves.setDaemon(true);
    }

    /** Opens the log where there is one; else the first list of nodes begins it. */
    public void start() throws IOException {
        synchronized (this) {
            if (java.nio.file.Files.exists(place.log())) {
                open(null);
            }
        }
        http =
                Undertow.builder()
                        .addHttpListener(port(), host())
                        .setIoThreads(1)
                        .setWorkerThreads(4)
                        .setServerOption(
                                io.undertow.UndertowOptions.MAX_ENTITY_SIZE, (long) PLAN_LONGEST)
                        .setHandler(this::handle)
                        .build();
        http.start();
        Thread following = new Thread(watch, "discovery");
        following.setDaemon(true);
        following.start();
        moves.start();
    }

    private void open(Logged.Whole first) throws IOException {
        MigrationBook migrations = place.migration() == null ? null : new MigrationBook();
        book.others(migrations);
        log = MoveLog.open(place.log(), book, first);
        if (migrations != null) {
            orders.office(log.takeOffice(book), this::said, this::overtaken);
            desk =
                    new MigrationDesk(
                            new Migrations(coordinator, migrations, place.migration(), now()),
                            coordinator,
                            place.migration());
        }
        if (log.cut() > 0) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "{0}: a torn record of {1} bytes was cut off; the layout goes on as "
                            + "version {2}",
                    place.log(),
                    log.cut(),
                    book.layout().version);
        }
        LOG.log(
                System.Logger.Level.INFO,
                "layout {0}: {1} slices, {2} moves under way",
                book.layout().version,
                book.layout().slices().size(),
                book.moves().size());
        publish(book.layout());
    }

    private String host() {
        return Startup.socketAddress(place.listen()).getHostString();
    }

    private int port() {
        return Startup.socketAddress(place.listen()).getPort();
    }

    /** HOST:PORT that it listens on. */
    public String address() {
        InetSocketAddress at = (InetSocketAddress) http.getListenerInfo().get(0).getAddress();
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    /**
     * Since 1970, as it was at the start and on by a clock that is never set: leases are counted by
     * it.
     */
    private static Duration now() {
        return Duration.ofMillis(
                START_MILLIS + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NANOS));
    }

    private synchronized void said(long number, String node, List<Said> said) {
        desk.migrations().answered(number, node, said, now());
        wake();
    }

    /** A node has taken an order of a successor. */
    private void overtaken() {
        LOG.log(
                System.Logger.Level.ERROR,
                new MigrationError.OfficeLost(book.term(), "a node").line());
        stopped = true;
    }

    // ---- what happens

    private synchronized void listed(Told told) {
        List<String> started = new ArrayList<>();
        if (told.whole()) {
            nodes.replaceAll(
                    (name, entry) ->
                            told.entries().stream().anyMatch(one -> one.name().equals(name))
                                    ? entry
                                    : new Entry(
                                            name,
                                            entry.zone(),
                                            entry.cell(),
                                            entry.startedMicros(),
                                            Readiness.GONE));
        }
        for (Entry entry : told.entries()) {
            Entry before = nodes.put(entry.name(), entry);
            if (before != null && before.startedMicros() != entry.startedMicros()) {
                started.add(entry.name());
            }
        }
        addresses.putAll(told.addresses());
        Map<String, Target.Known> known = new TreeMap<>();
        nodes.forEach(
                (name, entry) ->
                        known.put(
                                name,
                                new Target.Known(String.valueOf(entry.zone()), entry.readiness())));
        addresses
                .keySet()
                .removeIf(
                        name ->
                                !known.containsKey(name)
                                        || known.get(name).readiness() == Readiness.GONE);
        orders.reachedAt(addresses);
        coordinator.listed(known, started);
        if (desk != null && !started.isEmpty() && !stopped) {
            try {
                carryOutAll(desk.migrations().started(started, now()));
            } catch (IOException e) {
                return;
            }
        }
        List<String> spread = Placement.spread(known);
        if (log == null && spread.size() >= place.firstHolders()) {
            begin(spread);
        }
        wake();
    }

    /** The first layout of an installation: even slices over the nodes that are listed. */
    private void begin(List<String> spread) {
        try {
            Layout first = Layout.first(place.firstSlices(), spread, place.firstHolders());
            open(
                    new Logged.Whole(
                            first,
                            first.version,
                            0,
                            first.slices().size() - 1,
                            List.of(),
                            null,
                            List.of()));
        } catch (IOException e) {
            LOG.log(System.Logger.Level.ERROR, "{0}; no layout is told", e.getMessage());
        }
    }

    private synchronized void done(long move, String node, postbeam.slices.Order order, int slice) {
        coordinator.done(move, node, order, slice);
        wake();
    }

    private synchronized void wake() {
        changed = true;
        notifyAll();
    }

    private void run() {
        while (!stopped) {
            try {
                synchronized (this) {
                    if (log != null) {
                        if (desk != null) {
                            log.stillInOffice();
                            carryOutAll(desk.migrations().tick(now()));
                        }
                        carryOut(coordinator.tick(now()));
                        log.compact(book);
                    }
                    endWaits();
                    if (!changed) {
                        wait(LOOK.toMillis());
                    }
                    changed = false;
                }
            } catch (InterruptedException e) {
                return;
            } catch (IOException | RuntimeException e) {
                fail(e);
                return;
            }
        }
    }

    /**
     * Guards against going on past a record that may not be on disk: what was decided is thrown
     * away with this process, the layout told last stays told, and a new start goes on from what is
     * on disk.
     */
    private synchronized void fail(Exception e) {
        if (e instanceof MoveLog.OfficeLost) {
            LOG.log(System.Logger.Level.ERROR, e.getMessage());
            stopped = true;
            return;
        }
        LOG.log(
                System.Logger.Level.ERROR,
                "moves stop here: the log can't be trusted any more; restart",
                e);
        stopped = true;
    }

    private void carryOutAll(List<Doing> doings) throws IOException {
        for (Doing doing : doings) {
            if (doing instanceof Doing.Of of) {
                carryOut(List.of(of.act()));
            } else if (doing instanceof Doing.Ask ask) {
                orders.ask(ask);
            }
        }
    }

    private void carryOut(List<Act> acts) throws IOException {
        for (Act act : acts) {
            if (act instanceof Act.Write write) {
                try {
                    log.append(write.record());
                } catch (IOException e) {
                    fail(e);
                    throw e;
                }
            } else if (act instanceof Act.Tell tell) {
                orders.tell(tell);
            } else if (act instanceof Act.Publish publish) {
                publish(publish.layout());
            }
        }
    }

    private void publish(Layout layout) {
        listener.accept(layout);
        published = layout;
        publishedBytes = LayoutForm.write(layout);
        List<Waiting> all = List.copyOf(watchers);
        watchers.clear();
        all.forEach(waiting -> answerLayout(waiting.exchange));
    }

    private void answerLayout(HttpServerExchange exchange) {
        String router = text(exchange, LayoutWatch.ROUTER);
        if (desk != null && !inOffice()) {
            // A layout told now would be a lease that the successor knows nothing of.
            say(exchange, 503, "another service has taken over");
            return;
        }
        if (desk != null && router != null) {
            desk.migrations().routers().answered(router, published.version, now());
        }
        answer(exchange, publishedBytes);
    }

    private void endWaits() {
        long now = System.nanoTime();
        List<Waiting> over =
                watchers.stream().filter(waiting -> waiting.untilNanos - now <= 0).toList();
        watchers.removeAll(over);
        over.forEach(waiting -> answerLayout(waiting.exchange));
    }

    private static void answer(HttpServerExchange exchange, byte[] body) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }

    private static void say(HttpServerExchange exchange, int status, String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(text + "\n", StandardCharsets.UTF_8);
    }

    // ---- requests

    private void handle(HttpServerExchange exchange) throws Exception {
        String path = exchange.getRequestMethod() + " " + exchange.getRequestPath();
        if (path.equals("GET /v1/layout")) {
            layout(exchange);
            return;
        }
        HttpHandler handler =
                asked -> {
                    try {
                        byte[] body = asked.getInputStream().readAllBytes();
                        String said;
                        synchronized (this) {
                            said = said(asked, path, body);
                        }
                        say(asked, 200, said);
                    } catch (ExplainedException e) {
                        say(asked, 409, e.getMessage());
                    } catch (Refused e) {
                        say(asked, e.status, e.getMessage());
                    } catch (IllegalArgumentException | IOException e) {
                        say(
                                asked,
                                400,
                                String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
                    }
                };
        new BlockingHandler(handler).handleRequest(exchange);
    }

    private synchronized void layout(HttpServerExchange exchange) {
        if (published == null) {
            say(exchange, 503, "there is no layout yet");
            return;
        }
        long version = number(exchange, "index", 0);
        long wait = Math.min(WAIT_MOST_MS, number(exchange, "wait", 0));
        String router = text(exchange, LayoutWatch.ROUTER);
        if (desk != null && router != null) {
            desk.migrations().routers().asked(router, number(exchange, LayoutWatch.HELD, 1), now());
            // So that a lease is renewed while nothing changes.
            wait = Math.min(wait, place.migration().lease().toMillis() / 3);
        }
        if (version < published.version || wait <= 0) {
            answerLayout(exchange);
        } else if (watchers.size() >= WATCHERS_MOST) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
            say(exchange, 503, "too many wait for a newer layout");
        } else {
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(wait);
            exchange.dispatch(
                    () -> {
                        synchronized (this) {
                            Waiting waiting = new Waiting(exchange, version, until);
                            if (published.version > version) {
                                answerLayout(exchange);
                            } else {
                                watchers.add(waiting);
                            }
                        }
                    });
        }
    }

    private static long number(HttpServerExchange exchange, String name, long usual) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        try {
            return values == null ? usual : Long.parseLong(values.getFirst());
        } catch (NumberFormatException e) {
            return usual;
        }
    }

    private boolean inOffice() {
        try {
            return !stopped && log.inOffice();
        } catch (IOException e) {
            return false;
        }
    }

    /** Null where it is not told. */
    private static String text(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? null : values.getFirst();
    }

    /** The answer to a request of operators. */
    private String said(HttpServerExchange exchange, String path, byte[] body)
            throws Refused, IOException, ExplainedException {
        if (log == null || stopped) {
            throw new Refused(
                    503,
                    log == null ? "there is no layout yet" : "the log failed: restart the service");
        }
        switch (path) {
            case "GET /v1/status" -> {
                return status();
            }
            case "GET /v1/verify" -> {
                return verify();
            }
            case "POST /v1/plan" -> {
                return String.join("\n", plan(Json.object(body)));
            }
            case "POST /v1/start" -> {
                return start(Json.object(body));
            }
            case "POST /v1/abandon" -> {
                long id = number(exchange, "move", -1);
                String why = "abandoned by an operator";
                if (exchange.getQueryParameters().containsKey("target")) {
                    carryOut(coordinator.aim(null));
                    wake();
                    return "the target is dropped; moves under way go on";
                }
                carryOut(coordinator.abandon(id, why, now()));
                wake();
                return "move " + id + " is being abandoned";
            }
            default -> {
                if (!MigrationDesk.knows(path)) {
                    throw new Refused(404, "no such request");
                }
                if (desk == null) {
                    throw new ExplainedException(new MigrationError.SwitchedOff());
                }
                MigrationDesk.Answer answer =
                        desk.ordered(path, exchange.getQueryParameters(), body, now());
                carryOutAll(answer.doings());
                wake();
                return answer.said().get();
            }
        }
    }

    /**
     * The changes that a target would take first, or that a change is possible; an error says what
     * is wrong.
     */
    private List<String> plan(Map<String, Object> asked) throws IOException {
        if (!asked.containsKey("slices")) {
            Change change = LayoutForm.change(asked);
            coordinator
                    .problem(change)
                    .ifPresent(
                            problem -> {
                                throw new IllegalArgumentException(problem);
                            });
            return List.of("possible: " + change);
        }
        Target target = LayoutForm.target(asked);
        List<String> problems = coordinator.problems(target);
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException(
                    problems.get(0)
                            + (problems.size() > 1
                                    ? " (and " + (problems.size() - 1) + " more)"
                                    : ""));
        }
        List<String> lines = new ArrayList<>();
        Planner.next(book.layout(), target, book.busy())
                .forEach(change -> lines.add("first: " + change));
        return lines.isEmpty() ? List.of("nothing is to be done") : lines;
    }

    private String start(Map<String, Object> asked) throws IOException {
        String said;
        if (asked.containsKey("slices")) {
            carryOut(coordinator.aim(LayoutForm.target(asked)));
            said = "the target is taken";
        } else {
            long id = book.nextMove();
            Change change = LayoutForm.change(asked);
            carryOut(coordinator.plan(change, now()));
            said = "move " + id + ": " + change;
        }
        wake();
        return said;
    }

    private String status() {
        return new String(
                LayoutForm.bytes(
                        json -> {
                            json.writeStartObject();
                            json.writeNumberField("version", book.layout().version);
                            json.writeNumberField("slices", book.layout().slices().size());
                            json.writeNumberField("watchers", watchers.size());
                            json.writeBooleanField("target", book.target() != null);
                            json.writeArrayFieldStart("moves");
                            for (Move move : book.moves()) {
                                write(json, move);
                            }
                            json.writeEndArray();
                            json.writeArrayFieldStart("over");
                            for (Move move : book.over()) {
                                write(json, move);
                            }
                            json.writeEndArray();
                            json.writeEndObject();
                        }),
                StandardCharsets.UTF_8);
    }

    private static void write(JsonGenerator json, Move move) throws IOException {
        json.writeStartObject();
        json.writeNumberField("move", move.id);
        json.writeStringField("change", move.change.toString());
        json.writeStringField("state", RecordForm.STATES.of(move.state));
        json.writeNumberField("for_ms", Math.max(0, now().minus(move.since).toMillis()));
        if (move.why != null) {
            json.writeStringField("why", move.why);
        }
        json.writeEndObject();
    }

    /**
     * What is not as it should be: slices with holders that are gone, draining or too few, a line
     * each.
     */
    private String verify() {
        List<String> lines = new ArrayList<>();
        for (var slice : book.layout().slices()) {
            List<String> there = new ArrayList<>();
            for (String holder : slice.nodes()) {
                Entry node = nodes.get(holder);
                if (node == null || node.readiness() == Readiness.GONE) {
                    lines.add("slice " + slice.number() + ": holder " + holder + " is not listed");
                } else if (node.readiness() == Readiness.DRAINING) {
                    lines.add("slice " + slice.number() + ": holder " + holder + " is draining");
                } else {
                    there.add(holder);
                }
            }
            if (there.size() < place.limits().holders()) {
                lines.add(
                        "slice "
                                + slice.number()
                                + ": "
                                + there.size()
                                + " holders are ready, at least "
                                + place.limits().holders()
                                + " are needed");
            }
        }
        int findings = lines.size();
        coordinator
                .mends()
                .forEach(change -> lines.add("to mend it, if the node is dead: " + change));
        lines.add(
                (lines.isEmpty() ? "sound: " : findings + " findings: ")
                        + "layout "
                        + book.layout().version
                        + ", "
                        + book.layout().slices().size()
                        + " slices");
        return String.join("\n", lines);
    }

    @Override
    public void close() throws IOException {
        stopped = true;
        watch.stop();
        moves.interrupt();
        orders.close();
        if (http != null) {
            http.stop();
        }
        synchronized (this) {
            if (log != null) {
                log.close();
                log = null;
            }
        }
    }

    /** Moves that are under way or were lately over, for those who run it within their process. */
    public synchronized List<String> movesSeen() {
        List<String> seen = new ArrayList<>();
        book.over().forEach(move -> seen.add(Objects.toString(move)));
        book.moves().forEach(move -> seen.add(Objects.toString(move)));
        return seen;
    }
}
