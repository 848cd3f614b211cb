package postbeam.config;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * What of the settings can't be meant: each such value is told by its key, before a router serves
 * by it. It guards against a deadline, a limit or a list that a slip of the operators' left absurd,
 * which would else show only in what the router does. It could hurt a deployment whose true figures
 * lie beyond the bounds here, so these are wide, and what is absent is left to the defaults, and so
 * is zero wherever one can serve by it. Members that aren't known are passed over: the settings may
 * grow.
 */
public final class SettingsValidator {
    /**
     * The longest time that can be meant: a day. No client, connection or rule of the protocol
     * spans more.
     */
    private static final Duration MAX_DURATION = Duration.ofDays(1);

    /**
     * The longest that a repeat may be known as one: data nodes may keep ids for longer than any
     * client waits.
     */
    private static final Duration MAX_REPEAT_WINDOW = Duration.ofDays(366);

    /**
     * Cells: more than a list within its limit of 256 KiB can tell nodes of, and few enough to keep
     * one by one.
     */
    private static final int MAX_CELLS = 1 << 16;

    /** Of a share: two that are meant to be equal may have been rounded apart. */
    private static final double ROUNDING = 1e-9;

    private SettingsValidator() {}

    /** An IllegalArgumentException names the first key that can't be used. */
    public static void validate(InstanceSettings info) {
        for (String path : new String[] {"domain", "caps", "obligations"}) {
            requireObject(info, path);
        }
        for (String path :
                new String[] {
                    "caps.maxStreams", "domain.reach", "domain.shards", "domain.partsACall"
                }) {
            info.integerAtLeast(path, 1);
        }
        requireAtLeastOneIfPresent(info, "nInstances", "caps.mostHeld");
        // None at all leaves a router that rejects everything, as it must.
        requireInRange(info, "caps.maxAttempts", 0, Double.MAX_VALUE);
        if (info.integerAtLeast("domain.cells", 1) > MAX_CELLS) {
            throw info.invalid(
                    "domain.cells",
                    "must be " + MAX_CELLS + " or less, not " + info.text("domain.cells"));
        }
        info.required("caps.connectTimeout");
        info.required("caps.keepalive");
        requirePositive(
                info,
                "caps.connectTimeout",
                "caps.keepalive",
                "obligations.fall",
                "obligations.extraWindow");
        // Zero says here: no advice, no cost of a call, warm at once, no send after it was told,
        // asked at will.
        requireNonNegative(
                info,
                MAX_DURATION,
                "caps.maxRetryAfter",
                "domain.callCost",
                "obligations.rampTime",
                "obligations.stopSendingWithin",
                "obligations.askEvery");
        requireFlags(
                info, "caps.mayDuplicate", "caps.cancelling", "caps.probes", "caps.retryAfter");
        requireInRange(info, "obligations.coldFrom", 0, 1);
        requireInRange(info, "obligations.budgetShare", 0, Double.MAX_VALUE);
        requireInRange(info, "obligations.spareAttempts", 0, Double.MAX_VALUE);
        Double multiple = info.number("obligations.fallMultiple");
        if (multiple != null && multiple <= 0) {
            throw info.invalid(
                    "obligations.fallMultiple",
                    "must be above 0, not " + info.text("obligations.fallMultiple"));
        }
        if (!info.isPresent("classes")) {
            throw info.invalid("classes", "must name one class at least");
        }
        requireUniqueNames(info, "classes");
        requireUniqueNames(info, "tenants");
        for (int i = 0; i < info.objectCount("classes"); i++) {
            validateQueryClass(info, i);
        }
        validateFractions(info);
    }

