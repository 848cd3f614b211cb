package postbeam.config;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * Rejects implausible settings before a router uses them. Without it, a timeout, a limit or a list
 * that is wrong by a typing error would show only in how the router behaves. The bounds are wide.
 * Absent members have defaults, zero is accepted wherever a router can serve with it, and unknown
 * members are ignored, so that later versions can add settings.
 */
public final class SettingsValidator {
    /** Upper bound for timeouts and intervals of clients, connections and the protocol. */
    private static final Duration MAX_DURATION = Duration.ofDays(1);

    /** Data nodes may keep request ids for deduplication longer than any client waits. */
    private static final Duration MAX_REPEAT_WINDOW = Duration.ofDays(366);

    /**
     * Upper bound for the number of cells: more than there can be nodes in an endpoint list of 256
     * KiB, and few enough to allocate state for each.
     */
    private static final int MAX_CELLS = 1 << 16;

    /** Tolerance for two fractions that are meant to be equal and differ by rounding. */
    private static final double ROUNDING = 1e-9;

    private static final double UNBOUNDED = Double.MAX_VALUE;

    private SettingsValidator() {}

    /**
     * Validates all settings.
     *
     * @throws InvalidSettingException with the path of the first invalid setting
     */
    public static void validate(InstanceSettings settings) {
        for (String path : new String[] {"domain", "caps", "obligations"}) {
            requireObject(settings, path);
        }
        validateCounts(settings);
        validateDurations(settings);
        requireFlags(
                settings, "caps.mayDuplicate", "caps.cancelling", "caps.probes", "caps.retryAfter");
        requireInRange(settings, "obligations.coldFrom", 0, 1);
        requireInRange(settings, "obligations.budgetShare", 0, UNBOUNDED);
        requireInRange(settings, "obligations.spareAttempts", 0, UNBOUNDED);
        Double fallMultiple = settings.number("obligations.fallMultiple");
        if (fallMultiple != null && fallMultiple <= 0) {
            throw settings.invalid(
                    "obligations.fallMultiple",
                    "must be above 0, not " + settings.text("obligations.fallMultiple"));
        }
        validateQueryClasses(settings);
    }

    private static void validateCounts(InstanceSettings settings) {
        for (String path :
                new String[] {
                    "caps.maxStreams", "domain.reach", "domain.shards", "domain.partsACall"
                }) {
            settings.integerAtLeast(path, 1);
        }
        requireAtLeastOneIfPresent(settings, "nInstances", "caps.mostHeld");
        // Zero attempts is valid: the router then rejects every query.
        requireInRange(settings, "caps.maxAttempts", 0, UNBOUNDED);
        if (settings.integerAtLeast("domain.cells", 1) > MAX_CELLS) {
            throw settings.invalid(
                    "domain.cells",
                    "must be " + MAX_CELLS + " or less, not " + settings.text("domain.cells"));
        }
    }

    private static void validateDurations(InstanceSettings settings) {
        settings.required("caps.connectTimeout");
        settings.required("caps.keepalive");
        requirePositive(
                settings,
                "caps.connectTimeout",
                "caps.keepalive",
                "obligations.fall",
                "obligations.extraWindow");
        // Zero is valid and means, in this order: no Retry-After, a call costs nothing, no slow
        // start, no attempt to a draining node, no limit on how often discovery is polled.
        requireNonNegative(
                settings,
                MAX_DURATION,
                "caps.maxRetryAfter",
                "domain.callCost",
                "obligations.rampTime",
                "obligations.stopSendingWithin",
                "obligations.askEvery");
    }

    private static void validateQueryClasses(InstanceSettings settings) {
        if (!settings.isPresent("classes")) {
            throw settings.invalid("classes", "must have at least one class");
        }
        requireUniqueNames(settings, "classes");
        requireUniqueNames(settings, "tenants");
        for (int i = 0; i < settings.objectCount("classes"); i++) {
            validateQueryClass(settings, "classes." + i + ".");
        }
        validateFractions(settings);
    }

    private static void validateQueryClass(InstanceSettings settings, String prefix) {
        String name = settings.required(prefix + "name");
        if (name.contains("/")) {
            throw settings.invalid(
                    prefix + "name",
                    "must not contain /, as it is one segment of the request path, not " + name);
        }
        settings.required(prefix + "promise");
        // The deadline may be absent: clients then send theirs with each query.
        requirePositive(settings, prefix + "promise", prefix + "deadline");
        // Any class may set the window, but only deduplicated classes use it. If it is absent or
        // zero, data nodes do not drop repeated requests.
        requireNonNegative(settings, MAX_REPEAT_WINDOW, prefix + "repeatWindow");
    }

