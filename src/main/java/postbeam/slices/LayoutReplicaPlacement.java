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
 * Replica lists by the layout in force: its holders that discovery lists, less those that said they
 * hold it no more.
 */
public final class LayoutReplicaPlacement implements ReplicaPlacement {
    private final Map<String, DataNode> listedNodes = new LinkedHashMap<>();
    private final Map<Integer, List<DataNode>> replicas = new HashMap<>();
    private final Map<Integer, Set<DataNode>> left = new HashMap<>();
    private Function<DataNode, String> nodeNames;
    private Function<Duration, Duration> toRouterTime = Function.identity();
    private Comparator<DataNode> order;
    private Layout layout;

    /**
     * Where nodes have their names, and how a time since 1970 is told in the router's own spans.
     */
    public void configure(Function<DataNode, String> names, Function<Duration, Duration> spans) {
        this.nodeNames = names;
        this.toRouterTime = spans;
    }

    void layout(Layout next) {
        layout = next;
        replicas.clear();
        left.clear();
    }

    @Override
    public void setReplicaOrder(Comparator<DataNode> order) {
        this.order = order;
    }

    @Override
    public void add(DataNode node) {
        listedNodes.put(nodeNames.apply(node), node);
        replicas.clear();
    }

    @Override
    public void remove(DataNode node) {
        listedNodes.remove(nodeNames.apply(node), node);
        replicas.clear();
    }

    /** The node has said that it holds the slice no more, or not yet. */
    void left(int slice, DataNode node) {
        left.computeIfAbsent(slice, key -> new HashSet<>()).add(node);
        replicas.remove(slice);
    }

    /** What it said is too long ago to be held against it. */
    void readmit(int slice, DataNode node) {
        Set<DataNode> gone = left.get(slice);
        if (gone != null && gone.remove(node)) {
            replicas.remove(slice);
        }
    }

    @Override
    public List<DataNode> replicas(int shard) {
        return replicas.computeIfAbsent(shard, this::findReplicas);
    }

    private List<DataNode> findReplicas(int number) {
        List<DataNode> found = new ArrayList<>();
        Slice slice = layout == null ? null : layout.slice(number);
        if (slice != null) {
            for (Holder holder : slice.holders()) {
                DataNode node = listedNodes.get(holder.node());
                if (node != null && !left.getOrDefault(number, Set.of()).contains(node)) {
                    found.add(node);
                }
            }
            if (order != null) {
                found.sort(order);
            }
        }
        return found;
    }

    @Override
    public int replicationFactor() {
        return layout == null ? 1 : layout.meanHolders();
    }

    @Override
    public Duration acquiredAt(int shard, DataNode node) {
        Slice slice = layout == null ? null : layout.slice(shard);
        if (slice != null) {
            String name = nodeNames.apply(node);
            for (Holder holder : slice.holders()) {
                if (holder.node().equals(name)) {
                    return holder.acquiredAt().isZero()
                            ? null
                            : toRouterTime.apply(holder.acquiredAt());
                }
            }
        }
        return null;
    }
}
