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
import postbeam.clients.ClientDoor;
import postbeam.datanodes.DataNodes;
import postbeam.discovery.ListForm;
import postbeam.discovery.LongPoll;
import postbeam.discovery.Watch;
import postbeam.dispatch.PendingQuery;
import postbeam.layouts.LayoutWatch;
import postbeam.pages.Ask;
import postbeam.roster.DiscoveryPacing;
import postbeam.roster.Told;
import postbeam.setup.Assembly;
import postbeam.setup.Checks;
import postbeam.setup.Info;
import postbeam.setup.Startup;
import postbeam.slices.Layout;
import postbeam.slices.Slicing;
import postbeam.slices.Unroutable;

/** One query router: wires its parts, starts them and stops them. */
public final class Router implements ClientDoor.Queries {
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

    private final Decisions decisions;
    private final DataNodes dataNodes;
    private final ClientDoor clients;
    private final int cells;
    private final Rehearsal rehearsal;
    private final ClientDoor rehearsalDoor;
    private Startup held;
    private LongPoll<Told> watch;

    /** How discovery is asked. */
    private final DiscoveryPacing.Pace pace;

    private final XnioWorker worker;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final String started;
    private final LeaveTimes leaveTimes;
    private final boolean sliced;

    /** Null where no pages are given. */
    private final Paging paging;

    /** Null where no slices move. */
    private final LongPoll<Layout> layoutWatch;

    /**
     * Of the question for the layout that is answered next; touched by the watch's thread alone.
     */
    private long layoutAskedNanos;

    /** Null where nothing runs beside it. */
    private Beside beside;

    private volatile boolean listed;
    private volatile boolean laidOut;
    private volatile boolean ready;
    private boolean listening;
    private boolean stopping;

    public Router(Startup startup) throws IOException {
        this(startup, null, null);
    }

    /**
     * Where slices move: what makes of the layout what it decides, and where the layout is told.
     */
    public Router(Startup startup, Slicing slicing, String layouts) throws IOException {
        this(startup, slicing, layouts, null);
    }

