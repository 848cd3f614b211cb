package postbeam.layoutservice;

import java.nio.file.Path;
import java.time.Duration;
import postbeam.config.InstanceSettings;
import postbeam.migration.MigrationLimits;
import postbeam.slices.MoveLimits;

/** Reads the layout service's configuration from the section "layouts" of the settings. */
final class LayoutServiceSettings {
    private static final String SERVE = "layouts.serve.";
    private static final String LIMITS = SERVE + "limits.";
    private static final String MIGRATION = "layouts.migration.";

    private LayoutServiceSettings() {}

    /**
     * Reads the configuration.
     *
     * @throws IllegalArgumentException a setting is missing or out of range; the message names it
     */
    static LayoutService.Config read(InstanceSettings settings) {
        return new LayoutService.Config(
                settings.required(SERVE + "listen"),
                Path.of(settings.required(SERVE + "log")),
                settings.required(SERVE + "discovery"),
                settings.integerAtLeast(SERVE + "history", 1),
                moveLimits(settings),
                settings.integerAtLeast(SERVE + "firstSlices", 1),
                settings.integerAtLeast(SERVE + "firstHolders", 1),
                migrationLimits(settings));
    }

    private static MoveLimits moveLimits(InstanceSettings settings) {
        return new MoveLimits(
                settings.integerAtLeast(LIMITS + "moves", 1),
                settings.integerAtLeast(LIMITS + "movesANode", 1),
                settings.integerAtLeast(LIMITS + "movesAZone", 1),
                millis(settings, LIMITS + "copyMs"),
                millis(settings, LIMITS + "stepMs"),
                millis(settings, LIMITS + "restMs"),
                millis(settings, LIMITS + "againMs"),
                settings.integerAtLeast(LIMITS + "holders", 1),
                settings.integerAtLeast(LIMITS + "zones", 1));
    }

    /** Reads the limits of migrations; null if migrations are switched off. */
    private static MigrationLimits migrationLimits(InstanceSettings settings) {
        if (!Boolean.TRUE.equals(settings.flag(MIGRATION + "enabled"))) {
            return null;
        }
        return new MigrationLimits(
                settings.integerAtLeast(MIGRATION + "atOnce", 1),
                settings.integerAtLeast(MIGRATION + "batch", 1),
                settings.integerAtLeast(MIGRATION + "movesASecond", 1),
                settings.integerAtLeast(MIGRATION + "bytesASecond", 1),
                millis(settings, MIGRATION + "starvedMs"),
                millis(settings, MIGRATION + "coldMs"),
                millis(settings, MIGRATION + "watchMs"),
                settings.number(MIGRATION + "leastUtility"),
                millis(settings, MIGRATION + "againMs"),
                settings.integerAtLeast(MIGRATION + "patience", 1),
                settings.number(MIGRATION + "finestKeys").longValue(),
                millis(settings, MIGRATION + "leaseMs"),
                millis(settings, MIGRATION + "driftMs"));
    }

    private static Duration millis(InstanceSettings settings, String path) {
        return Duration.ofMillis(settings.integerAtLeast(path, 0));
    }
}
