package postbeam.router;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import postbeam.clients.ClientLimits;
import postbeam.clients.QueryServer;
import postbeam.clients.RouterExtension;
import postbeam.config.InstanceSettings;
import postbeam.config.PolicyFactory;
import postbeam.config.RouterConfig;
import postbeam.datanodes.DataNodeClient;
import postbeam.discovery.EndpointListCodec;
import postbeam.discovery.EndpointListWatch;
import postbeam.discovery.LongPollWatcher;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.PendingQuery;
import postbeam.dispatch.ReusedRequestIdException;
import postbeam.endpoints.EndpointUpdate;
import postbeam.endpoints.PollTimings;
import postbeam.layoutservice.LayoutWatch;
import postbeam.slices.Layout;
import postbeam.slices.SliceTranslator;
import postbeam.slices.UnroutableQueryException;

/**
 * A query router: creates its components, starts and stops them. It owns the I/O worker and the
 * threads that run background actions, poll discovery and poll the layout service. Its own lock
 * guards the life cycle and the fields that a reload changes; no thread waits for a peer while it
 * holds the lock.
 */
public final class Router implements QueryServer.QueryHandler {
    private static final System.Logger LOG = System.getLogger(Router.class.getName());

    /** Number of requests after which the code that serves clients is compiled. */
    private static final int WARM_UP_REQUESTS = 300;

    private static final Duration MAX_SERVER_WARM_UP = Duration.ofMillis(1500);
    private static final int MAX_KEYS_IN_LOG_LINE = 10;

    private final PolicyExecutor executor;
    private final XnioWorker worker;
    private final DataNodeClient dataNodes;
    private final QueryServer queryServer;
    private final ActionRunner actionRunner;
    private final JitWarmUp warmUp;
    private final QueryServer warmUpServer;
    private final RouterReadiness readiness;
    private final ShutdownDeadlines shutdownDeadlines;
    private final int cells;
    private final PollTimings discoveryTimings;
    private final String startedMessage;
    private final CountDownLatch stopped = new CountDownLatch(1);

    /** Null if slices don't move. */
    private final LongPollWatcher<Layout> layoutWatch;

    /**
     * When the pending request for a layout was sent, by {@link System#nanoTime}. Only used on the
     * thread of the layout watch.
     */
    private long layoutRequestedNanos;

    /** Null if this router has no extension. */
    private RouterExtension extension;

    private final EndpointListStatus endpointListStatus;
    private RouterConfig config;
    private LongPollWatcher<EndpointUpdate> endpointWatch;
    private boolean listening;
    private boolean stopping;

    /** Creates a router whose shards have fixed replicas. */
    public Router(RouterConfig config) throws IOException {
        this(config, null, null);
    }

    /** Creates a router whose slices move, without pages. */
    public Router(RouterConfig config, SliceTranslator slicing, String layoutService)
            throws IOException {
        this(config, slicing, layoutService, null);
    }

    /**
     * Creates a router that does not listen yet.
     *
     * @param slicing null if shards have fixed replicas
     * @param layoutService host and port of the layout service; null without slicing
     * @param paging null if pages are disabled; requires {@code slicing}
     * @throws IOException if the configuration is invalid; the message says why
     * @throws IllegalArgumentException if a setting is invalid; the message names it
     */
    public Router(
            RouterConfig config,
            SliceTranslator slicing,
            String layoutService,
            PagingService paging)
            throws IOException {
        ConfigurationCheck.check(config);
        this.config = config.withoutEndpointList();
        InstanceSettings settings = config.settings;
        RouterLimits limits = RouterLimits.of(config);
        Duration connectTimeout = settings.duration("caps.connectTimeout");
        int maxBatchSize = settings.integerAtLeast("domain.partsACall", 1);
        int fixedShards = settings.integerAtLeast("domain.shards", 1);
        Set<String> tenants = PolicyFactory.tenants(settings).keySet();
        Map<String, Duration> defaultTimeouts = defaultTimeouts(settings);
        cells = settings.integerAtLeast("domain.cells", 1);
        readiness = new RouterReadiness(slicing != null);
        shutdownDeadlines = ShutdownDeadlines.of(defaultTimeouts.values());
        executor =
                new PolicyExecutor(
                        settings, config.seed(), maxBatchSize, connectTimeout, slicing, paging);
        endpointListStatus = new EndpointListStatus(executor::onDiscoveryPollEnd);
        layoutWatch = slicing == null ? null : layoutWatch(layoutService);
        if (config.initialEndpointList().isPresent()) {
            onEndpointUpdate(EndpointListCodec.decode(config.initialEndpointList().get(), cells));
        }
        worker = createWorker();
        dataNodes = dataNodeClient(settings, limits, connectTimeout);
        actionRunner = new ActionRunner(executor, dataNodes, paging);
        // If slices move, the shards that requests may name depend on the layout.
        int shards = slicing == null ? fixedShards : Integer.MAX_VALUE;
        queryServer =
                new QueryServer(
                        worker,
                        RouterConfig.socketAddress(config.address("listen")),
                        this,
                        defaultTimeouts,
                        tenants,
                        shards,
                        limits.clients());
        if (paging != null) {
            queryServer.enablePages(paging.maxRows());
        }
        warmUp =
                new JitWarmUp(
                        new PolicyExecutor(
                                settings, config.seed(), maxBatchSize, connectTimeout, null),
                        settings.text("zone"),
                        cells,
                        List.copyOf(defaultTimeouts.keySet()),
                        tenants.stream().findFirst().orElse(null),
                        fixedShards);
        warmUpServer =
                new QueryServer(
                        worker,
                        null,
                        warmUp,
                        defaultTimeouts,
                        tenants,
                        fixedShards,
                        new ClientLimits(1, 0));
        discoveryTimings = discoveryTimings(config);
        endpointWatch = endpointWatch(config.address("discovery"));
        startedMessage =
                String.format(
                        "%s serves at %s: at most %d client connections, %d to data nodes",
                        config.members.text("name"),
                        config.address("listen"),
                        limits.clients().maxConnections(),
                        limits.maxNodeConnections());
    }

