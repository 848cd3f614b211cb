package postbeam.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.Proxy;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import postbeam.clients.RouterExtension;
import postbeam.config.InstanceSettings;
import postbeam.config.RouterConfig;
import postbeam.config.SubsystemSettings;
import postbeam.errors.OperatorErrorException;
import postbeam.layoutservice.LayoutsCommand;
import postbeam.peers.FleetConfigReader;
import postbeam.peers.PeerCoordinator;
import postbeam.router.PagingService;
import postbeam.router.Router;
import postbeam.simulator.MalformedLineException;
import postbeam.simulator.SimulatorSession;
import postbeam.slices.SliceTranslator;
import postbeam.testbed.demo.DemoCommand;
import postbeam.testbed.trials.TrialCommand;
import sun.misc.Signal;

/** Command line entry: each way of running postbeam is a sub-command. */
public final class Main {
    private static final System.Logger LOG = System.getLogger(Main.class.getName());

    /** Queries of a rehearsal: as many as it takes until nothing new is loaded. */
    private static final int REHEARSAL_QUERIES = 5;

    @Parameter(
            names = {"-h", "--help"},
            help = true,
            description = "Show this help")
    private boolean help;

    private Main() {}

    @Parameters(commandDescription = "Run one query router on sockets, until SIGTERM")
    private static final class Serve {
        @Parameter(
                names = "--config",
                description = "File of JSON; else the one that BALANCER_CONFIG names")
        private String config = System.getenv("BALANCER_CONFIG");

        @Parameter(
                names = "--settings",
                description =
                        "File of our own settings in JSON5, as deploy/postbeam.json5; "
                                + "without it no subsystem of these is loaded")
        private String settings;
    }

    @Parameters(
            commandDescription =
                    "Start on a free loopback port, answer a few queries and end; the build records"
                        + " which classes that takes, so that serve need not read them one by one")
    private static final class Rehearse {
        @Parameter(names = "--config", description = "File of JSON")
        private String config = "deploy/rehearsal.json";
    }

    @Parameters(commandDescription = "Decide for the simulator's wire on standard input and output")
    private static final class Benchlink {}

    @Parameters(commandDescription = "Print the version")
    private static final class Version {}

    /** Ways to run that a router's own libraries are enough for. */
    private static final List<String> CORE_COMMANDS =
            List.of("serve", "benchlink", "rehearse", "version");

    public static void main(String[] args) throws InterruptedException {
        boolean plain =
                args.length > 0
                        && CORE_COMMANDS.contains(args[0])
                        && !List.of(args).contains("--settings");
        if (!plain && ExtendedClassPathLauncher.relaunched(args)) {
            return;
        }
        Main main = new Main();
        Serve serve = new Serve();
        Rehearse rehearse = new Rehearse();
        JCommander line =
                JCommander.newBuilder()
                        .programName("postbeam")
                        .addObject(main)
                        .addCommand("serve", serve)
                        .addCommand("benchlink", new Benchlink())
                        .addCommand("rehearse", rehearse)
                        .addCommand("version", new Version())
                        .build();
        // What a router does not need is not loaded where one is started.
        Map<String, Running> others =
                args.length > 0 && line.getCommands().containsKey(args[0])
                        ? Map.of()
                        : registerOptionalCommands(line);
        try {
            line.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.err.print(usage(line));
            System.exit(2);
        }
        if (main.help) {
            System.out.print(usage(line));
        } else if (line.getParsedCommand() == null) {
            System.err.print(usage(line));
            System.exit(2);
        } else {
            System.exit(
                    switch (line.getParsedCommand()) {
                        case "serve" -> serve(serve.config, serve.settings);
                        case "benchlink" -> benchlink();
                        case "rehearse" -> rehearse(rehearse.config);
                        case "version" -> version();
                        default -> runWithBoundedLogs(others.get(line.getParsedCommand()));
                    });
        }
    }

    private static String usage(JCommander line) {
        StringBuilder text = new StringBuilder();
        line.getUsageFormatter().usage(text);
        return text.toString();
    }

    /**
     * What follows SIGHUP: by default it ends a virtual machine, so that this stands before the
     * file is read for the first time; one that comes before there is a router is done once there
     * is. One after the other, reading included: of two that come together the later must not be
     * overtaken by what the earlier has read.
     */
    private static final class Reload {
        private final String config;
        private Router router;
        private boolean reloadRequested;

        Reload(String config) {
            this.config = config;
            Signal.handle(new Signal("HUP"), signal -> reload());
        }

        synchronized void attach(Router running) {
            router = running;
            if (reloadRequested) {
                reload();
            }
        }

