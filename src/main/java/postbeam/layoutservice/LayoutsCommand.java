package postbeam.layoutservice;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.Paths;
import java.util.ArrayList;
import java.util.List;
import postbeam.config.InstanceSettings;
import postbeam.config.SubsystemSettings;

/**
 * The sub-command {@code layouts}: runs the layout service, or sends an operator's request to a
 * running one.
 */
@Parameters(
        commandDescription =
                "serve: run the layout service; show, plan, start, abandon, status, verify,"
                    + " migrate, migrations, pause, resume, checkpoint, rollback: send a request to"
                    + " a running service")
public final class LayoutsCommand {
    private static final int EXIT_USAGE = 2;

    @Parameter(
            description =
                    "serve|show|plan|start|abandon|status|verify|migrate|migrations|pause|resume|checkpoint|"
                        + "rollback")
    private List<String> verbs = new ArrayList<>();

    @Parameter(
            names = "--settings",
            description = "Settings file in JSON5, such as deploy/postbeam.json5")
    private String settings = "deploy/postbeam.json5";

    @Parameter(
            names = "--service",
            description =
                    "HOST:PORT of a running service; default: layouts.serve.listen of the settings")
    private String service;

    @Parameter(
            names = "--file",
            description = "plan, start, migrate: JSON file with a change, a target or a migration")
    private String file;

    @Parameter(
            names = "--change",
            description =
                    "plan, start, migrate: the JSON itself, such as {\"split\": 3, \"at\": [KEY]},"
                            + " {\"merge\": [3, 4]} or {\"move\": 3, \"off\": \"n1\", \"onto\":"
                            + " \"n2\"}, with \"dead\": true if n1 is dead and no longer listed")
    private String change;

    @Parameter(names = "--move", description = "abandon: the number of the move")
    private Long move;

    @Parameter(
            names = "--target",
            description = "abandon: remove the target, so that no further moves are planned for it")
    private boolean target;

    @Parameter(
            names = "--migration",
            description = "pause, resume, checkpoint, rollback: the number of the migration")
    private Long migration;

    @Parameter(
            names = "--version",
            description = "checkpoint: the layout version that it was opened for")
    private Long version;

    @Parameter(names = "--digest", description = "checkpoint: the digest that it was opened for")
    private String digest;

    /**
     * Runs the sub-command.
     *
     * @param out receives the response
     * @param err receives error messages
     * @return the exit status: 0 for success, 1 for a failure, 2 for wrong arguments
     */
    public int run(PrintStream out, PrintStream err) throws InterruptedException {
        String verb = verbs.size() == 1 ? verbs.get(0) : "";
        try {
            return switch (verb) {
                case "serve" -> serve();
                case "show" -> client(out, err).get("/v1/layout");
                case "status", "verify", "migrations" -> client(out, err).get("/v1/" + verb);
                case "plan", "start", "migrate" -> post(verb, out, err);
                case "abandon" -> abandon(out, err);
                case "pause", "resume", "rollback", "checkpoint" ->
                        commandMigration(verb, out, err);
                default ->
                        usageError(
                                err,
                                "layouts: expected one of serve, show, plan, start, abandon,"
                                        + " status, verify, migrate, migrations, pause, resume,"
                                        + " checkpoint or rollback");
            };
        } catch (IOException | IllegalArgumentException e) {
            err.println(
                    "layouts "
                            + verb
                            + ": "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            return OperatorClient.EXIT_FAILED;
        }
    }

    private static int usageError(PrintStream err, String problem) {
        err.println(problem);
        return EXIT_USAGE;
    }

    private int post(String verb, PrintStream out, PrintStream err) throws IOException {
        if ((file == null) == (change == null)) {
            return usageError(err, "layouts " + verb + ": give --file or --change");
        }
        String body = change != null ? change : Files.readString(Path.of(file));
        return client(out, err).post("/v1/" + verb, body);
    }

    private int abandon(PrintStream out, PrintStream err) throws IOException {
        if ((move == null) == !target) {
            return usageError(err, "layouts abandon: give --move or --target");
        }
        return client(out, err).post("/v1/abandon?" + (target ? "target=1" : "move=" + move), "");
    }

    private int commandMigration(String verb, PrintStream out, PrintStream err) throws IOException {
        boolean checkpoint = verb.equals("checkpoint");
        if (migration == null || (checkpoint && (version == null || digest == null))) {
            return usageError(
                    err,
                    "layouts "
                            + verb
                            + ": give --migration"
                            + (checkpoint ? ", --version and --digest" : ""));
        }
        String parameters = "migration=" + migration;
        if (checkpoint) {
            parameters +=
                    "&version="
                            + version
                            + "&digest="
                            + URLEncoder.encode(digest, StandardCharsets.UTF_8);
        }
        return client(out, err).post("/v1/" + verb + "?" + parameters, "");
    }

    private OperatorClient client(PrintStream out, PrintStream err) throws IOException {
        String address =
                service != null
                        ? service
                        : SubsystemSettings.read(Paths.get(settings))
                                .required("layouts.serve.listen");
        return new OperatorClient(address, out, err);
    }

    /** Runs the layout service until the process ends. */
    private int serve() throws IOException, InterruptedException {
        InstanceSettings instanceSettings = SubsystemSettings.read(Paths.get(settings));
        if (!Boolean.TRUE.equals(instanceSettings.flag("layouts.serve.enabled"))) {
            throw new IllegalArgumentException(settings + ": layouts.serve.enabled is not true");
        }
        LayoutService layoutService =
                new LayoutService(LayoutServiceSettings.read(instanceSettings));
        layoutService.start();
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    try {
                                        layoutService.close();
                                    } catch (IOException e) {
                                        // Each acknowledged record is already on disk.
                                    }
                                },
                                "stop"));
        Thread.currentThread().join();
        return 0;
    }
}
