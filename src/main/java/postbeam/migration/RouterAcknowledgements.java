package postbeam.migration;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which layout version each router has acknowledged, and until when it may still use an
 * older one. A router counts its lease from its request, by its own clock. This class counts the
 * lease from the response, which is later, so it never assumes that a lease is over too early.
 * Times are durations since the Unix epoch.
 */
public final class RouterAcknowledgements {
    /** Maximum number of routers that are tracked; further routers count as unknown. */
    private static final int MAX_ROUTERS = 4096;

    /** Version of a router that holds no layout, and therefore no outdated one. */
    private static final long NO_LAYOUT = Long.MAX_VALUE;

    private static final class RouterStatus {
        private long version;

        /** Time of the last response, or of the first request while no response was sent. */
        private Duration respondedAt;

        RouterStatus(Duration respondedAt) {
            this.respondedAt = respondedAt;
        }
    }

    private final Duration leaseWithDrift;
    private final Map<String, RouterStatus> routers = new LinkedHashMap<>();

    /** Until this time, routers that are not tracked may hold a lease. */
    private Duration unknownRoutersUntil;

    /**
     * Starts without known routers. Other processes may have granted leases before, so that all
     * routers count as unknown until a lease from {@code createdAt} has expired.
     *
     * @param routerLease how long a router may use a layout after it requested it
     * @param clockDrift the most by which two clocks may differ over the time of a lease
     */
    public RouterAcknowledgements(Duration routerLease, Duration clockDrift, Duration createdAt) {
        this.leaseWithDrift = routerLease.plus(clockDrift);
        this.unknownRoutersUntil = createdAt.plus(leaseWithDrift);
    }

    /**
     * Handles a router's request for a layout. The router has the given version; 0 if it has no
     * layout.
     */
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
     * Handles a response with this version to a router. The router then has this version or, if the
     * response is lost, its previous one; the older of both is assumed.
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

    /** Names of the tracked routers that may still use a version older than this one. */
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