        /** What is wrong in the file is told, and all stays as it was. */
        private synchronized void reload() {
            if (router == null) {
                reloadRequested = true;
                return;
            }
            try {
                router.reload(RouterConfig.read(config));
            } catch (IOException | RuntimeException e) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "configuration {0}: {1}; what is held stays",
                        config,
                        firstLine(e));
            }
        }
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    private interface Running {
        int run() throws InterruptedException;
    }

    private static Map<String, Running> registerOptionalCommands(JCommander line) {
        LayoutsCommand layouts = new LayoutsCommand();
        TrialCommand trial = new TrialCommand();
        DemoCommand tryOut = new DemoCommand();
        line.addCommand("layouts", layouts);
        line.addCommand("trial", trial);
        line.addCommand("try", tryOut);
        return Map.of(
                "layouts",
                () -> layouts.run(System.out, System.err),
                "trial",
                () -> trial.run(System.out),
                "try",
                () -> tryOut.run(System.out));
    }

    private static int runWithBoundedLogs(Running command) throws InterruptedException {
        LogRateLimiter.install();
        return command.run();
    }

    /** What our own settings switch on. */
    private static Router router(RouterConfig startup, String settings) throws IOException {
        if (settings == null) {
            return new Router(startup);
        }
        InstanceSettings own = SubsystemSettings.read(Path.of(settings));
        boolean follows = Boolean.TRUE.equals(own.flag("layouts.follow.enabled"));
        boolean pages = Boolean.TRUE.equals(own.flag("pages.enabled"));
        if (pages && !follows) {
            throw new IOException("pages.enabled needs layouts.follow.enabled");
        }
        String service = follows ? own.required("layouts.follow.service") : null;
        Router router =
                pages
                        ? Paged.router(startup, service, own)
                        : follows
                                ? new Router(startup, slicing(own), service)
                                : new Router(startup);
        return Boolean.TRUE.equals(own.flag("together.enabled"))
                ? router.withExtension(together(own))
                : router;
    }

    /** Where members migrate a layout is held for a lease. */
    private static SliceTranslator slicing(InstanceSettings own) {
        SliceTranslator slicing = new SliceTranslator();
        if (Boolean.TRUE.equals(own.flag("layouts.migration.enabled"))) {
            slicing.leaseDuration(
                    Duration.ofMillis(own.integerAtLeast("layouts.migration.leaseMs", 1)));
        }
        return slicing;
    }

    /** Apart, so that nothing of pages is loaded where they are off. */
    private static final class Paged {
        static Router router(RouterConfig startup, String service, InstanceSettings own)
                throws IOException {
            try {
                return new Router(
                        startup,
                        slicing(own),
                        service,
                        new PagingService(
                                own.required("pages.key"),
                                own.text("pages.oldKey"),
                                own.integerAtLeast("pages.rows", 1)));
            } catch (OperatorErrorException e) {
                throw new IOException(e.getMessage(), e);
            }
        }
    }

    private static RouterExtension together(InstanceSettings own) throws IOException {
        try {
            return new PeerCoordinator(FleetConfigReader.read(own));
        } catch (OperatorErrorException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static int serve(String config, String settings) throws InterruptedException {
        LogRateLimiter.install();
        Reload reload = new Reload(config);
        Router router;
        try {
            router = router(RouterConfig.read(config), settings);
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("postbeam: configuration " + config + ": " + firstLine(e));
            return 1;
        }
        reload.attach(router);
        Thread stop =
                new Thread(
                        () -> {
                            int status = 0;
                            try {
                                router.stop();
                            } catch (InterruptedException | RuntimeException e) {
                                status = 1;
                            }
                            // A process that a signal ends would else report the signal, though all
                            // was answered.
                            Runtime.getRuntime().halt(status);
                        },
                        "stop");
        // Before it listens: a signal between the two would end it with what it had taken.
        Runtime.getRuntime().addShutdownHook(stop);
        try {
            router.start();
        } catch (IOException e) {
            System.err.println("postbeam: can't listen: " + e.getMessage());
            Runtime.getRuntime().halt(1);
        }
        router.await();
        return 0;
    }

    private static int rehearse(String config) throws InterruptedException {
        LogRateLimiter.install();
        Signal.handle(new Signal("HUP"), signal -> {});
        try {
            Router router = new Router(RouterConfig.read(config));
            router.start();
            for (int i = 0; i < REHEARSAL_QUERIES; i++) {
                HttpURLConnection call =
                        (HttpURLConnection)
                                URI.create("http://" + router.address() + "/search?obj=1")
                                        .toURL()
                                        .openConnection(Proxy.NO_PROXY);
                call.setDoOutput(true);
                call.setRequestProperty("Req-Id", "rehearsal" + i);
                call.setRequestProperty("Req-Owner", "acme");
                call.getOutputStream()
                        .write(
                                "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}"
                                        .getBytes(StandardCharsets.UTF_8));
                // No data node is there: the honest answer.
                if (call.getResponseCode() != HttpURLConnection.HTTP_UNAVAILABLE) {
                    throw new IOException("answered with " + call.getResponseCode());
                }
                call.disconnect();
            }
            router.stop();
            return 0;
        } catch (IOException | RuntimeException e) {
            System.err.println("postbeam: rehearsal: " + firstLine(e));
            return 1;
        }
    }

    private static int benchlink() {
        try {
            new SimulatorSession(System.in, System.out).run();
            return 0;
        } catch (IOException e) {
            System.err.println("benchlink: " + e.getMessage());
            return e instanceof MalformedLineException ? 1 : 3;
        }
    }

    private static int version() {
        String version = Main.class.getPackage().getImplementationVersion();
        System.out.println("postbeam " + (version == null ? "(not built)" : version));
        return 0;
    }
}
