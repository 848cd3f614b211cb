package postbeam.testbed.cluster;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import postbeam.config.RouterConfig;
import postbeam.discovery.LongPollWatcher;
import postbeam.layoutservice.LayoutWatch;
import postbeam.model.SideEffects;
import postbeam.slices.Holder;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Slice;
import postbeam.testbed.fakes.FakeDiscovery;
import postbeam.testbed.fakes.FakeServerMain;
import postbeam.testbed.simulation.SimulatedCluster;
import postbeam.testbed.verification.InvariantChecker;
import postbeam.testbed.verification.ObservedCalls;

/**
 * The built program in processes of their own, routers r0.. and, where slices move, the layout
 * service; stand-in nodes n0.. and discovery likewise. A relay stands between any two. All end with
 * it, when the virtual machine ends, too.
 */
public final class ProcessCluster implements Closeable, LoadGenerator.Target {
    public static final String DISCOVERY = "discovery";
    public static final String LAYOUTS = "layouts";

    /**
     * A cold node's budget binds with so much work a part; it warms up slowly enough to be looked
     * at.
     */
    public static final Duration WORK = Duration.ofMillis(20);

    public static final Duration RAMP = Duration.ofSeconds(6);

    /** After which what was waited for won't come. */
    private static final Duration LONG = Duration.ofSeconds(30);

    /**
     * For the ways of messages, delays by relays among them, where nothing else runs on the
     * machine.
     */
    public static final Duration STRICT = Duration.ofSeconds(1);

    /**
     * Where others may keep a process from running: then only what comes much later, or never, is
     * held against it.
     */
    public static final Duration PATIENT = Duration.ofSeconds(10);

    /** Clients end by themselves at last; and answers that show that a router serves. */
    private static final Duration LOAD_MOST = Duration.ofMinutes(4);

    private static final int SERVED = 20;
    private static final List<String> JAVA =
            List.of(
                    "java",
                    "-Xmx48m",
                    "-Xss256k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:-UsePerfData");

    /**
     * Makes of a router's file, its configuration r0.json or our own settings r0.json5 (empty for
     * none), another.
     */
    public interface FileRewriter {
        /** The text to start the router with in place of this one. */
        String rewrite(ProcessCluster cluster, String file, String text) throws IOException;
    }

    /**
     * What the cluster consists of.
     *
     * @param slack how much later than its time an answer may come
     * @param rewriter null where files stay as they are
     */
    public record Size(
            int nodes,
            int routers,
            int shards,
            boolean sliced,
            Duration slack,
            FileRewriter rewriter) {}

    /** A process that can be started again under its name. */
    private final class ManagedProcess {
        final String name;
        final List<String> command;
        Process process;
        int starts;

        ManagedProcess(String name, List<String> command) {
            this.name = name;
            this.command = command;
        }

        Path output() {
            return directory.resolve(name + "." + starts + ".out");
        }
    }

    private record ListedNode(String health, long bornMs) {}

