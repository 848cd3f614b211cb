package postbeam.layoutservice;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.Proxy;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.Paths;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import postbeam.config.InstanceSettings;
import postbeam.config.SubsystemSettings;
import postbeam.migration.MigrationLimits;
import postbeam.slices.MoveLimits;

/** The layout service, and what operators ask of one that runs. */
@Parameters(
        commandDescription =
                "serve: run the layout service; show, plan, start, abandon, status, verify,"
                        + " migrate, migrations, pause, resume, checkpoint, rollback: ask one")
public final class LayoutsCommand {
    private static final Duration ANSWER_MOST = Duration.ofSeconds(10);

    @Parameter(
            description =
                    "serve|show|plan|start|abandon|status|verify|migrate|migrations|pause|resume|checkpoint|"
                        + "rollback")
    private List<String> what = new ArrayList<>();

    @Parameter(
            names = "--settings",
            description = "File of settings in JSON5, as deploy/postbeam.json5")
    private String settings = "deploy/postbeam.json5";

    @Parameter(
            names = "--service",
            description = "HOST:PORT of a service that runs; else as the settings have it")
    private String service;

    @Parameter(
            names = "--file",
            description = "plan, start: a file of JSON with a change or a target")
    private String file;

    @Parameter(
            names = "--change",
            description =
                    "plan, start: the change itself, as {\"split\": 3, \"at\": [KEY]}, {\"merge\":"
                            + " [3, 4]} or {\"move\": 3, \"off\": \"n1\", \"onto\": \"n2\"}")
    private String change;

    @Parameter(names = "--move", description = "abandon: the number of the move")
    private Long move;

    @Parameter(
            names = "--target",
            description = "abandon: the target, so that no further moves are planned")
    private boolean target;

    @Parameter(
            names = "--migration",
            description = "pause, resume, checkpoint, rollback: the number of the migration")
    private Long migration;

    @Parameter(names = "--version", description = "checkpoint: the version that it was opened for")
    private Long version;

    @Parameter(names = "--digest", description = "checkpoint: the digest that it was opened for")
    private String digest;

