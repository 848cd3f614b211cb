package postbeam.router;

import java.time.Duration;
import java.util.IdentityHashMap;
import postbeam.endpoints.EndpointRegistry;
import postbeam.endpoints.EndpointUpdate;
import postbeam.model.DataNode;
import postbeam.model.Readiness;
import postbeam.policy.RoutingPolicy;

/**
 * The listed data nodes, their addresses and the health checks that are not answered yet. Guarded
 * by the lock of {@link PolicyExecutor}.
 */
final class NodeDirectory {
    private final EndpointRegistry endpoints;
    private final IdentityHashMap<DataNode, String> addresses = new IdentityHashMap<>();

    /** By node, the token of its latest health check. */
    private final IdentityHashMap<DataNode, Object> healthChecks = new IdentityHashMap<>();

    NodeDirectory(String zone) {
        this.endpoints = new EndpointRegistry(zone);
    }

    /** Takes over the listed nodes and their addresses. */
    void update(Duration now, EndpointUpdate update, MonotonicClock clock, RoutingPolicy policy) {
        endpoints.update(now, update.endpoints(), update.complete(), clock::fromUnixMicros, policy);
        update.addresses().forEach(this::putAddress);
        addresses.keySet().removeIf(node -> endpoints.nameOf(node) == null);
    }

    private void putAddress(String name, String address) {
        DataNode node = endpoints.node(name);
        if (node != null) {
            addresses.put(node, address);
        }
    }

    /** The node's host and port. */
    String address(DataNode node) {
        return addresses.get(node);
    }

    /** Null for a node that is no longer known. */
    String name(DataNode node) {
        return endpoints.nameOf(node);
    }

    /** Begins a health check and returns its token; an earlier one of the node no longer counts. */
    Object beginHealthCheck(DataNode node) {
        Object token = new Object();
        healthChecks.put(node, token);
        return token;
    }

    /** The node whose health check this answers; null where none is awaited. */
    DataNode endHealthCheck(String name) {
        DataNode node = endpoints.node(name);
        return node != null && healthChecks.remove(node) != null ? node : null;
    }

    /** Whether the health check with this token was still awaited, which ends with this. */
    boolean expireHealthCheck(DataNode node, Object token) {
        return healthChecks.remove(node, token);
    }

    /** Attempts in flight by the policy's count. */
    int attemptsInFlight() {
        return endpoints.nodes().stream().mapToInt(node -> node.attemptsInFlight.size()).sum();
    }

    long listedCount() {
        return endpoints.nodes().stream().filter(NodeDirectory::isListed).count();
    }

    /** Listed nodes that the policy sends nothing to. */
    long ejectedCount(RoutingPolicy policy) {
        return endpoints.nodes().stream()
                .filter(node -> isListed(node) && policy.isEjected(node))
                .count();
    }

    private static boolean isListed(DataNode node) {
        return node.readiness() != Readiness.REMOVED;
    }
}