    /** Validates the lists that have one entry for each query class. */
    private static void validateFractions(InstanceSettings settings) {
        int classes = settings.objectCount("classes");
        for (String path :
                new String[] {
                    "domain.classNeed", "domain.leastShare", "domain.shortWorth", "domain.followUp"
                }) {
            int entries = settings.listSize(path);
            if (entries > 0 && entries != classes) {
                throw settings.invalid(
                        path,
                        "must have an entry for each of the "
                                + classes
                                + " classes, not "
                                + entries);
            }
        }
        for (int i = 0; i < classes; i++) {
            Double complete = fraction(settings, "domain.classNeed", i);
            Double minimum = fraction(settings, "domain.leastShare", i);
            if (minimum != null && minimum > (complete == null ? 1 : complete) + ROUNDING) {
                throw settings.invalid(
                        "domain.leastShare",
                        "must not be above domain.classNeed, but is "
                                + minimum
                                + " at entry "
                                + i
                                + " (counted from 0), where domain.classNeed is "
                                + complete);
            }
            settings.listEntry("domain.shortWorth", i);
            settings.listEntry("domain.followUp", i);
        }
    }

    private static Double fraction(InstanceSettings settings, String path, int index) {
        Double fraction = settings.listEntry(path, index);
        if (fraction != null && (fraction <= 0 || fraction > 1)) {
            throw settings.invalid(
                    path,
                    "must contain fractions above 0 and up to 1, not "
                            + fraction
                            + " at entry "
                            + index
                            + " (counted from 0)");
        }
        return fraction;
    }

    /** Requires a unique name for each object of a list, as queries refer to it by name. */
    private static void requireUniqueNames(InstanceSettings settings, String path) {
        if (settings.isPresent(path) && settings.text(path + ".count") == null) {
            throw settings.invalid(path, "must be a list of objects");
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < settings.objectCount(path); i++) {
            String namePath = path + "." + i + ".name";
            String name = settings.required(namePath);
            if (!names.add(name)) {
                throw settings.invalid(
                        namePath,
                        "must be unique, but an earlier entry has the same name: " + name);
            }
        }
    }

    private static void requireAtLeastOneIfPresent(InstanceSettings settings, String... paths) {
        for (String path : paths) {
            if (settings.text(path) != null) {
                settings.integerAtLeast(path, 1);
            }
        }
    }

    /**
     * Rejects a list or plain value, which would otherwise be read as an object without members.
     */
    static void requireObject(InstanceSettings settings, String path) {
        if (settings.text(path) != null || settings.text(path + ".count") != null) {
            throw settings.invalid(path, "must be an object");
        }
    }

    private static void requireFlags(InstanceSettings settings, String... paths) {
        for (String path : paths) {
            settings.flag(path);
        }
    }

    private static void requirePositive(InstanceSettings settings, String... paths) {
        for (String path : paths) {
            Duration duration = settings.duration(path);
            if (duration != null
                    && (duration.isZero()
                            || duration.isNegative()
                            || duration.compareTo(MAX_DURATION) > 0)) {
                throw settings.invalid(
                        path,
                        "must be above 0 and up to a day in microseconds, not "
                                + settings.text(path));
            }
        }
    }

    private static void requireNonNegative(
            InstanceSettings settings, Duration max, String... paths) {
        for (String path : paths) {
            Duration duration = settings.duration(path);
            if (duration != null && (duration.isNegative() || duration.compareTo(max) > 0)) {
                throw settings.invalid(
                        path,
                        "must be 0 or more and up to "
                                + (max.equals(MAX_DURATION) ? "a day" : "a year")
                                + " in microseconds, not "
                                + settings.text(path));
            }
        }
    }

    private static void requireInRange(
            InstanceSettings settings, String path, double min, double max) {
        Double value = settings.number(path);
        if (value != null && (value < min || value > max)) {
            throw settings.invalid(
                    path,
                    "must be "
                            + (max == UNBOUNDED ? "0 or more" : "from 0 to 1")
                            + ", not "
                            + settings.text(path));
        }
    }
}
