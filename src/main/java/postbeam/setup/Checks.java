package postbeam.setup;

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
public final class Checks {
    /**
     * The longest time that can be meant: a day. No client, connection or rule of the protocol
     * spans more.
     */
    private static final Duration LONGEST = Duration.ofDays(1);

    /**
     * The longest that a repeat may be known as one: data nodes may keep ids for longer than any
     * client waits.
     */
    private static final Duration LONGEST_KEPT = Duration.ofDays(366);

    /**
     * Cells: more than a list within its limit of 256 KiB can tell nodes of, and few enough to keep
     * one by one.
     */
    private static final int MOST_CELLS = 1 << 16;

    /** Of a share: two that are meant to be equal may have been rounded apart. */
    private static final double ROUNDING = 1e-9;

    private Checks() {}

    /** An IllegalArgumentException names the first key that can't be used. */
    public static void settings(Info info) {
        for (String path : new String[] {"domain", "caps", "obligations"}) {
            object(info, path);
        }
        for (String path :
                new String[] {
                    "caps.maxStreams", "domain.reach", "domain.shards", "domain.partsACall"
                }) {
            info.atLeast(path, 1);
        }
        atLeastOneIfTold(info, "nInstances", "caps.mostHeld");
        // None at all leaves a router that rejects everything, as it must.
        between(info, "caps.maxAttempts", 0, Double.MAX_VALUE);
        if (info.atLeast("domain.cells", 1) > MOST_CELLS) {
            throw info.bad(
                    "domain.cells",
                    "must be " + MOST_CELLS + " or less, not " + info.text("domain.cells"));
        }
        info.needed("caps.connectTimeout");
        info.needed("caps.keepalive");
        above(
                info,
                "caps.connectTimeout",
                "caps.keepalive",
                "obligations.fall",
                "obligations.extraWindow");
        // Zero says here: no advice, no cost of a call, warm at once, no send after it was told,
        // asked at will.
        notBelow(
                info,
                LONGEST,
                "caps.maxRetryAfter",
                "domain.callCost",
                "obligations.rampTime",
                "obligations.stopSendingWithin",
                "obligations.askEvery");
        flags(info, "caps.mayDuplicate", "caps.cancelling", "caps.probes", "caps.retryAfter");
        between(info, "obligations.coldFrom", 0, 1);
        between(info, "obligations.budgetShare", 0, Double.MAX_VALUE);
        between(info, "obligations.spareAttempts", 0, Double.MAX_VALUE);
        Double multiple = info.number("obligations.fallMultiple");
        if (multiple != null && multiple <= 0) {
            throw info.bad(
                    "obligations.fallMultiple",
                    "must be above 0, not " + info.text("obligations.fallMultiple"));
        }
        if (!info.told("classes")) {
            throw info.bad("classes", "must name one class at least");
        }
        named(info, "classes");
        named(info, "tenants");
        for (int i = 0; i < info.count("classes"); i++) {
            vertical(info, i);
        }
        shares(info);
    }

    private static void vertical(Info info, int i) {
        String path = "classes." + i + ".";
        if (info.needed(path + "name").contains("/")) {
            throw info.bad(
                    path + "name",
                    "must hold no /: it is one part of a path, not " + info.text(path + "name"));
        }
        info.needed(path + "promise");
        // A deadline may be absent: clients then tell theirs with each query.
        above(info, path + "promise", path + "deadline");
        // Told for all classes, used for deduplicated ones; without it, or at zero, no repeat is
        // ever dropped.
        notBelow(info, LONGEST_KEPT, path + "repeatWindow");
    }

    /** The lists that have an entry for each class. */
    private static void shares(Info info) {
        int classes = info.count("classes");
        for (String path :
                new String[] {
                    "domain.classNeed", "domain.leastShare", "domain.shortWorth", "domain.followUp"
                }) {
            int entries = info.entries(path);
            if (entries > 0 && entries != classes) {
                throw info.bad(
                        path,
                        "must have an entry for each of the "
                                + classes
                                + " classes, not "
                                + entries);
            }
        }
        for (int i = 0; i < classes; i++) {
            Double need = share(info, "domain.classNeed", i);
            Double least = share(info, "domain.leastShare", i);
            if (least != null && least > (need == null ? 1 : need) + ROUNDING) {
                throw info.bad(
                        "domain.leastShare",
                        "must not be above domain.classNeed, which it is at entry " + i);
            }
            info.listed("domain.shortWorth", i);
            info.listed("domain.followUp", i);
        }
    }

    private static Double share(Info info, String path, int i) {
        Double share = info.listed(path, i);
        if (share != null && (share <= 0 || share > 1)) {
            throw info.bad(
                    path, "must hold shares above 0 and up to 1, not " + share + " at entry " + i);
        }
        return share;
    }

    /** Each has a name, and no two the same: a query could only mean one of them. */
    private static void named(Info info, String path) {
        if (info.told(path) && info.text(path + ".count") == null) {
            throw info.bad(path, "must be a list of objects");
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < info.count(path); i++) {
            String name = info.needed(path + "." + i + ".name");
            if (!names.add(name)) {
                throw info.bad(path + "." + i + ".name", "stands there twice: " + name);
            }
        }
    }

    private static void atLeastOneIfTold(Info info, String... paths) {
        for (String path : paths) {
            if (info.text(path) != null) {
                info.atLeast(path, 1);
            }
        }
    }

    /** What is something else would pass for one that tells nothing. */
    static void object(Info info, String path) {
        if (info.text(path) != null || info.text(path + ".count") != null) {
            throw info.bad(path, "must be an object");
        }
    }

    private static void flags(Info info, String... paths) {
        for (String path : paths) {
            info.flag(path);
        }
    }

    private static void above(Info info, String... paths) {
        for (String path : paths) {
            Duration span = info.span(path);
            if (span != null
                    && (span.isZero() || span.isNegative() || span.compareTo(LONGEST) > 0)) {
                throw info.bad(
                        path,
                        "must be above 0 and up to a day in microseconds, not " + info.text(path));
            }
        }
    }

    private static void notBelow(Info info, Duration most, String... paths) {
        for (String path : paths) {
            Duration span = info.span(path);
            if (span != null && (span.isNegative() || span.compareTo(most) > 0)) {
                throw info.bad(
                        path,
                        "must be 0 or more and up to "
                                + (most == LONGEST ? "a day" : "a year")
                                + " in microseconds, not "
                                + info.text(path));
            }
        }
    }

    private static void between(Info info, String path, double least, double most) {
        Double value = info.number(path);
        if (value != null && (value < least || value > most)) {
            throw info.bad(
                    path,
                    "must be "
                            + (most == Double.MAX_VALUE ? "0 or more" : "from 0 to 1")
                            + ", not "
                            + info.text(path));
        }
    }
}
