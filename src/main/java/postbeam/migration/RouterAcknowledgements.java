package postbeam.migration;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which layout each router has acknowledged, and until when it may still use an older one. A
 * router's lease runs from its request, by its own clock; here it is counted from the response,
 * which is later. Times are spans since 1970.
 */
public final class RouterAcknowledgements {
    /** Routers that are kept; one that finds no room counts as unknown. */
    private static final int MAX_ROUTERS = 4096;

    /** The version of a router that holds no layout: it holds no old one either. */
    private static final long NO_LAYOUT = Long.MAX_VALUE;

    private static final class RouterStatus {
        private long version;
        private Duration respondedAt;

        RouterStatus(Duration respondedAt) {
            this.respondedAt = respondedAt;
        }
    }

    private final Duration leaseWithDrift;
    private final Map<String, RouterStatus> routers = new LinkedHashMap<>();

    /** Until then there may be routers with a lease that are not known here. */
    private Duration unknownRoutersUntil;

    /**
     * Before the start other processes may have answered routers.
     *
     * @param routerLease how long a router may use a layout after it asked for it
     * @param clockDrift by which two clocks may differ over a lease
     */
    public RouterAcknowledgements(Duration routerLease, Duration clockDrift, Duration createdAt) {
        this.leaseWithDrift = routerLease.plus(clockDrift);
        this.unknownRoutersUntil = createdAt.plus(leaseWithDrift);
    }

    /** A router asks for a layout and holds this version; 0 where it holds none. */
    public void onRequest(String router, long version, Duration now) {
        RouterStatus status = routers.get(router);
        if (status == null) {
            routers.values().removeIf(other -> isLeaseExpired(other, now));
            if (routers.size() >= MAX_ROUTERS) {
                return;
            }
            status = new RouterStatus(now);
            routers.put(router, status);
        }
        status.version = version == 0 ? NO_LAYOUT : version;
    }

    /**
     * A router is answered with this version; it holds that or, where the response is lost, what it
     * held.
     */
    public void onResponse(String router, long version, Duration now) {
        RouterStatus status = routers.get(router);
        if (status == null) {
            Duration until = now.plus(leaseWithDrift);
            unknownRoutersUntil =
                    unknownRoutersUntil.compareTo(until) < 0 ? until : unknownRoutersUntil;
        } else {
            status.respondedAt = now;
            status.version = Math.min(status.version, version);
        }
    }

    /** Whether each router holds this version or a later one, or its lease has expired. */
    public boolean allAcknowledged(long version, Duration now) {
        return now.compareTo(unknownRoutersUntil) > 0
                && routers.values().stream().noneMatch(status -> mayUseOlder(status, version, now));
    }

    /** Names of the routers that may still use an older version. */
    public List<String> routersBehind(long version, Duration now) {
        return routers.entrySet().stream()
                .filter(entry -> mayUseOlder(entry.getValue(), version, now))
                .map(Map.Entry::getKey)
                .toList();
    }

    private boolean mayUseOlder(RouterStatus status, long version, Duration now) {
        return status.version < version && !isLeaseExpired(status, now);
    }

    private boolean isLeaseExpired(RouterStatus status, Duration now) {
        return now.minus(status.respondedAt).compareTo(leaseWithDrift) > 0;
    }
}