    private final Size size;
    private final Path directory = Files.createTempDirectory("postbeam-fleet");
    private final long startNanos = System.nanoTime();
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final Map<String, FaultProxy> proxies = new LinkedHashMap<>();
    private final Map<String, ListedNode> listedNodes = new LinkedHashMap<>();
    private final List<String> discoveryClients = new ArrayList<>();
    private final ObservedCalls observedCalls = new ObservedCalls();
    private final Thread shutdownHook = new Thread(this::killAll, "end of a fleet");
    private LongPollWatcher<Layout> watch;
    private Clients clients;
    private volatile Layout layout;
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Starts all processes and waits until they serve. */
    public ProcessCluster(Size size, long seed) throws IOException, InterruptedException {
        this.size = size;
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            IntStream.range(0, size.routers()).forEach(i -> discoveryClients.add("r" + i));
            discoveryClients.add(LAYOUTS);
            processes.put(
                    DISCOVERY,
                    new ManagedProcess(
                            DISCOVERY, fakeServerCommand("discovery", discoveryClients.size())));
            for (int i = 0; i < size.nodes(); i++) {
                String name = "n" + i;
                processes.put(
                        name,
                        new ManagedProcess(
                                name,
                                fakeServerCommand(
                                        "node",
                                        name,
                                        "z" + i % 3,
                                        directory,
                                        startNanos,
                                        seed * 1009 + i,
                                        size.sliced(),
                                        WORK.toNanos() / 1000)));
            }
            for (String name : discoveryClients) {
                addresses.put(name, LoopbackCluster.freeAddress());
            }
            for (ManagedProcess child : processes.values()) {
                launch(child, child.name.equals(DISCOVERY) ? null : "false");
            }
            for (String name : List.copyOf(processes.keySet())) {
                listening(name);
            }
            for (int i = 0; i < size.nodes(); i++) {
                listedNodes.put("n" + i, new ListedNode("up", 0));
            }
            tellDiscovery();
            if (size.sliced()) {
                processes.put(
                        LAYOUTS,
                        new ManagedProcess(
                                LAYOUTS,
                                postbeamCommand(
                                        "layouts",
                                        "serve",
                                        "--settings",
                                        Files.writeString(
                                                        directory.resolve("layouts.json5"),
                                                        serviceSettings())
                                                .toString())));
                launch(processes.get(LAYOUTS), null);
            } else {
                observedCalls.add(Duration.ZERO, to -> to.onLayout(fixed(size.shards())));
            }
            for (int i = 0; i < size.routers(); i++) {
                processes.put("r" + i, router("r" + i, i, seed));
                launch(processes.get("r" + i), null);
            }
            for (int i = 0; i < size.routers(); i++) {
                ready("r" + i);
            }
        } catch (IOException | InterruptedException | RuntimeException e) {
            close();
            throw e;
        }
    }

    /** The layout that stands for the fixed rule. */
    public static Layout fixed(int shards) {
        List<Slice> slices = new ArrayList<>();
        for (int i = 0; i <= shards; i++) {
            slices.add(
                    new Slice(
                            i,
                            new KeyRange(i, i < shards ? i + 1 : KeyRange.KEY_SPACE_SIZE),
                            LoadGenerator.FIXED,
                            List.of(new Holder("any", Duration.ZERO))));
        }
        return Layout.validated(LoadGenerator.FIXED, LoadGenerator.FIXED, slices, List.of());
    }

    /** What routers are promised here, with what the clients say of the work. */
    public static InvariantChecker referee(Duration slack) {
        InvariantChecker.Rules rules = LoopbackCluster.RULES;
        return new InvariantChecker(
                new InvariantChecker.Rules(
                        rules.coldFrom(),
                        RAMP,
                        rules.fallMultiple(),
                        rules.fall(),
                        rules.warmWork(),
                        rules.freeFurther(),
                        rules.furtherShare(),
                        rules.furtherSpan(),
                        rules.repeatWindow()),
                Duration.ofSeconds(2),
                slack);
    }

    // ---- processes

    /** The command line of a postbeam process with these arguments. */
    public static List<String> postbeamCommand(String... words) {
        List<String> command = new ArrayList<>(JAVA);
        command.addAll(List.of("-jar", "target/postbeam.jar"));
        command.addAll(List.of(words));
        return command;
    }

    private static List<String> fakeServerCommand(Object... words) {
        List<String> command = new ArrayList<>(JAVA);
        command.addAll(
                List.of(
                        "-cp",
                        "target/postbeam.jar:target/lib/*:target/more/*",
                        FakeServerMain.class.getName()));
        Arrays.stream(words).map(String::valueOf).forEach(command::add);
        return command;
    }

    private ManagedProcess router(String name, int number, long seed) throws IOException {
        String config =
                LoopbackCluster.config(
                                name,
                                "z" + number % 3,
                                addresses.get(name),
                                proxy(name, DISCOVERY).address(),
                                seed * 31 + number,
                                size.routers(),
                                size.shards())
                        .replace("\"rampTime\":2000000", "\"rampTime\":" + RAMP.toNanos() / 1000);
        Path file =
                Files.writeString(
                        directory.resolve(name + ".json"),
                        size.rewriter().rewrite(this, name + ".json", config));
        List<String> command =
                new ArrayList<>(
                        List.of("/bin/sh", "deploy/run.sh", "serve", "--config", file.toString()));
        String own =
                size.rewriter()
                        .rewrite(
                                this,
                                name + ".json5",
                                !size.sliced()
                                        ? ""
                                        : "{layouts: {follow: {enabled: true, service: \""
                                                + proxy(name, LAYOUTS).address()
                                                + "\"}}}");
        if (!own.isEmpty()) {
            command.addAll(List.of("--settings", writeFile(name + ".json5", own).toString()));
        }
        return new ManagedProcess(name, command);
    }

    private String serviceSettings() {
        return "{layouts: {serve: {enabled: true, listen: \""
                + addresses.get(LAYOUTS)
                + "\", log: \""
                + directory.resolve("moves.log")
                + "\", discovery: \""
                + proxy(LAYOUTS, DISCOVERY).address()
                + "\", history: 40, firstSlices: "
                + size.shards()
                + ", firstHolders: 3, limits: {moves: 2, movesANode: 2, movesAZone: 3, copyMs:"
                + " 5000, stepMs: 5000, restMs: 0, againMs: 50, holders: 2, zones: 2}}}}";
    }

    private void launch(ManagedProcess child, String last) throws IOException {
        List<String> command = new ArrayList<>(child.command);
        if (last != null) {
            command.add(last);
        }
        child.starts++;
        ProcessBuilder start =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(child.output().toFile());
        start.environment()
                .put("BALANCER_CONFIG", directory.resolve(child.name + ".json").toString());
        child.process = start.start();
    }

    /** Waits until a stand-in says where it listens, and leads all ways to it there. */
    private void listening(String name) throws IOException, InterruptedException {
        ManagedProcess child = processes.get(name);
        awaitCondition(
                name + " listens",
                () ->
                        Files.readString(child.output()).contains("at ")
                                && Files.readString(child.output()).endsWith("\n"));
        String at = Files.readString(child.output()).strip();
        at = at.substring(at.lastIndexOf("at ") + 3);
        synchronized (proxies) {
            addresses.put(name, at);
            for (Map.Entry<String, FaultProxy> way : proxies.entrySet()) {
                if (way.getKey().endsWith("-" + name)) {
                    way.getValue().target(target(way.getKey().split("-", 0)[0], name));
                }
            }
        }
    }

    private InetSocketAddress target(String from, String to) throws IOException {
        if (to.contains(".") && !addresses.containsKey(to)) {
            addresses.put(to, LoopbackCluster.freeAddress());
        }
        String at = addresses.get(to);
        return at == null
                ? null
                : RouterConfig.socketAddress(
                        to.equals(DISCOVERY)
                                ? at.split(",", 0)[discoveryClients.indexOf(from)]
                                : at);
    }

    /**
     * The way from one to another by their names; made when it is first asked for. A name with a
     * dot is a further door of a process, r0.peers say, and gets an address of its own.
     */
    public FaultProxy proxy(String from, String to) {
        synchronized (proxies) {
            return proxies.computeIfAbsent(
                    from + "-" + to,
                    key -> {
                        try {
                            return new FaultProxy(key, target(from, to));
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                    });
        }
    }

    /** Ends the faults of all connections. */
    public void healAll() {
        synchronized (proxies) {
            proxies.values().forEach(FaultProxy::heal);
        }
    }

    /** Waits until it answers; from then on what it takes counts. */
    void ready(String router) throws IOException, InterruptedException {
        awaitCondition(
                router + " is ready",
                () ->
                        http.send(
                                                HttpRequest.newBuilder(
                                                                URI.create(
                                                                        "http://"
                                                                                + addresses.get(
                                                                                        router)
                                                                                + "/healthz"))
                                                        .timeout(Duration.ofSeconds(2))
                                                        .build(),
                                                HttpResponse.BodyHandlers.discarding())
                                        .statusCode()
                                == 200);
        observedCalls.add(now(), to -> to.routerBack(router));
    }

    /**
     * Waits until the condition holds; one that throws does not hold yet.
     *
     * @param what the condition in words, for the error
     * @throws IOException where it does not hold in time
     */
    public void awaitCondition(String what, Callable<Boolean> condition)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + LONG.toNanos();
        while (true) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                // Not yet.
            }
            if (System.nanoTime() > end) {
                throw new IOException("it did not come that " + what + ended());
            }
            Thread.sleep(20);
        }
    }

    /** What those said that are no more. */
    private String ended() throws IOException {
        StringBuilder text = new StringBuilder();
        for (ManagedProcess child : processes.values()) {
            if (child.process != null && !child.process.isAlive()) {
                text.append("; ")
                        .append(child.name)
                        .append(" ended: ")
                        .append(Files.readString(child.output()).strip());
            }
        }
        return text.toString();
    }

    /** SIGKILL. */
    public void kill(String name) throws InterruptedException {
        onRouterAway(name);
        processes.get(name).process.destroyForcibly().waitFor();
    }

    /** SIGSTOP; {@link #resume} has it go on. */
    public void stop(String name) throws IOException, InterruptedException {
        onRouterAway(name);
        signal(name, "-STOP");
    }

    /** Continues a process that was stopped; a router is ready again on return. */
    public void resume(String name) throws IOException, InterruptedException {
        signal(name, "-CONT");
        if (discoveryClients.contains(name) && !name.equals(LAYOUTS)) {
            ready(name);
        }
    }

    private void onRouterAway(String name) {
        if (name.startsWith("r")) {
            observedCalls.add(now(), to -> to.routerAway(name));
        }
    }

    private void signal(String name, String what) throws IOException, InterruptedException {
        String pid = String.valueOf(processes.get(name).process.pid());
        if (new ProcessBuilder("kill", what, pid).start().waitFor() != 0) {
            throw new IOException(name + " could not be signalled");
        }
    }

    /** Starts what was killed, all at once; a node is back cold, and discovery tells of it. */
    public void start(String... names) throws IOException, InterruptedException {
        for (String name : names) {
            launch(processes.get(name), listedNodes.containsKey(name) ? "true" : null);
        }
        for (String name : names) {
            if (listedNodes.containsKey(name)) {
                listening(name);
                listedNodes.put(name, new ListedNode("up", System.currentTimeMillis()));
                tell(name, "up");
            } else if (name.startsWith("r")) {
                ready(name);
            }
        }
    }

    /** Has a stand-in node do as {@link FakeServerMain} has it. */
    void commandNode(String node, String line) throws IOException {
        writeLine(processes.get(node), line);
    }

    private void writeLine(ManagedProcess child, String line) throws IOException {
        child.process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        child.process.getOutputStream().flush();
    }

    /** A file of the fleet's folder, which goes with it. */
    public Path file(String name) {
        return directory.resolve(name);
    }

    /** Writes a file into the directory of the cluster. */
    public Path writeFile(String name, String text) throws IOException {
        return Files.writeString(file(name), text);
    }

    /** Sends GET to a process; the text of the answer, also of an error. */
    public String get(String name, String path) throws IOException, InterruptedException {
        return request(name, path, null);
    }

    /** Sends POST to a process; the text of the answer, also of an error. */
    public String post(String name, String path, String body)
            throws IOException, InterruptedException {
        return request(name, path, body);
    }

    /** The answer's text, an error's too. */
    private String request(String name, String path, String body)
            throws IOException, InterruptedException {
        HttpRequest.Builder asked =
                HttpRequest.newBuilder(URI.create("http://" + addresses.get(name) + path))
                        .timeout(Duration.ofSeconds(5));
        return http.send(
                        (body == null
                                        ? asked
                                        : asked.POST(HttpRequest.BodyPublishers.ofString(body)))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body();
    }

    // ---- discovery

    /** Discovery tells all of this node; its health is up, draining or removed. */
    public void tell(String node, String health) throws IOException {
        listedNodes.put(node, new ListedNode(health, listedNodes.get(node).bornMs));
        tellDiscovery();
        Duration now = now();
        observedCalls.add(now, to -> to.onDrainingChanged(now, node, !health.equals("up")));
    }

    /** The layout last told to the clients; null where slices don't move. */
    public Layout layout() {
        return layout;
    }

    /** Steady clients; where slices move they know the layout as it is told. */
    public Clients clients(double rate, long seed) throws IOException, InterruptedException {
        LoadGenerator generator =
                new LoadGenerator(
                        this,
                        size.sliced(),
                        size.shards(),
                        RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
        if (size.sliced()) {
            // At the start: routers may count by a version before it is told here.
            watch =
                    LayoutWatch.of(
                            addresses.get(LAYOUTS),
                            next -> {
                                observedCalls.add(Duration.ZERO, to -> to.onLayout(next));
                                layout = next;
                                generator.onLayout(next);
                            });
            Thread watching = new Thread(watch, "layouts of a fleet");
            watching.setDaemon(true);
            watching.start();
            awaitCondition("the layout is told", () -> layout != null);
        }
        clients = new Clients(generator, rate);
        return clients;
    }

    /** Clients that ask until they are stopped. */
    public final class Clients {
        public final LoadGenerator load;
        private final Thread thread;

        private Clients(LoadGenerator generator, double rate) {
            this.load = generator;
            thread =
                    new Thread(
                            () -> {
                                try {
                                    generator.run(rate, LOAD_MOST);
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            },
                            "clients of a fleet");
            thread.setDaemon(true);
            thread.start();
        }

        /** Waits until each router has given some more answers. */
        public void allServe() throws IOException, InterruptedException {
            for (int i = 0; i < size.routers(); i++) {
                int router = i;
                int before = load.served(i);
                awaitCondition("r" + i + " serves", () -> load.served(router) >= before + SERVED);
            }
        }

        /** Stops the clients and waits for their last answers. */
        public void stop() throws InterruptedException {
            load.stop();
            thread.join();
        }

        /** Stops them; which rules were broken by all that was seen. */
        public List<String> broken() throws IOException, InterruptedException {
            stop();
            InvariantChecker judged = judged();
            return judged.runs() < SERVED ? List.of("nothing was run") : judged.violations();
        }
    }

    /** What the referee takes for told, though nobody is. */
    public void pretendAnnounced(String node) {
        Duration now = now();
        observedCalls.add(now, to -> to.onDrainingChanged(now, node, true));
    }

    private void tellDiscovery() throws IOException {
        for (String asker : discoveryClients) {
            List<String> hosts = new ArrayList<>();
            listedNodes.forEach(
                    (node, is) ->
                            hosts.add(
                                    FakeDiscovery.hostEntry(
                                            node,
                                            proxy(asker, node).address(),
                                            "z" + Integer.parseInt(node.substring(1)) % 3,
                                            is.health,
                                            is.bornMs)));
            hosts.removeIf(host -> host.contains("\"removed\""));
            writeLine(
                    processes.get(DISCOVERY),
                    discoveryClients.indexOf(asker) + " " + String.join(",", hosts));
        }
    }

    // ---- the run

    @Override
    public List<String> routers() {
        return IntStream.range(0, size.routers()).mapToObj(i -> addresses.get("r" + i)).toList();
    }

    /** The address of a process, as host:port. */
    public String address(String name) {
        return addresses.get(name);
    }

    @Override
    public Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    @Override
    public ObservedCalls observer() {
        return observedCalls;
    }

    @Override
    public Duration slack() {
        return size.slack();
    }

    @Override
    public Duration declaredWork() {
        return WORK;
    }

    /**
     * Without deduplicated ones: what nodes hand each other of them has no form between these
     * processes.
     */
    @Override
    public List<SimulatedCluster.Kind> kinds() {
        return SimulatedCluster.kinds().stream()
                .filter(kind -> kind.effect() != SideEffects.DEDUPLICATED)
                .toList();
    }

    /** Calls that a node's present life was sent so far. */
    public long calls(String node) throws IOException {
        return observedCalls.calls(directory, node);
    }

    /** Tells the referee all that was seen. */
    public InvariantChecker judged() throws IOException {
        InvariantChecker checker = referee(size.slack());
        observedCalls.tell(checker, directory, now());
        return checker;
    }

    private void killAll() {
        processes.values().stream()
                .map(child -> child.process)
                .filter(process -> process != null)
                .forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        if (watch != null) {
            watch.stop();
        }
        killAll();
        try {
            if (clients != null) {
                clients.stop();
            }
            for (ManagedProcess child : processes.values()) {
                if (child.process != null) {
                    child.process.waitFor();
                }
            }
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // The virtual machine ends, and with it all of this.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        proxies.values().forEach(FaultProxy::close);
        try (var files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