    /** Maps each query class to its deadline in the settings; null if it has none. */
    private static Map<String, Duration> defaultTimeouts(InstanceSettings settings) {
        Map<String, Duration> timeouts = new LinkedHashMap<>();
        for (int i = 0; i < settings.objectCount("classes"); i++) {
            timeouts.put(
                    settings.required("classes." + i + ".name"),
                    settings.duration("classes." + i + ".deadline"));
        }
        return timeouts;
    }

    private static XnioWorker createWorker() throws IOException {
        return Xnio.getInstance()
                .createWorker(
                        OptionMap.builder()
                                .set(Options.WORKER_IO_THREADS, 1)
                                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                .getMap());
    }

    private DataNodeClient dataNodeClient(
            InstanceSettings settings, RouterLimits limits, Duration connectTimeout) {
        return new DataNodeClient(
                worker.getIoThread(),
                executor,
                settings.integerAtLeast("caps.maxStreams", 1),
                connectTimeout,
                idleTimeout(settings.duration("caps.keepalive"), connectTimeout),
                limits.maxNodeConnections(),
                !"none".equals(String.valueOf(settings.text("report.how"))));
    }

    /**
     * Returns how long a connection may stay idle before the router closes it: short enough that
     * nothing is written to a connection that the node closes at the same time, but at least half
     * of the node's own timeout.
     */
    private static Duration idleTimeout(Duration nodeKeepAlive, Duration connectTimeout) {
        Duration beforeNodeCloses = nodeKeepAlive.minus(connectTimeout.multipliedBy(2));
        Duration minimum = nodeKeepAlive.dividedBy(2);
        return beforeNodeCloses.compareTo(minimum) > 0 ? beforeNodeCloses : minimum;
    }

    private static PollTimings discoveryTimings(RouterConfig config) {
        Random random = new Random(config.seed());
        Duration pollInterval = config.settings.duration("obligations.askEvery");
        return "subscribe".equals(config.settings.text("discovery"))
                ? PollTimings.discoveryServer(pollInterval, random)
                : PollTimings.LOCAL_AGENT;
    }

    private LongPollWatcher<EndpointUpdate> endpointWatch(String discoveryAddress) {
        return EndpointListWatch.create(
                discoveryAddress,
                cells,
                this::onEndpointUpdate,
                discoveryTimings,
                endpointListStatus);
    }

    private LongPollWatcher<Layout> layoutWatch(String layoutService) {
        String routerName = config.members.text("name") + "/" + Long.toHexString(System.nanoTime());
        return LayoutWatch.of(
                layoutService,
                this::onLayout,
                () -> {
                    layoutRequestedNanos = System.nanoTime();
                    return LayoutWatch.queryParameters(routerName, executor.layoutVersion());
                });
    }

    private void onEndpointUpdate(EndpointUpdate update) {
        executor.onEndpointUpdate(update);
        if (!update.endpoints().isEmpty()) {
            readiness.onEndpointsKnown();
        }
    }

    private void onLayout(Layout layout) {
        executor.onLayout(layout, layoutRequestedNanos);
        readiness.onLayoutKnown();
    }

    /**
     * Sets the extension, which is started and stopped with this router. Must be called before
     * {@link #start}.
     */
    public Router withExtension(RouterExtension extension) {
        this.extension = extension;
        extension.registerHandlers(queryServer);
        return this;
    }

