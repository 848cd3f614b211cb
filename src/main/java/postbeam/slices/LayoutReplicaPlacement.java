package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import postbeam.model.DataNode;
import postbeam.model.ReplicaPlacement;

/**
 * Replica lists by the current layout: the listed data nodes that hold a slice, except those that
 * reported that they don't hold it. Not thread-safe: its owner calls it under the policy's lock.
 */
public final class LayoutReplicaPlacement implements ReplicaPlacement {
    private final Map<String, DataNode> listedNodes = new LinkedHashMap<>();
    private final Map<Integer, List<DataNode>> cachedReplicas = new HashMap<>();
    private final Map<Integer, Set<DataNode>> excluded = new HashMap<>();
    private Function<DataNode, String> nodeNames;
    private Function<Duration, Duration> toRouterTime = Function.identity();
    private Comparator<DataNode> replicaOrder;
    private Layout layout;

    /**
     * Sets how nodes and times are translated.
     *
     * @param nodeNames function from a node to its name in the layout
     * @param toRouterTime function from a duration since the Unix epoch to the router's clock
     */
    public void configure(
            Function<DataNode, String> nodeNames, Function<Duration, Duration> toRouterTime) {
        this.nodeNames = nodeNames;
        this.toRouterTime = toRouterTime;
    }

    /** Replaces the layout and clears all exclusions. */
    void setLayout(Layout newLayout) {
        layout = newLayout;
        cachedReplicas.clear();
        excluded.clear();
    }

    @Override
    public void setReplicaOrder(Comparator<DataNode> order) {
        replicaOrder = order;
    }

    @Override
    public void add(DataNode node) {
        listedNodes.put(nodeNames.apply(node), node);
        cachedReplicas.clear();
    }

    @Override
    public void remove(DataNode node) {
        listedNodes.remove(nodeNames.apply(node), node);
        cachedReplicas.clear();
    }

    /** Excludes a node that reported that it does not hold the slice. */
    void exclude(int slice, DataNode node) {
        excluded.computeIfAbsent(slice, key -> new HashSet<>()).add(node);
        cachedReplicas.remove(slice);
    }

    /**
     * Lets a node be a replica of the slice again, for example because its report is too old to
     * rely on.
     */
    void readmit(int slice, DataNode node) {
        Set<DataNode> nodes = excluded.get(slice);
        if (nodes != null && nodes.remove(node)) {
            cachedReplicas.remove(slice);
        }
    }

    @Override
    public List<DataNode> replicas(int shard) {
        return cachedReplicas.computeIfAbsent(shard, this::findReplicas);
    }

    private List<DataNode> findReplicas(int number) {
        List<DataNode> replicas = new ArrayList<>();
        Slice slice = layout == null ? null : layout.slice(number);
        if (slice == null) {
            return replicas;
        }
        Set<DataNode> excludedNodes = excluded.getOrDefault(number, Set.of());
        for (Holder holder : slice.holders()) {
            DataNode node = listedNodes.get(holder.node());
            if (node != null && !excludedNodes.contains(node)) {
                replicas.add(node);
            }
        }
        if (replicaOrder != null) {
            replicas.sort(replicaOrder);
        }
        return replicas;
    }

    @Override
    public int replicationFactor() {
        return layout == null ? 1 : layout.meanHolders();
    }

    @Override
    public Duration acquiredAt(int shard, DataNode node) {
        Slice slice = layout == null ? null : layout.slice(shard);
        if (slice == null) {
            return null;
        }
        String name = nodeNames.apply(node);
        for (Holder holder : slice.holders()) {
            if (holder.node().equals(name)) {
                return holder.acquiredAt().isZero()
                        ? null
                        : toRouterTime.apply(holder.acquiredAt());
            }
        }
        return null;
    }
}
