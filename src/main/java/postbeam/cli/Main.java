package postbeam.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Entry point of the command line; each function of the program is a sub-command. */
public final class Main {
    private static final int USAGE_ERROR = 2;

    /** Sub-commands that need only the libraries of a serving router. */
    private static final List<String> CORE_COMMANDS =
            List.of("serve", "benchlink", "rehearse", "version");

    @Parameter(
            names = {"-h", "--help"},
            help = true,
            description = "Show this help")
    private boolean help;

    private Main() {}

    /** Runs the sub-command in the arguments, and ends the process with its exit status. */
    public static void main(String[] args) throws InterruptedException {
        boolean core =
                args.length > 0
                        && CORE_COMMANDS.contains(args[0])
                        && !List.of(args).contains("--settings");
        if (!core && ExtendedClassPathLauncher.relaunchIfNeeded(args)) {
            return;
        }
        System.exit(new Main().run(args));
    }

    private int run(String[] args) throws InterruptedException {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("serve", new ServeCommand());
        commands.put("benchlink", new SimulatorCommand());
        commands.put("rehearse", new RehearseCommand());
        commands.put("version", new VersionCommand());
        JCommander.Builder builder =
                JCommander.newBuilder().programName("postbeam").addObject(this);
        commands.forEach(builder::addCommand);
        JCommander commandLine = builder.build();
        if (args.length == 0 || !commands.containsKey(args[0])) {
            ToolCommands.addTo(commandLine)
                    .forEach((name, tool) -> commands.put(name, withLogRateLimit(tool)));
        }
        try {
            commandLine.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.err.print(usage(commandLine));
            return USAGE_ERROR;
        }
        if (help) {
            System.out.print(usage(commandLine));
            return 0;
        }
        if (commandLine.getParsedCommand() == null) {
            System.err.print(usage(commandLine));
            return USAGE_ERROR;
        }
        return commands.get(commandLine.getParsedCommand()).run();
    }

    private static Command withLogRateLimit(Command command) {
        return () -> {
            LogRateLimiter.install();
            return command.run();
        };
    }

    private static String usage(JCommander commandLine) {
        StringBuilder text = new StringBuilder();
        commandLine.getUsageFormatter().usage(text);
        return text.toString();
    }
}
