package postbeam.layoutservice;

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
import postbeam.config.RouterConfig;
import postbeam.discovery.EndpointListWatch;
import postbeam.discovery.LongPollWatcher;
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointUpdate;
import postbeam.endpoints.PollTimings;
import postbeam.errors.OperatorErrorException;
import postbeam.json.Json;
import postbeam.migration.MigrationAction;
import postbeam.migration.MigrationError;
import postbeam.migration.MigrationJournalState;
import postbeam.migration.MigrationLimits;
import postbeam.migration.MigrationManager;
import postbeam.migration.RangeDigest;
import postbeam.model.Readiness;
import postbeam.slices.Coordinator;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.JournalRecord;
import postbeam.slices.Layout;
import postbeam.slices.LayoutChange;
import postbeam.slices.Move;
import postbeam.slices.MoveJournalState;
import postbeam.slices.MoveLimits;
import postbeam.slices.Planner;
import postbeam.slices.SlicePlacement;
import postbeam.slices.TargetLayout;

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
    public record Config(
            String listen,
            Path log,
            String discovery,
            long history,
            MoveLimits limits,
            int initialSlices,
            int initialHolders,
            MigrationLimits migrationLimits) {
        public Config(
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

    private final Config place;
    private final Consumer<Layout> listener;
    private final MoveJournalState journalState;
    private final Coordinator coordinator;
    private final HandoffClient orders;
    private final LongPollWatcher<EndpointUpdate> watch;
    private final Map<String, Endpoint> nodes = new TreeMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final List<WaitingWatcher> watchers = new ArrayList<>();
    private final Thread moves = new Thread(this::run, "moves");
    private Undertow http;
    private MoveJournal log;
    private Layout published;
    private byte[] publishedBytes;
    private boolean changed;

    /** Null where migrations are off, or there is no log yet. */
    private MigrationHandler desk;

    private volatile boolean stopped;

    private record WaitingWatcher(HttpServerExchange exchange, long version, long untilNanos) {}

    /** A request that can't be done: its status and why. */
    private static final class RequestRejectedException extends Exception {
        private static final long serialVersionUID = 1L;
        final int status;

        RequestRejectedException(int status, String why) {
            super(why);
            this.status = status;
        }
    }

    public LayoutService(Config place) {
        this(place, layout -> {});
    }

    /** The one who listens hears each layout before anybody else is told. */
    public LayoutService(Config place, Consumer<Layout> listener) {
        this.place = place;
        this.listener = listener;
        this.journalState = new MoveJournalState(place.history());
        this.coordinator = new Coordinator(journalState, place.limits());
        this.orders = new HandoffClient(this::done);
        this.watch =
                EndpointListWatch.create(
                        place.discovery(), Integer.MAX_VALUE, this::listed, PollTimings.RELAXED);
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

    private void open(JournalRecord.Snapshot first) throws IOException {
        MigrationJournalState migrations =
                place.migrationLimits() == null ? null : new MigrationJournalState();
        journalState.setWorkflow(migrations);
        log = MoveJournal.open(place.log(), journalState, first);
        if (migrations != null) {
            orders.startTerm(log.startTerm(journalState), this::said, this::overtaken);
            desk =
                    new MigrationHandler(
                            new MigrationManager(
                                    coordinator, migrations, place.migrationLimits(), now()),
                            coordinator,
                            place.migrationLimits());
        }
        if (log.tornBytes() > 0) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "{0}: a torn record of {1} bytes was cut off; the layout goes on as "
                            + "version {2}",
                    place.log(),
                    log.tornBytes(),
                    journalState.layout().version);
        }
        LOG.log(
                System.Logger.Level.INFO,
                "layout {0}: {1} slices, {2} moves under way",
                journalState.layout().version,
                journalState.layout().slices().size(),
                journalState.activeMoves().size());
        publish(journalState.layout());
    }

    private String host() {
        return RouterConfig.socketAddress(place.listen()).getHostString();
    }

    private int port() {
        return RouterConfig.socketAddress(place.listen()).getPort();
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

    private synchronized void said(long number, String node, List<RangeDigest> said) {
        desk.migrations().onRangeDigests(number, node, said, now());
        wake();
    }

    /** A node has taken an order of a successor. */
    private void overtaken() {
        LOG.log(
                System.Logger.Level.ERROR,
                new MigrationError.LeadershipLost(journalState.term(), "a node").message());
        stopped = true;
    }

    // ---- what happens

    private synchronized void listed(EndpointUpdate update) {
        List<String> started = new ArrayList<>();
        if (update.complete()) {
            nodes.replaceAll(
                    (name, endpoint) ->
                            update.endpoints().stream().anyMatch(one -> one.name().equals(name))
                                    ? endpoint
                                    : new Endpoint(
                                            name,
                                            endpoint.zone(),
                                            endpoint.cell(),
                                            endpoint.startedMicros(),
                                            Readiness.REMOVED));
        }
        for (Endpoint endpoint : update.endpoints()) {
            Endpoint before = nodes.put(endpoint.name(), endpoint);
            if (before != null && before.startedMicros() != endpoint.startedMicros()) {
                started.add(endpoint.name());
            }
        }
        addresses.putAll(update.addresses());
        Map<String, TargetLayout.NodeInfo> known = new TreeMap<>();
        nodes.forEach(
                (name, endpoint) ->
                        known.put(
                                name,
                                new TargetLayout.NodeInfo(
                                        String.valueOf(endpoint.zone()), endpoint.readiness())));
        addresses
                .keySet()
                .removeIf(
                        name ->
                                !known.containsKey(name)
                                        || known.get(name).readiness() == Readiness.REMOVED);
        orders.updateAddresses(addresses);
        coordinator.onNodesListed(known, started);
        if (desk != null && !started.isEmpty() && !stopped) {
            try {
                carryOutAll(desk.migrations().onNodesStarted(started, now()));
            } catch (IOException e) {
                return;
            }
        }
        List<String> spread = SlicePlacement.spreadOverZones(known);
        if (log == null && spread.size() >= place.initialHolders()) {
            begin(spread);
        }
        wake();
    }

    /** The first layout of an installation: even slices over the nodes that are listed. */
    private void begin(List<String> spread) {
        try {
            Layout first = Layout.initial(place.initialSlices(), spread, place.initialHolders());
            open(
                    new JournalRecord.Snapshot(
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

    private synchronized void done(
            long move, String node, postbeam.slices.HandoffCommand command, int slice) {
        coordinator.acknowledged(move, node, command, slice);
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
                            log.requireLeadership();
                            carryOutAll(desk.migrations().tick(now()));
                        }
                        carryOut(coordinator.tick(now()));
                        log.compact(journalState);
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
        if (e instanceof MoveJournal.LeadershipLostException) {
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

    private void carryOutAll(List<MigrationAction> doings) throws IOException {
        for (MigrationAction doing : doings) {
            if (doing instanceof MigrationAction.Delegated of) {
                carryOut(List.of(of.action()));
            } else if (doing instanceof MigrationAction.RequestDigests ask) {
                orders.requestDigests(ask);
            }
        }
    }

    private void carryOut(List<CoordinatorAction> acts) throws IOException {
        for (CoordinatorAction act : acts) {
            if (act instanceof CoordinatorAction.AppendRecord write) {
                try {
                    log.append(write.record());
                } catch (IOException e) {
                    fail(e);
                    throw e;
                }
            } else if (act instanceof CoordinatorAction.SendCommand tell) {
                orders.send(tell);
            } else if (act instanceof CoordinatorAction.PublishLayout publish) {
                publish(publish.layout());
            }
        }
    }

    private void publish(Layout layout) {
        listener.accept(layout);
        published = layout;
        publishedBytes = LayoutCodec.write(layout);
        List<WaitingWatcher> all = List.copyOf(watchers);
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
            desk.migrations().routerAcknowledgements().onResponse(router, published.version, now());
        }
        answer(exchange, publishedBytes);
    }

    private void endWaits() {
        long now = System.nanoTime();
        List<WaitingWatcher> over =
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
                    } catch (OperatorErrorException e) {
                        say(asked, 409, e.getMessage());
                    } catch (RequestRejectedException e) {
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
            desk.migrations()
                    .routerAcknowledgements()
                    .onRequest(router, number(exchange, LayoutWatch.HELD, 1), now());
            // So that a lease is renewed while nothing changes.
            wait = Math.min(wait, place.migrationLimits().routerLease().toMillis() / 3);
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
                            WaitingWatcher waiting = new WaitingWatcher(exchange, version, until);
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
            return !stopped && log.isLeader();
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
            throws RequestRejectedException, IOException, OperatorErrorException {
        if (log == null || stopped) {
            throw new RequestRejectedException(
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
                return String.join("\n", plan(Json.parseObject(body)));
            }
            case "POST /v1/start" -> {
                return start(Json.parseObject(body));
            }
            case "POST /v1/abandon" -> {
                long id = number(exchange, "move", -1);
                String why = "abandoned by an operator";
                if (exchange.getQueryParameters().containsKey("target")) {
                    carryOut(coordinator.setTarget(null));
                    wake();
                    return "the target is dropped; moves under way go on";
                }
                carryOut(coordinator.abandon(id, why, now()));
                wake();
                return "move " + id + " is being abandoned";
            }
            default -> {
                if (!MigrationHandler.handles(path)) {
                    throw new RequestRejectedException(404, "no such request");
                }
                if (desk == null) {
                    throw new OperatorErrorException(new MigrationError.MigrationsDisabled());
                }
                MigrationHandler.Response answer =
                        desk.handle(path, exchange.getQueryParameters(), body, now());
                carryOutAll(answer.actions());
                wake();
                return answer.text().get();
            }
        }
    }

    /**
     * The changes that a target would take first, or that a change is possible; an error says what
     * is wrong.
     */
    private List<String> plan(Map<String, Object> asked) throws IOException {
        if (!asked.containsKey("slices")) {
            LayoutChange change = LayoutCodec.readChange(asked);
            coordinator
                    .rejectionReason(change)
                    .ifPresent(
                            problem -> {
                                throw new IllegalArgumentException(problem);
                            });
            return List.of("possible: " + change);
        }
        TargetLayout targetLayout = LayoutCodec.readTarget(asked);
        List<String> problems = coordinator.targetProblems(targetLayout);
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException(
                    problems.get(0)
                            + (problems.size() > 1
                                    ? " (and " + (problems.size() - 1) + " more)"
                                    : ""));
        }
        List<String> lines = new ArrayList<>();
        Planner.nextChanges(journalState.layout(), targetLayout, journalState.busySlices())
                .forEach(change -> lines.add("first: " + change));
        return lines.isEmpty() ? List.of("nothing is to be done") : lines;
    }

    private String start(Map<String, Object> asked) throws IOException {
        String said;
        if (asked.containsKey("slices")) {
            carryOut(coordinator.setTarget(LayoutCodec.readTarget(asked)));
            said = "the target is taken";
        } else {
            long id = journalState.nextMove();
            LayoutChange change = LayoutCodec.readChange(asked);
            carryOut(coordinator.plan(change, now()));
            said = "move " + id + ": " + change;
        }
        wake();
        return said;
    }

    private String status() {
        return new String(
                LayoutCodec.toBytes(
                        json -> {
                            json.writeStartObject();
                            json.writeNumberField("version", journalState.layout().version);
                            json.writeNumberField("slices", journalState.layout().slices().size());
                            json.writeNumberField("watchers", watchers.size());
                            json.writeBooleanField("target", journalState.target() != null);
                            json.writeArrayFieldStart("moves");
                            for (Move move : journalState.activeMoves()) {
                                write(json, move);
                            }
                            json.writeEndArray();
                            json.writeArrayFieldStart("over");
                            for (Move move : journalState.finishedMoves()) {
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
        json.writeStringField("state", MoveRecordCodec.STATE_NAMES.of(move.state()));
        json.writeNumberField("for_ms", Math.max(0, now().minus(move.stateSince()).toMillis()));
        if (move.abandonReason() != null) {
            json.writeStringField("why", move.abandonReason());
        }
        json.writeEndObject();
    }

    /**
     * What is not as it should be: slices with holders that are gone, draining or too few, a line
     * each.
     */
    private String verify() {
        List<String> lines = new ArrayList<>();
        for (var slice : journalState.layout().slices()) {
            List<String> there = new ArrayList<>();
            for (String holder : slice.nodes()) {
                Endpoint node = nodes.get(holder);
                if (node == null || node.readiness() == Readiness.REMOVED) {
                    lines.add("slice " + slice.number() + ": holder " + holder + " is not listed");
                } else if (node.readiness() == Readiness.DRAINING) {
                    lines.add("slice " + slice.number() + ": holder " + holder + " is draining");
                } else {
                    there.add(holder);
                }
            }
            if (there.size() < place.limits().minHolders()) {
                lines.add(
                        "slice "
                                + slice.number()
                                + ": "
                                + there.size()
                                + " holders are ready, at least "
                                + place.limits().minHolders()
                                + " are needed");
            }
        }
        int findings = lines.size();
        coordinator
                .repairs()
                .forEach(change -> lines.add("to mend it, if the node is dead: " + change));
        lines.add(
                (lines.isEmpty() ? "sound: " : findings + " findings: ")
                        + "layout "
                        + journalState.layout().version
                        + ", "
                        + journalState.layout().slices().size()
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
    public synchronized List<String> describeMoves() {
        List<String> seen = new ArrayList<>();
        journalState.finishedMoves().forEach(move -> seen.add(Objects.toString(move)));
        journalState.activeMoves().forEach(move -> seen.add(Objects.toString(move)));
        return seen;
    }
}
