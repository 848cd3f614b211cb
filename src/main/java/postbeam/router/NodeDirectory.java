package postbeam.router;

import java.time.Duration;
import java.util.IdentityHashMap;
import java.util.List;
import postbeam.endpoints.EndpointRegistry;
import postbeam.endpoints.EndpointUpdate;
import postbeam.model.DataNode;
import postbeam.model.Readiness;
import postbeam.policy.RoutingPolicy;

/**
 * The listed data nodes, their addresses and the health checks that are still pending. Guarded by
 * the lock of {@link PolicyExecutor}.
 */
final class NodeDirectory {
    private final EndpointRegistry endpoints;
    private final IdentityHashMap<DataNode, String> addresses = new IdentityHashMap<>();

    /** Maps a node to the token of its pending health check. */
    private final IdentityHashMap<DataNode, Object> healthChecks = new IdentityHashMap<>();

    NodeDirectory(String zone) {
        this.endpoints = new EndpointRegistry(zone);
    }

    /** Applies an endpoint update: nodes and their addresses. */
    void update(Duration now, EndpointUpdate update, MonotonicClock clock, RoutingPolicy policy) {
        List<DataNode> forgotten =
                endpoints.update(
                        now, update.endpoints(), update.complete(), clock::fromUnixMicros, policy);
        update.addresses().forEach(this::putAddress);
        forgotten.forEach(addresses::remove);
    }

    private void putAddress(String name, String address) {
        DataNode node = endpoints.node(name);
        if (node != null) {
            addresses.put(node, address);
        }
    }

    /** The node's host and port; null if it is no longer known. */
    String address(DataNode node) {
        return addresses.get(node);
    }

    /** The node's name; null if it is no longer known. */
    String name(DataNode node) {
        return endpoints.nameOf(node);
    }

    /**
     * Begins a health check and returns its token; replaces an earlier pending check of the node.
     */
    Object beginHealthCheck(DataNode node) {
        Object token = new Object();
        healthChecks.put(node, token);
        return token;
    }

    /**
     * Ends the pending health check of the node with this name and returns the node; null if none
     * is pending.
     */
    DataNode endHealthCheck(String name) {
        DataNode node = endpoints.node(name);
        return node != null && healthChecks.remove(node) != null ? node : null;
    }

    /** Ends the health check with this token; returns false if it was not pending any more. */
    boolean expireHealthCheck(DataNode node, Object token) {
        return healthChecks.remove(node, token);
    }

    /** Attempts in flight as the policy counts them for each node. */
    int attemptsInFlight() {
        return endpoints.nodes().stream().mapToInt(node -> node.attemptsInFlight.size()).sum();
    }

    /** Number of nodes on the endpoint list. */
    long listedCount() {
        return endpoints.nodes().stream().filter(NodeDirectory::isListed).count();
    }

    /** Number of listed nodes that the policy has ejected, that is, sends nothing to. */
    long ejectedCount(RoutingPolicy policy) {
        return endpoints.nodes().stream()
                .filter(node -> isListed(node) && policy.isEjected(node))
                .count();
    }

    private static boolean isListed(DataNode node) {
        return node.readiness() != Readiness.REMOVED;
    }
}
