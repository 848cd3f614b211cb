package postbeam.cli;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import postbeam.simulator.MalformedLineException;
import postbeam.simulator.SimulatorSession;

/** {@code benchlink}: runs the routing policy for a simulator. */
@Parameters(
        commandDescription = "Run the routing policy for a simulator on standard input and output")
final class SimulatorCommand implements Command {
    private static final int MALFORMED_INPUT = 1;
    private static final int IO_ERROR = 3;

    @Override
    public int run() {
        try {
            new SimulatorSession(System.in, System.out).run();
            return 0;
        } catch (IOException e) {
            System.err.println("benchlink: " + e.getMessage());
            return e instanceof MalformedLineException ? MALFORMED_INPUT : IO_ERROR;
        }
    }
}
