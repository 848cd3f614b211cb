package postbeam.testbed.cluster;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import postbeam.config.RouterConfig;
import postbeam.layoutservice.LayoutService;
import postbeam.router.Router;
import postbeam.slices.KeyRange;
import postbeam.slices.MoveLimits;
import postbeam.testbed.fakes.FakeDataNode;
import postbeam.testbed.fakes.FakeDiscovery;
import postbeam.testbed.simulation.DefectiveSlicing;
import postbeam.testbed.verification.InvariantChecker;
import postbeam.testbed.verification.RunObserver;

/**
 * Routers, a layout service, stand-in nodes and discovery in one process, all on loopback; gives
 * all of it back.
 */
public final class LoopbackCluster implements Closeable, LoadGenerator.Target {
    /**
     * How large; the defect is null where none is planted; without slices the routers keep the
     * fixed rule.
     */
    public record Size(
            int nodes,
            int routers,
            int slices,
            int holders,
            boolean sliced,
            DefectiveSlicing.Defect defect) {}

    public static final InvariantChecker.Rules RULES =
            new InvariantChecker.Rules(
                    0.2,
                    Duration.ofSeconds(2),
                    2,
                    Duration.ofSeconds(1),
                    2,
                    50,
                    0.3,
                    Duration.ofSeconds(2),
                    Duration.ofMillis(1500));
    private static final MoveLimits LIMITS =
            new MoveLimits(
                    3,
                    2,
                    3,
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(2),
                    Duration.ofMillis(300),
                    Duration.ofMillis(100),
                    2,
                    2);
    private static final long HISTORY = 40;

    /** Ports below those that Linux gives to outgoing connections. */
    private static final int FIRST_PORT = 12_000;

    private static final int PORTS = 20_000;
    private static final AtomicInteger PORTS_TRIED = new AtomicInteger();
    private static final Duration READY_MOST = Duration.ofSeconds(30);

    public final InvariantChecker checker =
            new InvariantChecker(RULES, Duration.ofSeconds(2), Duration.ofMillis(150));
    public final List<FakeDataNode> nodes = new ArrayList<>();
    public final List<String> routerAddresses = new ArrayList<>();
    final UniformRandomProvider chance;
    final FakeDiscovery discovery;
    final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final long startNanos = System.nanoTime();
    private final List<Router> routers = new ArrayList<>();
    private final Path directory = Files.createTempDirectory("postbeam-trial");
    private final LayoutService.Config serviceConfig;
    private LayoutService service;
    private String serviceAddress;