    /** Where pages are given too: the paging, else null. It needs slices. */
    public Router(Startup startup, Slicing slicing, String layouts, Paging paging)
            throws IOException {
        check(startup);
        Info settings = startup.settings;
        String listen = startup.address("listen");
        String discovery = startup.address("discovery");
        Duration connectWithin = settings.span("caps.connectTimeout");
        Duration idleMost = settings.span("caps.keepalive");
        int descriptors = startup.limit("sockets", LEAST_DESCRIPTORS) - OWN_DESCRIPTORS;
        int clientsMost =
                Math.min(
                        descriptors / 2,
                        Math.max(
                                LEAST_CLIENTS,
                                CLIENTS_A_MB * (startup.limit("memory_mb", LEAST_MB) - OWN_MB)));
        Map<String, Duration> usualWaits = new LinkedHashMap<>();
        for (int i = 0; i < settings.count("classes"); i++) {
            usualWaits.put(
                    settings.needed("classes." + i + ".name"),
                    settings.span("classes." + i + ".deadline"));
        }
        // Where slices move, the layout knows which there are.
        int shards = slicing == null ? settings.atLeast("domain.shards", 1) : Integer.MAX_VALUE;
        int rehearsedShards = settings.atLeast("domain.shards", 1);
        Set<String> owners = Assembly.customers(settings).keySet();
        int partsACall = settings.atLeast("domain.partsACall", 1);
        decisions =
                new Decisions(settings, startup.seed(), partsACall, connectWithin, slicing, paging);
        this.paging = paging;
        sliced = slicing != null;
        String named = startup.info.text("name") + "/" + Long.toHexString(System.nanoTime());
        layoutWatch =
                sliced
                        ? LayoutWatch.of(
                                layouts,
                                this::laidOut,
                                () -> {
                                    layoutAskedNanos = System.nanoTime();
                                    return LayoutWatch.says(named, decisions.layoutHeld());
                                })
                        : null;
        cells = settings.atLeast("domain.cells", 1);
        if (startup.known() != null) {
            listed(ListForm.read(startup.known(), cells));
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
                new DataNodes(
                        worker.getIoThread(),
                        decisions,
                        settings.atLeast("caps.maxStreams", 1),
                        connectWithin,
                        shortOf(idleMost, connectWithin),
                        descriptors - clientsMost,
                        !"none".equals(String.valueOf(settings.text("report.how"))));
        clients =
                new ClientDoor(
                        worker,
                        Startup.socketAddress(listen),
                        this,
                        usualWaits,
                        owners,
                        shards,
                        clientsMost);
        if (paging != null) {
            clients.pages(paging.rowsMost());
        }
        rehearsal =
                new Rehearsal(
                        new Decisions(settings, startup.seed(), partsACall, connectWithin, null),
                        settings.text("zone"),
                        cells,
                        List.copyOf(usualWaits.keySet()),
                        owners.stream().findFirst().orElse(null),
                        rehearsedShards);
        rehearsalDoor =
                new ClientDoor(worker, null, rehearsal, usualWaits, owners, rehearsedShards, 1);
        held = startup;
        Random chance = new Random(startup.seed());
        Duration askEvery = settings.span("obligations.askEvery");
        pace =
                "subscribe".equals(settings.text("discovery"))
                        ? DiscoveryPacing.priced(askEvery, chance)
                        : DiscoveryPacing.FREE;
        watch = Watch.of(discovery, cells, this::listed, pace, decisions::followed);
        leaveTimes = LeaveTimes.of(usualWaits.values());
        started =
                String.format(
                        "%s serves at %s: at most %d client connections, %d to data nodes",
                        startup.info.text("name"), listen, clientsMost, descriptors - clientsMost);
    }

    /**
     * Whether a router could start with it; an IOException or IllegalArgumentException names what
     * is wrong.
     */
    private static void check(Startup startup) throws IOException {
        Info settings = startup.settings;
        startup.address("listen");
        startup.address("discovery");
        startup.seed();
        startup.limit("sockets", LEAST_DESCRIPTORS);
        startup.limit("memory_mb", LEAST_MB);
        Checks.settings(settings);
        for (int i = 0; i < settings.count("classes"); i++) {
            if (settings.listed("domain.followUp", i) != null
                    && settings.listed("domain.followUp", i) > 0) {
                throw settings.bad(
                        "domain.followUp", "asks for a second step, which has no form on sockets");
            }
        }
        Assembly.verticals(settings);
        Assembly.customers(settings);
        Assembly.asking(settings, new Random());
        Assembly.decide(null, new Random(), Assembly.fleet(settings), settings);
        if (startup.known() != null) {
            ListForm.read(startup.known(), settings.atLeast("domain.cells", 1));
        }
    }

    private void listed(Told told) {
        decisions.listed(told);
        listed |= !told.entries().isEmpty();
        ready = listed && (!sliced || laidOut);
    }

    private void laidOut(Layout layout) {
        decisions.laidOut(layout, layoutAskedNanos);
        laidOut = true;
        ready = listed;
    }

    /** What runs beside it; to be called before it starts. */
    public Router with(Beside other) {
        beside = other;
        other.forms(clients);
        return this;
    }

    /** Starts to serve; an IOException says why it can't listen. */
    public void start() throws IOException {
        thread("ticks", this::ticks);
        synchronized (this) {
            thread("discovery", watch);
        }
        if (layoutWatch != null) {
            thread("layouts", layoutWatch);
        }
        LOG.log(System.Logger.Level.DEBUG, "rehearsed with {0} queries", rehearsal.run());
        rehearsalDoor.rehearse(rehearsal::request, REHEARSED, REHEARSAL_MOST);
        rehearsalDoor.stop();
        synchronized (this) {
            if (stopping) {
                return;
            }
            clients.start();
            listening = true;
        }
        if (beside != null) {
            beside.start();
        }
        LOG.log(System.Logger.Level.INFO, started);
    }

    /**
     * Takes over what a configuration read again has that can change while it runs: where discovery
     * is. The new one is asked at once, so that nothing stands between what it tells and the time
     * it counts as told; the list held stays until it answers. An IOException or
     * IllegalArgumentException says what can't be used; then all stays as it was.
     */
    public synchronized void reload(Startup startup) throws IOException {
        check(startup);
        String discovery = startup.address("discovery");
        List<String> fixed = new ArrayList<>(held.info.changed(startup.info));
        fixed.removeIf(
                path ->
                        path.equals("discovery")
                                || path.equals("seed")
                                || path.startsWith("known")
                                || path.startsWith("settings."));
        fixed.addAll(held.settings.changed(startup.settings));
        if (!fixed.isEmpty()) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "configuration: these wait for a restart: {0}",
                    fixed.subList(0, Math.min(fixed.size(), MOST_NAMED)));
        }
        boolean moved = !discovery.equals(held.address("discovery"));
        if (moved && stopped.getCount() > 0) {
            watch.stop();
            watch = Watch.of(discovery, cells, this::listed, pace, decisions::followed);
            thread("discovery", watch);
        }
        held = startup;
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
                                        decisions.beliefs(),
                                        dataNodes.carrying()));
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
    private boolean on(BooleanSupplier question) throws InterruptedException {
        FutureTask<Boolean> asked = new FutureTask<>(question::getAsBoolean);
        worker.getIoThread().execute(asked);
        try {
            return asked.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void thread(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void ticks() {
        while (true) {
            try {
                decisions.tick().forEach(this::carryOut);
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                LOG.log(System.Logger.Level.ERROR, "a tick failed", e);
            }
        }
    }

    private void carryOut(Step step) {
        if (step instanceof Step.Send send) {
            dataNodes.send(send.address(), send.calls());
        } else if (step instanceof Step.GiveUp up) {
            dataNodes.giveUp(up.call());
        } else if (step instanceof Step.Probe probe) {
            dataNodes.probe(probe.node(), probe.address());
        }
    }

    @Override
    public PendingQuery take(Asked asked, Duration age) throws Unroutable {
        OpenQuery q = decisions.take(asked, age);
        return q == null ? null : new ServedQuery(q);
    }

    /** A query as its client's connection sees it. */
    private final class ServedQuery implements PendingQuery {
        private final OpenQuery query;

        ServedQuery(OpenQuery query) {
            this.query = query;
        }

        @Override
        public Step serve() throws InterruptedException {
            return Router.this.serve(query);
        }

        @Override
        public void clientLeft() {
            decisions.left(query);
        }

        @Override
        public void clientCheck(Runnable check) {
            query.clientCheck(check);
        }
    }

    private Step serve(OpenQuery q) throws InterruptedException {
        Step last = served(q);
        return q.paged != null && last instanceof Step.Answer answer
                ? paging.given(q, answer, asks -> further(q, asks))
                : last;
    }

    /** Asks again for the page; null where that may not be. */
    private Paged further(OpenQuery first, List<Ask> asks) throws InterruptedException {
        OpenQuery q = decisions.takeFurther(first, asks);
        if (q == null) {
            return null;
        }
        served(q);
        return q.paged;
    }

    /** Serves the query until its last step. */
    private Step served(OpenQuery q) throws InterruptedException {
        while (true) {
            Step step = decisions.pick(q);
            if (step instanceof Step.Send || step instanceof Step.GiveUp) {
                carryOut(step);
            } else {
                if (q.paged != null) {
                    decisions.cameFor(q);
                }
                return step;
            }
        }
    }

    @Override
    public boolean ready() {
        return ready;
    }

    /**
     * Serves on for as long as {@link LeaveTimes} has it, so that clients with connections are
     * served while what replaces this router starts; then stops taking queries, answers all that
     * was taken, and lets {@link #await} return. Ends as soon as no client is connected, once none
     * can be on its way. One that does not listen yet has taken nothing, and never will.
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
        clients.leave(leaveTimes.lastWord());
        Thread.sleep(LeaveTimes.STILL_COMING.toMillis());
        while (System.nanoTime() - asked < leaveTimes.servesOn().toNanos()
                && !on(clients::unused)) {
            Thread.sleep(LOOK.toMillis());
        }
        if (beside != null) {
            beside.stop();
        }
        clients.close();
        // The last look is taken where requests are read, so none can be begun after it.
        while (!on(clients::idle)) {
            Thread.sleep(LOOK.toMillis());
        }
        // The process' end closes what is left: over unread bytes that is a reset, which takes the
        // last answer along.
        while (System.nanoTime() - asked < leaveTimes.readOff().toNanos() && !on(clients::unused)) {
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
