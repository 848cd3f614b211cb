package postbeam.cli;

import com.beust.jcommander.JCommander;
import java.util.Map;
import postbeam.layoutservice.LayoutsCommand;
import postbeam.testbed.demo.DemoCommand;
import postbeam.testbed.trials.TrialCommand;

/**
 * The sub-commands that a serving router does not need. Their classes are loaded only to run one of
 * them or to print the usage.
 */
final class ToolCommands {
    private ToolCommands() {}

    /** Adds the sub-commands to the command line and returns them by name. */
    static Map<String, Command> addTo(JCommander commandLine) {
        LayoutsCommand layouts = new LayoutsCommand();
        TrialCommand trial = new TrialCommand();
        DemoCommand demo = new DemoCommand();
        commandLine.addCommand("layouts", layouts);
        commandLine.addCommand("trial", trial);
        commandLine.addCommand("try", demo);
        return Map.of(
                "layouts", () -> layouts.run(System.out, System.err),
                "trial", () -> trial.run(System.out),
                "try", () -> demo.run(System.out));
    }
}
