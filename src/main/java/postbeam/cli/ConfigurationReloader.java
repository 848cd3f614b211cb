package postbeam.cli;

import java.io.IOException;
import postbeam.config.RouterConfig;
import postbeam.router.Router;

/**
 * Reads the configuration again on SIGHUP. A signal before the router is attached is remembered
 * until then. Reloads run one at a time under this object's lock, reading included, so that a later
 * one is never overtaken by what an earlier one has read.
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

    /** Handles SIGHUP from now on. */
    static ConfigurationReloader install(String configFile) {
        ConfigurationReloader reloader = new ConfigurationReloader(configFile);
        if (!HangupSignal.handle(reloader::reload)) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "SIGHUP is ignored, as by the process that started this one (nohup?): a new "
                            + "configuration takes a restart");
        }
        return reloader;
    }

    /** Sets the router to reload. */
    synchronized void attach(Router newRouter) {
        router = newRouter;
        if (reloadRequested) {
            reload();
        }
    }

    /** What can't be used is logged, and the router goes on as it was. */
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
