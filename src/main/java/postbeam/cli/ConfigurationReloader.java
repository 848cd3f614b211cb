package postbeam.cli;

import java.io.IOException;
import postbeam.config.RouterConfig;
import postbeam.router.Router;

/**
 * Reloads the configuration on SIGHUP. A signal that arrives before the router is attached takes
 * effect when it is. Each reload reads and applies the file under this object's lock, so that an
 * older version of the file never replaces a newer one.
 */
final class ConfigurationReloader {
    private static final System.Logger LOG =
            System.getLogger(ConfigurationReloader.class.getName());

    private final String configFile;
    private Router router;
    private boolean reloadRequested;

    private ConfigurationReloader(String configFile) {
        this.configFile = configFile;
    }

    /** Installs a handler that reloads the file on SIGHUP; logs a warning if SIGHUP is ignored. */
    static ConfigurationReloader install(String configFile) {
        ConfigurationReloader reloader = new ConfigurationReloader(configFile);
        if (!HangupSignal.handle(reloader::reload)) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "SIGHUP is ignored, as it was when this process was started (nohup?); restart "
                            + "the process to apply a new configuration");
        }
        return reloader;
    }

    /** Sets the router to reload, and reloads it if a signal arrived before. */
    synchronized void attach(Router newRouter) {
        router = newRouter;
        if (reloadRequested) {
            reload();
        }
    }

    /** Reloads the configuration; logs an invalid one, and leaves the router as it is. */
    private synchronized void reload() {
        if (router == null) {
            reloadRequested = true;
            return;
        }
        try {
            router.reload(RouterConfig.read(configFile));
        } catch (IOException | RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "configuration {0}: {1}; what is held stays",
                    configFile,
                    ErrorMessages.firstLine(e));
        }
    }
}
