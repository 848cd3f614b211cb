package postbeam.endpoints;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongFunction;
import postbeam.model.DataNode;
import postbeam.model.Readiness;
import postbeam.model.Zone;
import postbeam.policy.RoutingPolicy;

/**
 * The data nodes that one router was told of, by name: turns what a list says into facts for its
 * Decide.
 */
public final class EndpointRegistry {
    /**
     * Nodes that are gone and still known: one that comes back soon finds what it was sent while
     * cold.
     */
    private static final int MAX_REMOVED_KEPT = 64;

    private final String localZone;
    private final Map<String, DataNode> nodes = new LinkedHashMap<>();
    private final Map<String, Zone> zonesByName = new LinkedHashMap<>();
    private final Map<DataNode, String> namesByNode = new IdentityHashMap<>();

    /** The longest gone first. */
    private final Set<DataNode> removed = new LinkedHashSet<>();

    public EndpointRegistry(String ourZone) {
        this.localZone = ourZone;
    }

    public DataNode node(String name) {
        return nodes.get(name);
    }

    public Collection<DataNode> nodes() {
        return nodes.values();
    }

    public String nameOf(DataNode node) {
        return namesByNode.get(node);
    }

    /** Takes over a whole list, from which what is missing is gone, or changes of one. */
    public void update(
            Duration now,
            List<Endpoint> entries,
            boolean whole,
            LongFunction<Duration> since,
            RoutingPolicy policy) {
        Set<String> seen = new HashSet<>();
        for (Endpoint endpoint : entries) {
            seen.add(endpoint.name());
            DataNode node = nodes.get(endpoint.name());
            if (node == null) {
                if (endpoint.readiness() == Readiness.REMOVED) {
                    continue;
                }
                node =
                        new DataNode(
                                endpoint.cell(),
                                zonesByName.computeIfAbsent(
                                        String.valueOf(endpoint.zone()),
                                        name -> new Zone(name.equals(localZone))));
                nodes.put(endpoint.name(), node);
                namesByNode.put(node, endpoint.name());
            }
            update(
                    now,
                    node,
                    endpoint.readiness(),
                    endpoint.startedMicros() == 0 ? null : since.apply(endpoint.startedMicros()),
                    policy);
        }
        if (whole) {
            for (Map.Entry<String, DataNode> known : new ArrayList<>(nodes.entrySet())) {
                if (!seen.contains(known.getKey())) {
                    DataNode node = known.getValue();
                    update(now, node, Readiness.REMOVED, node.startedAt(), policy);
                }
            }
        }
        while (removed.size() > MAX_REMOVED_KEPT) {
            DataNode longest = removed.iterator().next();
            removed.remove(longest);
            nodes.remove(namesByNode.remove(longest));
        }
    }

    private void update(
            Duration now,
            DataNode node,
            Readiness readiness,
            Duration startedAt,
            RoutingPolicy policy) {
        policy.onNodeUpdate(now, node, readiness, startedAt);
        if (readiness == Readiness.REMOVED) {
            removed.add(node);
        } else {
            removed.remove(node);
        }
    }
}