    /** The exit status: 0 done, 1 it can't be done, 2 it was not asked well. */
    public int run(PrintStream out, PrintStream err) throws InterruptedException {
        String verb = what.size() == 1 ? what.get(0) : "";
        try {
            return switch (verb) {
                case "serve" -> serve();
                case "show" -> ask("GET", "/v1/layout", null, out, err);
                case "status", "verify" -> ask("GET", "/v1/" + verb, null, out, err);
                case "migrations" -> ask("GET", "/v1/migrations", null, out, err);
                case "pause", "resume", "rollback", "checkpoint" -> {
                    boolean checkpoint = verb.equals("checkpoint");
                    if (migration == null || checkpoint && (version == null || digest == null)) {
                        err.println(
                                "layouts "
                                        + verb
                                        + ": give --migration"
                                        + (checkpoint ? ", --version and --digest" : ""));
                        yield 2;
                    }
                    yield ask(
                            "POST",
                            "/v1/"
                                    + verb
                                    + "?migration="
                                    + migration
                                    + (checkpoint
                                            ? "&version="
                                                    + version
                                                    + "&digest="
                                                    + URLEncoder.encode(
                                                            digest, StandardCharsets.UTF_8)
                                            : ""),
                            "",
                            out,
                            err);
                }
                case "plan", "start", "migrate" -> {
                    if ((file == null) == (change == null)) {
                        err.println("layouts " + verb + ": give --file or --change");
                        yield 2;
                    }
                    yield ask(
                            "POST",
                            "/v1/" + verb,
                            change != null ? change : Files.readString(Path.of(file)),
                            out,
                            err);
                }
                case "abandon" -> {
                    if ((move == null) == !target) {
                        err.println("layouts abandon: give --move or --target");
                        yield 2;
                    }
                    yield ask(
                            "POST",
                            "/v1/abandon?" + (target ? "target=1" : "move=" + move),
                            "",
                            out,
                            err);
                }
                default -> {
                    err.println(
                            "layouts: say serve, show, plan, start, abandon, status, verify,"
                                + " migrate, migrations, pause, resume, checkpoint or rollback");
                    yield 2;
                }
            };
        } catch (IOException | IllegalArgumentException e) {
            err.println(
                    "layouts "
                            + verb
                            + ": "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            return 1;
        }
    }

    private int serve() throws IOException, InterruptedException {
        InstanceSettings info = SubsystemSettings.read(Paths.get(settings));
        if (!Boolean.TRUE.equals(info.flag("layouts.serve.enabled"))) {
            throw new IllegalArgumentException(settings + ": layouts.serve.enabled is not true");
        }
        LayoutService running = new LayoutService(place(info));
        running.start();
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    try {
                                        running.close();
                                    } catch (IOException e) {
                                        // What counts is on disk already.
                                    }
                                },
                                "stop"));
        Thread.currentThread().join();
        return 0;
    }

    private static LayoutService.Config place(InstanceSettings info) {
        String path = "layouts.serve.";
        String limits = path + "limits.";
        return new LayoutService.Config(
                info.required(path + "listen"),
                Path.of(info.required(path + "log")),
                info.required(path + "discovery"),
                info.integerAtLeast(path + "history", 1),
                new MoveLimits(
                        info.integerAtLeast(limits + "moves", 1),
                        info.integerAtLeast(limits + "movesANode", 1),
                        info.integerAtLeast(limits + "movesAZone", 1),
                        millis(info, limits + "copyMs"),
                        millis(info, limits + "stepMs"),
                        millis(info, limits + "restMs"),
                        millis(info, limits + "againMs"),
                        info.integerAtLeast(limits + "holders", 1),
                        info.integerAtLeast(limits + "zones", 1)),
                info.integerAtLeast(path + "firstSlices", 1),
                info.integerAtLeast(path + "firstHolders", 1),
                migration(info));
    }

    /** Null where migrations are off. */
    private static MigrationLimits migration(InstanceSettings info) {
        String path = "layouts.migration.";
        if (!Boolean.TRUE.equals(info.flag(path + "enabled"))) {
            return null;
        }
        return new MigrationLimits(
                info.integerAtLeast(path + "atOnce", 1),
                info.integerAtLeast(path + "batch", 1),
                info.integerAtLeast(path + "movesASecond", 1),
                info.integerAtLeast(path + "bytesASecond", 1),
                millis(info, path + "starvedMs"),
                millis(info, path + "coldMs"),
                millis(info, path + "watchMs"),
                info.number(path + "leastUtility"),
                millis(info, path + "againMs"),
                info.integerAtLeast(path + "patience", 1),
                info.number(path + "finestKeys").longValue(),
                millis(info, path + "leaseMs"),
                millis(info, path + "driftMs"));
    }

    private static Duration millis(InstanceSettings info, String path) {
        return Duration.ofMillis(info.integerAtLeast(path, 0));
    }

    private int ask(String method, String path, String body, PrintStream out, PrintStream err)
            throws IOException {
        String at =
                service != null
                        ? service
                        : SubsystemSettings.read(Paths.get(settings))
                                .required("layouts.serve.listen");
        HttpURLConnection call =
                (HttpURLConnection)
                        URI.create("http://" + at + path).toURL().openConnection(Proxy.NO_PROXY);
        call.setRequestMethod(method);
        call.setConnectTimeout((int) ANSWER_MOST.toMillis());
        call.setReadTimeout((int) ANSWER_MOST.toMillis());
        if (body != null) {
            call.setDoOutput(true);
            call.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
        }
        int status = call.getResponseCode();
        try (InputStream answer = status < 400 ? call.getInputStream() : call.getErrorStream()) {
            String text =
                    answer == null
                            ? ""
                            : new String(
                                    answer.readNBytes(LayoutWatch.MAX_LAYOUT_BYTES),
                                    StandardCharsets.UTF_8);
            (status < 400 ? out : err).println(text.stripTrailing());
        }
        return status < 400 ? 0 : 1;
    }
}
