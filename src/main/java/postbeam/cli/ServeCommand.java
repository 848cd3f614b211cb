package postbeam.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import postbeam.config.RouterConfig;
import postbeam.router.Router;

/** {@code serve}: runs a router until SIGTERM. */
@Parameters(commandDescription = "Run a query router until SIGTERM")
final class ServeCommand implements Command {
    @Parameter(
            names = "--config",
            description = "Configuration file in JSON (default: the value of BALANCER_CONFIG)")
    private String config = System.getenv("BALANCER_CONFIG");

    @Parameter(
            names = "--settings",
            description =
                    "Settings file of the subsystems in JSON5, such as deploy/postbeam.json5; "
                            + "without it, no subsystem is loaded")
    private String settings;

    @Override
    public int run() throws InterruptedException {
        LogRateLimiter.install();
        // The SIGHUP handler is installed before the file is first read, as an unhandled SIGHUP
        // ends the process.
        ConfigurationReloader reloader = ConfigurationReloader.install(config);
        Router router;
        try {
            router = RouterFactory.create(RouterConfig.read(config), settings);
        } catch (IOException | IllegalArgumentException e) {
            System.err.println(
                    "postbeam: configuration " + config + ": " + ErrorMessages.firstLine(e));
            return 1;
        }
        reloader.attach(router);
        // The shutdown hook is added before the router listens; otherwise a signal in between would
        // end the process without answering the queries that it has accepted.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(router), "stop"));
        try {
            router.start();
        } catch (IOException e) {
            System.err.println("postbeam: can't listen: " + e.getMessage());
            Runtime.getRuntime().halt(1);
        }
        router.await();
        return 0;
    }

    /**
     * Stops the router and halts with a status of its own. Otherwise the exit status would be that
     * of the signal, although all queries were answered.
     */
    private static void stop(Router router) {
        int status = 0;
        try {
            router.stop();
        } catch (InterruptedException | RuntimeException e) {
            status = 1;
        }
        Runtime.getRuntime().halt(status);
    }
}
