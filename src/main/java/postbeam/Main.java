package postbeam;

import java.io.IOException;
import postbeam.benchlink.Door;
import postbeam.benchlink.MalformedLine;

/** Command line entry: each way of running postbeam is a subcommand. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar postbeam.jar benchlink");
            System.err.println("  benchlink   decide for the simulator's wire on standard input and output");
            System.exit(2);
        }
        try {
            new Door(System.in, System.out).run();
        } catch (MalformedLine e) {
            System.err.println("benchlink: " + e.getMessage());
            System.exit(1);
        }
    }
}
