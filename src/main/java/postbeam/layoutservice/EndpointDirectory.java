package postbeam.layoutservice;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointUpdate;
import postbeam.model.Readiness;
import postbeam.slices.TargetLayout;

/**
 * The data nodes that discovery has listed, and their addresses. A node that has left the list is
 * kept with readiness {@link Readiness#REMOVED} and without an address. Not thread-safe: {@link
 * LayoutController} guards it with its lock.
 */
final class EndpointDirectory {
    private final Map<String, Endpoint> endpoints = new TreeMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();

    /**
     * Applies an update of the endpoint list.
     *
     * @return the names of known nodes that have restarted since the last update
     */
    List<String> apply(EndpointUpdate update) {
        List<String> restarted = new ArrayList<>();
        for (Endpoint endpoint : update.endpoints()) {
            Endpoint previous = endpoints.put(endpoint.name(), endpoint);
            if (previous != null && previous.startedMicros() != endpoint.startedMicros()) {
                restarted.add(endpoint.name());
            }
        }
        addresses.putAll(update.addresses());
        update.endpoints().forEach(this::forgetAddressIfRemoved);
        if (update.complete()) {
            markMissingAsRemoved(update);
        }
        return restarted;
    }

    private void forgetAddressIfRemoved(Endpoint endpoint) {
        if (readiness(endpoint.name()) == Readiness.REMOVED) {
            addresses.remove(endpoint.name());
        }
    }

    private void markMissingAsRemoved(EndpointUpdate update) {
        Set<String> listed = new HashSet<>();
        update.endpoints().forEach(endpoint -> listed.add(endpoint.name()));
        endpoints.replaceAll(
                (name, endpoint) -> listed.contains(name) ? endpoint : removed(endpoint));
        addresses.keySet().retainAll(listed);
    }

    private static Endpoint removed(Endpoint endpoint) {
        return new Endpoint(
                endpoint.name(),
                endpoint.zone(),
                endpoint.cell(),
                endpoint.startedMicros(),
                Readiness.REMOVED);
    }

    /** The readiness of a node; {@link Readiness#REMOVED} for one that was never listed. */
    Readiness readiness(String node) {
        Endpoint endpoint = endpoints.get(node);
        return endpoint == null ? Readiness.REMOVED : endpoint.readiness();
    }

    /** Zone and readiness of each node that was ever listed, by node name. */
    Map<String, TargetLayout.NodeInfo> nodeInfos() {
        Map<String, TargetLayout.NodeInfo> infos = new TreeMap<>();
        endpoints.forEach(
                (name, endpoint) ->
                        infos.put(
                                name,
                                new TargetLayout.NodeInfo(
                                        String.valueOf(endpoint.zone()), endpoint.readiness())));
        return infos;
    }

    /** HOST:PORT of each node that is not removed, by node name. A live view. */
    Map<String, String> addresses() {
        return addresses;
    }
}
