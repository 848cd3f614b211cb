package postbeam.router;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.function.BooleanSupplier;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import postbeam.clients.QueryServer;
import postbeam.clients.RouterExtension;
import postbeam.config.InstanceSettings;
import postbeam.config.PolicyFactory;
import postbeam.config.RouterConfig;
import postbeam.config.SettingsValidator;
import postbeam.datanodes.DataNodeClient;
import postbeam.discovery.EndpointListCodec;
import postbeam.discovery.EndpointListWatch;
import postbeam.discovery.LongPollWatcher;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.PendingQuery;
import postbeam.dispatch.QueryAction;
import postbeam.endpoints.EndpointUpdate;
import postbeam.endpoints.PollSchedule;
import postbeam.layoutservice.LayoutWatch;
import postbeam.pages.RowFetch;
import postbeam.slices.Layout;
import postbeam.slices.SliceTranslator;
import postbeam.slices.UnroutableQueryException;

/** One query router: wires its parts, starts them and stops them. */
public final class Router implements QueryServer.QueryHandler {
    private static final System.Logger LOG = System.getLogger(Router.class.getName());

    /** Descriptors for the program itself: jars, standard streams, selectors, discovery. */
    private static final int OWN_DESCRIPTORS = 64;

    private static final int LEAST_DESCRIPTORS = 2 * OWN_DESCRIPTORS;

    /** MB: the virtual machine itself takes most of it. */
    private static final int LEAST_MB = 64;

    /** MB that the program takes with no client, its heap at its usual size. */
    private static final int OWN_MB = 72;

    /**
     * Client connections for each MB beyond: each may have a thread, which takes about 0.1 MB with
     * its query.
     */
    private static final int CLIENTS_A_MB = 8;

    private static final int LEAST_CLIENTS = 16;

    /**
     * Requests that the door is rehearsed with, after which it is compiled, and how long that may
     * take.
     */
    private static final int REHEARSED = 300;

    private static final Duration REHEARSAL_MOST = Duration.ofMillis(1500);

    /** Keys named in one line of the log. */
    private static final int MOST_NAMED = 10;

    private static final Duration LOOK = Duration.ofMillis(10);

    private final PolicyExecutor decisions;
    private final DataNodeClient dataNodes;
    private final QueryServer clients;
    private final int cells;
    private final WarmUp rehearsal;
    private final QueryServer rehearsalDoor;
    private RouterConfig currentStartup;
    private LongPollWatcher<EndpointUpdate> watch;

    /** How discovery is asked. */
    private final PollSchedule.PollTimings pace;

    private final XnioWorker worker;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final String started;
    private final ShutdownDeadlines leaveTimes;
    private final boolean sliced;

    /** Null where no pages are given. */
    private final PagingService paging;

    /** Null where no slices move. */
    private final LongPollWatcher<Layout> layoutWatch;

    /**
     * Of the question for the layout that is answered next; touched by the watch's thread alone.
     */
    private long layoutAskedNanos;

    /** Null where nothing runs beside it. */
    private RouterExtension extension;

    private volatile boolean listed;
    private volatile boolean laidOut;
    private volatile boolean ready;
    private boolean listening;
    private boolean stopping;

    public Router(RouterConfig startup) throws IOException {
        this(startup, null, null);
    }

    /**
     * Where slices move: what makes of the layout what it decides, and where the layout is told.
     */
    public Router(RouterConfig startup, SliceTranslator slicing, String layouts)
            throws IOException {
        this(startup, slicing, layouts, null);
    }

