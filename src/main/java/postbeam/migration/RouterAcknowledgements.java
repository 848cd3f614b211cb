package postbeam.migration;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which layout each router has told that it holds, and how long it may still go by an older one. A
 * router's lease runs from when it asked, by its own clock; here it is counted from when it was
 * answered, which is later.
 */
public final class RouterAcknowledgements {
    /**
     * Names that are kept; one that finds no room is counted as a router of which nothing is known.
     */
    private static final int MAX_ROUTERS = 4096;

    private static final class RouterStatus {
        long version;
        Duration respondedAt;
    }

    private final Duration leaseWithDrift;
    private final Map<String, RouterStatus> routers = new LinkedHashMap<>();

    /** Until then there may be routers that are not known here. */
    private Duration unknownRoutersUntil;

    /** Before the start others may have been answered, of whom nothing is known. */
    public RouterAcknowledgements(Duration lease, Duration drift, Duration startedAt) {
        this.leaseWithDrift = lease.plus(drift);
        this.unknownRoutersUntil = startedAt.plus(leaseWithDrift);
    }

    /** A router asks and holds this version; 0 where it holds none. */
    public void onRequest(String name, long version, Duration now) {
        RouterStatus told = routers.get(name);
        if (told == null) {
            routers.values().removeIf(one -> isLeaseExpired(one, now));
            if (routers.size() >= MAX_ROUTERS) {
                return;
            }
            told = new RouterStatus();
            told.respondedAt = now;
            routers.put(name, told);
        }
        // One that came back with nothing holds nothing old either.
        told.version = version == 0 ? Long.MAX_VALUE : version;
    }

    /**
     * It is answered with this version, and holds that or, where the answer is lost, what it held.
     */
    public void onResponse(String name, long version, Duration now) {
        RouterStatus told = routers.get(name);
        if (told == null) {
            Duration until = now.plus(leaseWithDrift);
            unknownRoutersUntil =
                    unknownRoutersUntil.compareTo(until) < 0 ? until : unknownRoutersUntil;
        } else {
            told.respondedAt = now;
            told.version = Math.min(told.version, version);
        }
    }

    /** Each router holds this version or a later one, or its lease is past. */
    public boolean allAcknowledged(long version, Duration now) {
        return now.compareTo(unknownRoutersUntil) > 0
                && routers.values().stream()
                        .allMatch(told -> told.version >= version || isLeaseExpired(told, now));
    }

    private boolean isLeaseExpired(RouterStatus told, Duration now) {
        return now.minus(told.respondedAt).compareTo(leaseWithDrift) > 0;
    }

    /** Names of those that may still go by an older version, for operators. */
    public java.util.List<String> routersBehind(long version, Duration now) {
        return routers.entrySet().stream()
                .filter(
                        entry ->
                                entry.getValue().version < version
                                        && !isLeaseExpired(entry.getValue(), now))
                .map(Map.Entry::getKey)
                .toList();
    }
}
