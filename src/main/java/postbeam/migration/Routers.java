package postbeam.migration;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which layout each router has told that it holds, and how long it may still go by an older one. A
 * router's lease runs from when it asked, by its own clock; here it is counted from when it was
 * answered, which is later.
 */
public final class Routers {
    /**
     * Names that are kept; one that finds no room is counted as a router of which nothing is known.
     */
    private static final int MOST = 4096;

    private static final class Told {
        long version;
        Duration answeredAt;
    }

    private final Duration counted;
    private final Map<String, Told> routers = new LinkedHashMap<>();

    /** Until then there may be routers that are not known here. */
    private Duration unknownUntil;

    /** Before the start others may have been answered, of whom nothing is known. */
    public Routers(Duration lease, Duration drift, Duration startedAt) {
        this.counted = lease.plus(drift);
        this.unknownUntil = startedAt.plus(counted);
    }

    /** A router asks and holds this version; 0 where it holds none. */
    public void asked(String name, long version, Duration now) {
        Told told = routers.get(name);
        if (told == null) {
            routers.values().removeIf(one -> past(one, now));
            if (routers.size() >= MOST) {
                return;
            }
            told = new Told();
            told.answeredAt = now;
            routers.put(name, told);
        }
        // One that came back with nothing holds nothing old either.
        told.version = version == 0 ? Long.MAX_VALUE : version;
    }

    /**
     * It is answered with this version, and holds that or, where the answer is lost, what it held.
     */
    public void answered(String name, long version, Duration now) {
        Told told = routers.get(name);
        if (told == null) {
            Duration until = now.plus(counted);
            unknownUntil = unknownUntil.compareTo(until) < 0 ? until : unknownUntil;
        } else {
            told.answeredAt = now;
            told.version = Math.min(told.version, version);
        }
    }

    /** Each router holds this version or a later one, or its lease is past. */
    public boolean all(long version, Duration now) {
        return now.compareTo(unknownUntil) > 0
                && routers.values().stream()
                        .allMatch(told -> told.version >= version || past(told, now));
    }

    private boolean past(Told told, Duration now) {
        return now.minus(told.answeredAt).compareTo(counted) > 0;
    }

    /** Names of those that may still go by an older version, for operators. */
    public java.util.List<String> behind(long version, Duration now) {
        return routers.entrySet().stream()
                .filter(entry -> entry.getValue().version < version && !past(entry.getValue(), now))
                .map(Map.Entry::getKey)
                .toList();
    }
}