    /** Where pages are given too: the paging, else null. It needs slices. */
    public Router(
            RouterConfig startup, SliceTranslator slicing, String layouts, PagingService paging)
            throws IOException {
        check(startup);
        InstanceSettings settings = startup.settings;
        String listen = startup.address("listen");
        String discovery = startup.address("discovery");
        Duration connectWithin = settings.duration("caps.connectTimeout");
        Duration idleMost = settings.duration("caps.keepalive");
        int descriptors = startup.limit("sockets", LEAST_DESCRIPTORS) - OWN_DESCRIPTORS;
        int clientsMost =
                Math.min(
                        descriptors / 2,
                        Math.max(
                                LEAST_CLIENTS,
                                CLIENTS_A_MB * (startup.limit("memory_mb", LEAST_MB) - OWN_MB)));
        Map<String, Duration> usualWaits = new LinkedHashMap<>();
        for (int i = 0; i < settings.objectCount("classes"); i++) {
            usualWaits.put(
                    settings.required("classes." + i + ".name"),
                    settings.duration("classes." + i + ".deadline"));
        }
        // Where slices move, the layout knows which there are.
        int shards =
                slicing == null ? settings.integerAtLeast("domain.shards", 1) : Integer.MAX_VALUE;
        int rehearsedShards = settings.integerAtLeast("domain.shards", 1);
        Set<String> owners = PolicyFactory.tenants(settings).keySet();
        int partsACall = settings.integerAtLeast("domain.partsACall", 1);
        decisions =
                new PolicyExecutor(
                        settings, startup.seed(), partsACall, connectWithin, slicing, paging);
        this.paging = paging;
        sliced = slicing != null;
        String named = startup.instance.text("name") + "/" + Long.toHexString(System.nanoTime());
        layoutWatch =
                sliced
                        ? LayoutWatch.of(
                                layouts,
                                this::laidOut,
                                () -> {
                                    layoutAskedNanos = System.nanoTime();
                                    return LayoutWatch.queryParameters(
                                            named, decisions.layoutVersion());
                                })
                        : null;
        cells = settings.integerAtLeast("domain.cells", 1);
        if (startup.initialEndpointList() != null) {
            listed(EndpointListCodec.decode(startup.initialEndpointList(), cells));
        }
        worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .getMap());
        dataNodes =
                new DataNodeClient(
                        worker.getIoThread(),
                        decisions,
                        settings.integerAtLeast("caps.maxStreams", 1),
                        connectWithin,
                        shortOf(idleMost, connectWithin),
                        descriptors - clientsMost,
                        !"none".equals(String.valueOf(settings.text("report.how"))));
        clients =
                new QueryServer(
                        worker,
                        RouterConfig.socketAddress(listen),
                        this,
                        usualWaits,
                        owners,
                        shards,
                        clientsMost);
        if (paging != null) {
            clients.enablePages(paging.maxRows());
        }
        rehearsal =
                new WarmUp(
                        new PolicyExecutor(
                                settings, startup.seed(), partsACall, connectWithin, null),
                        settings.text("zone"),
                        cells,
                        List.copyOf(usualWaits.keySet()),
                        owners.stream().findFirst().orElse(null),
                        rehearsedShards);
        rehearsalDoor =
                new QueryServer(worker, null, rehearsal, usualWaits, owners, rehearsedShards, 1);
        currentStartup = startup;
        Random chance = new Random(startup.seed());
        Duration askEvery = settings.duration("obligations.askEvery");
        pace =
                "subscribe".equals(settings.text("discovery"))
                        ? PollSchedule.discoveryServer(askEvery, chance)
                        : PollSchedule.LOCAL_AGENT;
        watch =
                EndpointListWatch.create(
                        discovery, cells, this::listed, pace, decisions::onDiscoveryAnswer);
        leaveTimes = ShutdownDeadlines.of(usualWaits.values());
        started =
                String.format(
                        "%s serves at %s: at most %d client connections, %d to data nodes",
                        startup.instance.text("name"),
                        listen,
                        clientsMost,
                        descriptors - clientsMost);
    }

    /**
     * Whether a router could start with it; an IOException or IllegalArgumentException names what
     * is wrong.
     */
    private static void check(RouterConfig startup) throws IOException {
        InstanceSettings settings = startup.settings;
        startup.address("listen");
        startup.address("discovery");
        startup.seed();
        startup.limit("sockets", LEAST_DESCRIPTORS);
        startup.limit("memory_mb", LEAST_MB);
        SettingsValidator.validate(settings);
        for (int i = 0; i < settings.objectCount("classes"); i++) {
            if (settings.listEntry("domain.followUp", i) != null
                    && settings.listEntry("domain.followUp", i) > 0) {
                throw settings.invalid(
                        "domain.followUp", "asks for a second step, which has no form on sockets");
            }
        }
        PolicyFactory.queryClasses(settings);
        PolicyFactory.tenants(settings);
        PolicyFactory.pollSchedule(settings, new Random());
        PolicyFactory.routingPolicy(null, new Random(), PolicyFactory.fleet(settings), settings);
        if (startup.initialEndpointList() != null) {
            EndpointListCodec.decode(
                    startup.initialEndpointList(), settings.integerAtLeast("domain.cells", 1));
        }
    }

    private void listed(EndpointUpdate update) {
        decisions.onEndpointUpdate(update);
        listed |= !update.endpoints().isEmpty();
        ready = listed && (!sliced || laidOut);
    }

    private void laidOut(Layout layout) {
        decisions.onLayout(layout, layoutAskedNanos);
        laidOut = true;
        ready = listed;
    }

    /** What runs beside it; to be called before it starts. */
    public Router withExtension(RouterExtension other) {
        extension = other;
        other.registerHandlers(clients);
        return this;
    }

    /** Starts to serve; an IOException says why it can't listen. */
    public void start() throws IOException {
        startDaemon("ticks", this::ticks);
        synchronized (this) {
            startDaemon("discovery", watch);
        }
        if (layoutWatch != null) {
            startDaemon("layouts", layoutWatch);
        }
        LOG.log(System.Logger.Level.DEBUG, "rehearsed with {0} queries", rehearsal.run());
        rehearsalDoor.warmUp(rehearsal::request, REHEARSED, REHEARSAL_MOST);
        rehearsalDoor.stop();
        synchronized (this) {
            if (stopping) {
                return;
            }
            clients.start();
            listening = true;
        }
        if (extension != null) {
            extension.start();
        }
        LOG.log(System.Logger.Level.INFO, started);
    }

    /**
     * Takes over what a configuration read again has that can change while it runs: where discovery
     * is. The new one is asked at once, so that nothing stands between what it tells and the time
     * it counts as told; the list held stays until it answers. An IOException or
     * IllegalArgumentException says what can't be used; then all stays as it was.
     */
    public synchronized void reload(RouterConfig startup) throws IOException {
        check(startup);
        String discovery = startup.address("discovery");
        List<String> fixed =
                new ArrayList<>(currentStartup.instance.changedPaths(startup.instance));
        fixed.removeIf(
                path ->
                        path.equals("discovery")
                                || path.equals("seed")
                                || path.startsWith("known")
                                || path.startsWith("settings."));
        fixed.addAll(currentStartup.settings.changedPaths(startup.settings));
        if (!fixed.isEmpty()) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "configuration: these wait for a restart: {0}",
                    fixed.subList(0, Math.min(fixed.size(), MOST_NAMED)));
        }
        boolean moved = !discovery.equals(currentStartup.address("discovery"));
        if (moved && stopped.getCount() > 0) {
            watch.stop();
            watch =
                    EndpointListWatch.create(
                            discovery, cells, this::listed, pace, decisions::onDiscoveryAnswer);
            startDaemon("discovery", watch);
        }
        currentStartup = startup;
        LOG.log(
                System.Logger.Level.INFO,
                "configuration read again; discovery {0} {1}",
                moved ? "is now at" : "stays at",
                discovery);
        worker.getIoThread()
                .execute(
                        () ->
                                LOG.log(
                                        System.Logger.Level.INFO,
                                        "{0}; on the sockets {1}",
                                        decisions.summary(),
                                        dataNodes.describe()));
    }

    /** Where it listens. */
    public String address() {
        return clients.address();
    }

    /** Waits until it is stopped. */
    public void await() throws InterruptedException {
        stopped.await();
    }

    /** Closed so early that nothing written to it crosses the node's own closing; never at once. */
    private static Duration shortOf(Duration idleMost, Duration connectWithin) {
        Duration early = idleMost.minus(connectWithin.multipliedBy(2));
        return early.compareTo(idleMost.dividedBy(2)) > 0 ? early : idleMost.dividedBy(2);
    }

    /** Asks it on the I/O thread. */
    private boolean onIoThread(BooleanSupplier question) throws InterruptedException {
        FutureTask<Boolean> asked = new FutureTask<>(question::getAsBoolean);
        worker.getIoThread().execute(asked);
        try {
            return asked.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void startDaemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void ticks() {
        while (true) {
            try {
                decisions.awaitBackgroundActions().forEach(this::execute);
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                LOG.log(System.Logger.Level.ERROR, "a tick failed", e);
            }
        }
    }

    private void execute(QueryAction step) {
        if (step instanceof QueryAction.Send send) {
            dataNodes.send(send.address(), send.attempts());
        } else if (step instanceof QueryAction.CancelAttempt up) {
            dataNodes.cancel(up.attempt());
        } else if (step instanceof QueryAction.HealthCheck probe) {
            dataNodes.probe(probe.node(), probe.address());
        }
    }

    @Override
    public PendingQuery submit(ClientRequest clientRequest, Duration age)
            throws UnroutableQueryException {
        InFlightQuery q = decisions.accept(clientRequest, age);
        return q == null ? null : new ServedQuery(q);
    }

    /** A query as its client's connection sees it. */
    private final class ServedQuery implements PendingQuery {
        private final InFlightQuery query;

        ServedQuery(InFlightQuery query) {
            this.query = query;
        }

        @Override
        public QueryAction serve() throws InterruptedException {
            return Router.this.serve(query);
        }

        @Override
        public void clientDisconnected() {
            decisions.clientDisconnected(query);
        }

        @Override
        public void setClientCheck(Runnable check) {
            query.setClientCheck(check);
        }
    }

    private QueryAction serve(InFlightQuery q) throws InterruptedException {
        QueryAction last = serveToEnd(q);
        return q.pagedQuery != null && last instanceof QueryAction.Answer answer
                ? paging.completePage(q, answer, asks -> fetchFollowUp(q, asks))
                : last;
    }

    /** Asks again for the page; null where that may not be. */
    private PagedQuery fetchFollowUp(InFlightQuery first, List<RowFetch> asks)
            throws InterruptedException {
        InFlightQuery q = decisions.acceptFollowUp(first, asks);
        if (q == null) {
            return null;
        }
        serveToEnd(q);
        return q.pagedQuery;
    }

    /** Serves the query until its last step. */
    private QueryAction serveToEnd(InFlightQuery q) throws InterruptedException {
        while (true) {
            QueryAction step = decisions.awaitAction(q);
            if (step instanceof QueryAction.Send || step instanceof QueryAction.CancelAttempt) {
                execute(step);
            } else {
                if (q.pagedQuery != null) {
                    decisions.collectPartialPages(q);
                }
                return step;
            }
        }
    }

    @Override
    public boolean isReady() {
        return ready;
    }

    /**
     * Serves on for as long as {@link ShutdownDeadlines} has it, so that clients with connections
     * are served while what replaces this router starts; then stops taking queries, answers all
     * that was taken, and lets {@link #await} return. Ends as soon as no client is connected, once
     * none can be on its way. One that does not listen yet has taken nothing, and never will.
     */
    public void stop() throws InterruptedException {
        LOG.log(System.Logger.Level.INFO, "stopping");
        long asked = System.nanoTime();
        synchronized (this) {
            stopping = true;
            if (!listening) {
                stopped.countDown();
                return;
            }
        }
        clients.beginDraining(leaveTimes.finalAnswersBy());
        Thread.sleep(ShutdownDeadlines.LATE_CONNECT_WINDOW.toMillis());
        while (System.nanoTime() - asked < leaveTimes.servingEnds().toNanos()
                && !onIoThread(clients::hasNoConnections)) {
            Thread.sleep(LOOK.toMillis());
        }
        if (extension != null) {
            extension.stop();
        }
        clients.close();
        // The last look is taken where requests are read, so none can be begun after it.
        while (!onIoThread(clients::isDrained)) {
            Thread.sleep(LOOK.toMillis());
        }
        // The process' end closes what is left: over unread bytes that is a reset, which takes the
        // last answer along.
        while (System.nanoTime() - asked < leaveTimes.readsDrainedBy().toNanos()
                && !onIoThread(clients::hasNoConnections)) {
            Thread.sleep(LOOK.toMillis());
        }
        stopped.countDown();
        synchronized (this) {
            watch.stop();
        }
        if (layoutWatch != null) {
            layoutWatch.stop();
        }
        clients.stop();
        worker.shutdownNow();
    }
}
