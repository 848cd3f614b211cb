package postbeam.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import postbeam.config.RouterConfig;
import postbeam.router.Router;

/** {@code serve}: a router until SIGTERM. */
@Parameters(commandDescription = "Run one query router on sockets, until SIGTERM")
final class ServeCommand implements Command {
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

    @Override
    public int run() throws InterruptedException {
        LogRateLimiter.install();
        // Before the file is read for the first time: SIGHUP would end the process until then.
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
        // Before it listens: a signal between the two would end the process with accepted queries.
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

    /** Ends the process itself, which else would report the signal though all was answered. */
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
