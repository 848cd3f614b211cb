package postbeam.cli;

import com.beust.jcommander.Parameters;

/** {@code version}: prints the version of the program. */
@Parameters(commandDescription = "Print the version")
final class VersionCommand implements Command {
    @Override
    public int run() {
        String version = Main.class.getPackage().getImplementationVersion();
        System.out.println("postbeam " + (version == null ? "(not built)" : version));
        return 0;
    }
}
