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
 * The data nodes that a router knows, by name. Applies endpoint updates and reports each node's
 * state to the routing policy. Not thread-safe: the owner guards it with the same lock as the
 * policy.
 */
public final class EndpointRegistry {
    /**
     * Maximum number of removed nodes that are kept. A node that is listed again soon keeps the
     * record of what it was sent during its slow start.
     */
    private static final int MAX_REMOVED_NODES = 64;

    private final String localZone;
    private final Map<String, DataNode> nodes = new LinkedHashMap<>();
    private final Map<String, Zone> zonesByName = new LinkedHashMap<>();
    private final IdentityHashMap<DataNode, String> namesByNode = new IdentityHashMap<>();

    /** Removed nodes that are kept, the longest removed first. */
    private final Set<DataNode> removedNodes = new LinkedHashSet<>();

    /**
     * Creates an empty registry.
     *
     * @param localZone name of the router's own zone
     */
    public EndpointRegistry(String localZone) {
        this.localZone = localZone;
    }

    /** Returns the node with this name, which may be removed; null if it is unknown. */
    public DataNode node(String name) {
        return nodes.get(name);
    }

    /** Returns all nodes, including the last removed ones. */
    public Collection<DataNode> nodes() {
        return nodes.values();
    }

    /** Returns the node's name; null if the node is no longer known. */
    public String nameOf(DataNode node) {
        return namesByNode.get(node);
    }

    /**
     * Applies a complete endpoint list or changes of one.
     *
     * @param now the policy's time
     * @param complete whether nodes that are missing from the list are removed
     * @param startTime converts microseconds on discovery's clock to the policy's time
     * @param policy receives the state of each node
     * @return the nodes that are no longer known, removed ones of which too many were kept
     */
    public List<DataNode> update(
            Duration now,
            List<Endpoint> endpoints,
            boolean complete,
            LongFunction<Duration> startTime,
            RoutingPolicy policy) {
        Set<String> listed = new HashSet<>();
        for (Endpoint endpoint : endpoints) {
            listed.add(endpoint.name());
            update(now, endpoint, startTime, policy);
        }
        if (complete) {
            for (Map.Entry<String, DataNode> entry : List.copyOf(nodes.entrySet())) {
                if (!listed.contains(entry.getKey())) {
                    DataNode node = entry.getValue();
                    setReadiness(now, node, Readiness.REMOVED, node.startedAt(), policy);
                }
            }
        }
        return evictLongestRemoved();
    }

    private void update(
            Duration now,
            Endpoint endpoint,
            LongFunction<Duration> startTime,
            RoutingPolicy policy) {
        DataNode node = nodes.get(endpoint.name());
        if (node == null) {
            if (endpoint.readiness() == Readiness.REMOVED) {
                return;
            }
            node = add(endpoint);
        }
        Duration startedAt =
                endpoint.startedMicros() == 0 ? null : startTime.apply(endpoint.startedMicros());
        setReadiness(now, node, endpoint.readiness(), startedAt, policy);
    }

    private DataNode add(Endpoint endpoint) {
        Zone zone =
                zonesByName.computeIfAbsent(
                        String.valueOf(endpoint.zone()), name -> new Zone(name.equals(localZone)));
        DataNode node = new DataNode(endpoint.cell(), zone);
        nodes.put(endpoint.name(), node);
        namesByNode.put(node, endpoint.name());
        return node;
    }

    private void setReadiness(
            Duration now,
            DataNode node,
            Readiness readiness,
            Duration startedAt,
            RoutingPolicy policy) {
        policy.onNodeUpdate(now, node, readiness, startedAt);
        if (readiness == Readiness.REMOVED) {
            removedNodes.add(node);
        } else {
            removedNodes.remove(node);
        }
    }

    private List<DataNode> evictLongestRemoved() {
        List<DataNode> evicted = new ArrayList<>();
        while (removedNodes.size() > MAX_REMOVED_NODES) {
            DataNode longestRemoved = removedNodes.iterator().next();
            removedNodes.remove(longestRemoved);
            nodes.remove(namesByNode.remove(longestRemoved));
            evicted.add(longestRemoved);
        }
        return evicted;
    }
}