    /**
     * Warms up, then listens.
     *
     * @throws IOException if it can't listen; the message says why
     */
    public void start() throws IOException {
        startDaemon("ticks", actionRunner::runBackgroundActions);
        synchronized (this) {
            startDaemon("discovery", endpointWatch);
        }
        if (layoutWatch != null) {
            startDaemon("layouts", layoutWatch);
        }
        LOG.log(System.Logger.Level.DEBUG, "warmed up with {0} queries", warmUp.run());
        warmUpServer.warmUp(warmUp::encodeHttpRequest, WARM_UP_REQUESTS, MAX_SERVER_WARM_UP);
        warmUpServer.stop();
        synchronized (this) {
            if (stopping) {
                return;
            }
            queryServer.start();
            listening = true;
        }
        if (extension != null) {
            extension.start();
        }
        LOG.log(System.Logger.Level.INFO, startedMessage);
    }

    private static void startDaemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Applies a changed configuration. Only the address of discovery takes effect while the router
     * runs: the new address is polled at once, and the endpoint list stays in use until it
     * responds. Other changes are logged as waiting for a restart.
     *
     * @throws IOException if the configuration is invalid; nothing changes then
     * @throws IllegalArgumentException if a setting is invalid; nothing changes then
     */
    public synchronized void reload(RouterConfig newConfig) throws IOException {
        ConfigurationCheck.check(newConfig);
        logChangesThatNeedRestart(newConfig);
        String discoveryAddress = newConfig.address("discovery");
        boolean addressChanged = !discoveryAddress.equals(config.address("discovery"));
        if (addressChanged && stopped.getCount() > 0) {
            endpointWatch.stop();
            endpointWatch = endpointWatch(discoveryAddress);
            startDaemon("discovery", endpointWatch);
        }
        config = newConfig.withoutEndpointList();
        LOG.log(
                System.Logger.Level.INFO,
                "configuration read again; discovery {0} {1}",
                addressChanged ? "is now at" : "stays at",
                discoveryAddress);
        worker.getIoThread().execute(this::logState);
    }

    private void logChangesThatNeedRestart(RouterConfig newConfig) {
        List<String> paths = new ArrayList<>(config.members.changedPaths(newConfig.members));
        paths.removeIf(Router::isExcludedFromRestartWarning);
        paths.addAll(config.settings.changedPaths(newConfig.settings));
        if (!paths.isEmpty()) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "configuration: these wait for a restart: {0}",
                    paths.subList(0, Math.min(paths.size(), MAX_KEYS_IN_LOG_LINE)));
        }
    }

    /**
     * Whether a changed configuration path is left out of the restart warning: it takes effect at
     * once, is only used at startup, or belongs to the settings, whose changes the caller adds
     * separately.
     */
    private static boolean isExcludedFromRestartWarning(String path) {
        return path.equals("discovery") || path.equals("seed") || path.startsWith("settings.");
    }

    /**
     * Logs the router's state. Must run on the I/O thread, which owns the connections to data
     * nodes.
     */
    private void logState() {
        LOG.log(
                System.Logger.Level.INFO,
                "{0}; on sockets: {1}",
                executor.summary(),
                dataNodes.describe());
    }

    /** The host and port that clients connect to. */
    public String address() {
        return queryServer.address();
    }

    /** Waits until the router has stopped. */
    public void await() throws InterruptedException {
        stopped.await();
    }

    @Override
    public PendingQuery submit(ClientRequest request, Duration age)
            throws UnroutableQueryException, ReusedRequestIdException {
        return executor.accept(request, age)
                .map(query -> new ServedQuery(executor, query, actionRunner))
                .orElse(null);
    }

    @Override
    public boolean isReady() {
        return readiness.isReady();
    }

    @Override
    public Optional<String> warning() {
        return endpointListStatus.warning();
    }

    /**
     * Shuts down gracefully ({@link GracefulShutdown}) and makes {@link #await} return. A router
     * that does not listen yet stops at once and never starts to listen.
     */
    public void stop() throws InterruptedException {
        LOG.log(System.Logger.Level.INFO, "stopping");
        GracefulShutdown shutdown =
                new GracefulShutdown(queryServer, worker.getIoThread(), shutdownDeadlines);
        synchronized (this) {
            stopping = true;
            if (!listening) {
                stopped.countDown();
                return;
            }
        }
        shutdown.keepServing();
        if (extension != null) {
            extension.stop();
        }
        shutdown.finishAcceptedQueries();
        stopped.countDown();
        synchronized (this) {
            endpointWatch.stop();
        }
        if (layoutWatch != null) {
            layoutWatch.stop();
        }
        queryServer.stop();
        worker.shutdownNow();
    }
}
