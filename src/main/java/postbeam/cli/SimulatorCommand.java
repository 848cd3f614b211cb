package postbeam.cli;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import postbeam.simulator.MalformedLineException;
import postbeam.simulator.SimulatorSession;

/** {@code benchlink}: the policy for the simulator. */
@Parameters(commandDescription = "Decide for the simulator's wire on standard input and output")
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
