package postbeam.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import postbeam.config.InstanceSettings;
import postbeam.config.PolicyFactory;
import postbeam.model.Cluster;
import postbeam.model.DataNode;
import postbeam.model.Readiness;
import postbeam.policy.PolicyActions;
import postbeam.policy.RoutingPolicy;

class EndpointRegistryTest {
    /** Ignores all actions of the policy, since no test sends a query. */
    private final PolicyActions actions =
            (PolicyActions)
                    Proxy.newProxyInstance(
                            PolicyActions.class.getClassLoader(),
                            new Class<?>[] {PolicyActions.class},
                            (proxy, method, arguments) -> null);

    private final RoutingPolicy policy =
            PolicyFactory.routingPolicy(
                    actions, new Random(1), new Cluster(1, 1), new InstanceSettings());
    private final EndpointRegistry registry = new EndpointRegistry("a");

    private List<DataNode> update(String name, Readiness readiness, boolean complete) {
        return registry.update(
                Duration.ZERO,
                List.of(new Endpoint(name, "a", 0, 0, readiness)),
                complete,
                micros -> Duration.ZERO,
                policy);
    }

    @Test
    void nodesRemovedLongAgoAreEvictedAndReaddedNodeIsKept() {
        update("removed", Readiness.READY, true);
        update("readded", Readiness.READY, false);
        DataNode readded = registry.node("readded");
        update("readded", Readiness.REMOVED, false);
        update("readded", Readiness.READY, false);
        assertSame(readded, registry.node("readded"));
        for (int i = 0; i < 200; i++) {
            update("n" + i, Readiness.READY, i % 2 == 0);
            update("n" + i, Readiness.REMOVED, false);
        }
        assertNull(registry.node("removed"));
        assertNull(registry.node("n0"));
        assertNotNull(registry.node("n199"));
    }

    /** The owner of addresses looked at all nodes of a fleet for each one that changed. */
    @Test
    void updateReturnsTheNodesThatItForgets() {
        update("first", Readiness.READY, false);
        DataNode first = registry.node("first");
        assertEquals(List.of(), update("first", Readiness.REMOVED, false));
        List<DataNode> forgotten = List.of();
        for (int i = 0; forgotten.isEmpty() && i < 100; i++) {
            update("n" + i, Readiness.READY, false);
            forgotten = update("n" + i, Readiness.REMOVED, false);
        }
        assertEquals(List.of(first), forgotten);
        assertNull(registry.node("first"));
    }
}