    /** Starts nodes, discovery, layout service and routers within this process. */
    public LoopbackCluster(Size size, long seed) throws IOException, InterruptedException {
        chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        discovery = new FakeDiscovery();
        Map<String, Map<KeyRange, Boolean>> runs = new ConcurrentHashMap<>();
        for (int i = 0; i < size.nodes(); i++) {
            FakeDataNode node =
                    new FakeDataNode(
                            "n" + i,
                            "z" + i % 3,
                            new FakeDataNode.Seen(checker, this::now, runs),
                            RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1009 + i),
                            !size.sliced());
            nodes.add(node);
            discovery.tell(node, "up", 0);
        }
        serviceAddress = freeAddress();
        serviceConfig =
                new LayoutService.Config(
                        serviceAddress,
                        directory.resolve("moves.log"),
                        discovery.address(),
                        HISTORY,
                        LIMITS,
                        size.slices(),
                        size.holders());
        if (size.sliced()) {
            startService();
        }
        for (int i = 0; i < size.routers(); i++) {
            String address = freeAddress();
            Router router =
                    new Router(
                            RouterConfig.parse(
                                    config(
                                                    "r" + i,
                                                    "z" + i % 3,
                                                    address,
                                                    discovery.address(),
                                                    chance.nextLong(),
                                                    size.routers(),
                                                    size.slices())
                                            .getBytes(StandardCharsets.UTF_8)),
                            size.sliced() ? DefectiveSlicing.of(size.defect()) : null,
                            size.sliced() ? serviceAddress : null);
            router.start();
            routers.add(router);
            routerAddresses.add(address);
        }
        long end = System.nanoTime() + READY_MOST.toNanos();
        for (String address : routerAddresses) {
            while (get("http://" + address + "/healthz").statusCode() != 200) {
                if (System.nanoTime() > end) {
                    throw new IOException("a router did not get ready");
                }
                Thread.sleep(20);
            }
        }
    }

    /**
     * Nobody listens there. Guards against a port of the range that outgoing connections are given:
     * one of those could take it before the process that is told of it listens.
     */
    public static String freeAddress() throws IOException {
        while (true) {
            int port =
                    FIRST_PORT
                            + (int)
                                    ((ProcessHandle.current().pid() * 131L
                                                    + PORTS_TRIED.getAndIncrement())
                                            % PORTS);
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return "127.0.0.1:" + free.getLocalPort();
            } catch (BindException e) {
                // Somebody has it.
            }
        }
    }

    @Override
    public List<String> routers() {
        return routerAddresses;
    }

    @Override
    public RunObserver.ClientObserver observer() {
        return checker;
    }

    @Override
    public Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    /**
     * A router's configuration; its promises are those of {@link #RULES} and {@link
     * SimulatedCluster#kinds}.
     */
    static String config(
            String name,
            String zone,
            String listen,
            String discovery,
            long seed,
            int routers,
            int shards) {
        return "{\"name\":\""
                + name
                + "\",\"listen\":\""
                + listen
                + "\",\"discovery\":\""
                + discovery
                + "\",\"seed\":\""
                + String.format("%016x", seed)
                + "\",\"limits\":{\"memory_mb\":192,"
                + "\"sockets\":1024},\"settings\":{\"zone\":\""
                + zone
                + "\",\"nInstances\":"
                + routers
                + ",\"report\":{\"how\":\"none\"},\"domain\":{\"cells\":1,\"reach\":1,\"shards\":"
                + shards
                + ",\"partsACall\":16,\"callCost\":1000,\"classNeed\":[0.75,1,1,1],\"leastShare\":[0.75,0.5,1,1],"
                + "\"shortWorth\":[0.9,0.9,0,0]},\"caps\":{\"maxAttempts\":3,\"mayDuplicate\":true,\"cancelling\":true,"
                + "\"probes\":true,\"maxStreams\":32,\"mostHeld\":2000,\"connectTimeout\":250000,"
                + "\"keepalive\":15000000,\"maxRetryAfter\":500000},\"obligations\":{\"coldFrom\":0.2,"
                + "\"rampTime\":2000000,\"fallMultiple\":2,\"fall\":1000000,\"stopSendingWithin\":2000000,"
                + "\"spareAttempts\":50,\"budgetShare\":0.3,\"extraWindow\":2000000},\"classes\":["
                + "{\"name\":\"search\",\"promise\":1000000,\"deadline\":3000000,\"effect\":\"retryable\",\"lateWorth\":0.1},"
                + "{\"name\":\"lookup\",\"promise\":1000000,\"deadline\":3000000,\"effect\":\"retryable\",\"lateWorth\":0.1},"
                + "{\"name\":\"book\",\"promise\":1000000,\"deadline\":3000000,\"effect\":\"dedup\",\"repeatWindow\":1500000,"
                + "\"lateWorth\":0.1},{\"name\":\"hold\",\"promise\":1000000,\"deadline\":3000000,\"effect\":\"fragile\","
                + "\"lateWorth\":0.1}],\"tenants\":[{\"name\":\"acme\",\"quotaPerS\":1000}]}}";
    }

    // ---- the layout service

    /** Starts the layout service, which goes on from its journal. */
    public void startService() throws IOException {
        LayoutService next = new LayoutService(serviceConfig, checker::onLayout);
        next.start();
        service = next;
    }

    /**
     * Ends the service's process, as far as one can within this one: its log is closed, its socket
     * too.
     */
    public void stopService() throws IOException {
        if (service != null) {
            service.close();
            service = null;
        }
    }

    /** Whether the layout service was started and not stopped since. */
    public boolean isServiceRunning() {
        return service != null;
    }

    HttpResponse<String> get(String uri) throws IOException, InterruptedException {
        return http.send(
                HttpRequest.newBuilder(URI.create(uri)).timeout(Duration.ofSeconds(5)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Asks the layout service for something; the answer's text, an error's too. */
    public String post(String path, String body) throws IOException, InterruptedException {
        return http.send(
                        HttpRequest.newBuilder(URI.create("http://" + serviceAddress + path))
                                .timeout(Duration.ofSeconds(5))
                                .POST(HttpRequest.BodyPublishers.ofString(body))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body();
    }

    /** The address of the layout service, as host:port. */
    public String layoutServiceAddress() {
        return serviceAddress;
    }

    /** The moves as the layout service describes them; none while it is stopped. */
    public List<String> describeMoves() {
        return service == null ? List.of() : service.describeMoves();
    }

    @Override
    public void close() throws IOException {
        List<Thread> stops = new ArrayList<>();
        for (Router router : routers) {
            Thread stop =
                    new Thread(
                            () -> {
                                try {
                                    router.stop();
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            stop.start();
            stops.add(stop);
        }
        try {
            for (Thread stop : stops) {
                stop.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        stopService();
        discovery.close();
        nodes.forEach(FakeDataNode::close);
        try (var files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