    private static void validateQueryClass(InstanceSettings info, int i) {
        String path = "classes." + i + ".";
        if (info.required(path + "name").contains("/")) {
            throw info.invalid(
                    path + "name",
                    "must hold no /: it is one part of a path, not " + info.text(path + "name"));
        }
        info.required(path + "promise");
        // A deadline may be absent: clients then tell theirs with each query.
        requirePositive(info, path + "promise", path + "deadline");
        // Told for all classes, used for deduplicated ones; without it, or at zero, no repeat is
        // ever dropped.
        requireNonNegative(info, MAX_REPEAT_WINDOW, path + "repeatWindow");
    }

    /** The lists that have an entry for each class. */
    private static void validateFractions(InstanceSettings info) {
        int classes = info.objectCount("classes");
        for (String path :
                new String[] {
                    "domain.classNeed", "domain.leastShare", "domain.shortWorth", "domain.followUp"
                }) {
            int entries = info.listSize(path);
            if (entries > 0 && entries != classes) {
                throw info.invalid(
                        path,
                        "must have an entry for each of the "
                                + classes
                                + " classes, not "
                                + entries);
            }
        }
        for (int i = 0; i < classes; i++) {
            Double need = validatedFraction(info, "domain.classNeed", i);
            Double least = validatedFraction(info, "domain.leastShare", i);
            if (least != null && least > (need == null ? 1 : need) + ROUNDING) {
                throw info.invalid(
                        "domain.leastShare",
                        "must not be above domain.classNeed, which it is at entry " + i);
            }
            info.listEntry("domain.shortWorth", i);
            info.listEntry("domain.followUp", i);
        }
    }

    private static Double validatedFraction(InstanceSettings info, String path, int i) {
        Double share = info.listEntry(path, i);
        if (share != null && (share <= 0 || share > 1)) {
            throw info.invalid(
                    path, "must hold shares above 0 and up to 1, not " + share + " at entry " + i);
        }
        return share;
    }

    /** Each has a name, and no two the same: a query could only mean one of them. */
    private static void requireUniqueNames(InstanceSettings info, String path) {
        if (info.isPresent(path) && info.text(path + ".count") == null) {
            throw info.invalid(path, "must be a list of objects");
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < info.objectCount(path); i++) {
            String name = info.required(path + "." + i + ".name");
            if (!names.add(name)) {
                throw info.invalid(path + "." + i + ".name", "stands there twice: " + name);
            }
        }
    }

    private static void requireAtLeastOneIfPresent(InstanceSettings info, String... paths) {
        for (String path : paths) {
            if (info.text(path) != null) {
                info.integerAtLeast(path, 1);
            }
        }
    }

    /** What is something else would pass for one that tells nothing. */
    static void requireObject(InstanceSettings info, String path) {
        if (info.text(path) != null || info.text(path + ".count") != null) {
            throw info.invalid(path, "must be an object");
        }
    }

    private static void requireFlags(InstanceSettings info, String... paths) {
        for (String path : paths) {
            info.flag(path);
        }
    }

    private static void requirePositive(InstanceSettings info, String... paths) {
        for (String path : paths) {
            Duration span = info.duration(path);
            if (span != null
                    && (span.isZero() || span.isNegative() || span.compareTo(MAX_DURATION) > 0)) {
                throw info.invalid(
                        path,
                        "must be above 0 and up to a day in microseconds, not " + info.text(path));
            }
        }
    }

    private static void requireNonNegative(InstanceSettings info, Duration most, String... paths) {
        for (String path : paths) {
            Duration span = info.duration(path);
            if (span != null && (span.isNegative() || span.compareTo(most) > 0)) {
                throw info.invalid(
                        path,
                        "must be 0 or more and up to "
                                + (most == MAX_DURATION ? "a day" : "a year")
                                + " in microseconds, not "
                                + info.text(path));
            }
        }
    }

    private static void requireInRange(
            InstanceSettings info, String path, double least, double most) {
        Double value = info.number(path);
        if (value != null && (value < least || value > most)) {
            throw info.invalid(
                    path,
                    "must be "
                            + (most == Double.MAX_VALUE ? "0 or more" : "from 0 to 1")
                            + ", not "
                            + info.text(path));
        }
    }
}
