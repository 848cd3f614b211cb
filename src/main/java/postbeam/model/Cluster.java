package postbeam.model;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The data nodes on this router's list, which of them hold a shard, and which answered last. */
public final class Cluster {
    private final ReplicaPlacement placement;
    private final Set<DataNode> nodes = new LinkedHashSet<>();

    /** Those that have answered, the latest last. */
    private final LinkedHashSet<DataNode> recordAnswer = new LinkedHashSet<>();

    /** Shards are held by the fixed rule. */
    public Cluster(int cellCount, int reach) {
        this(new CellPlacement(cellCount, reach));
    }

    public Cluster(ReplicaPlacement placement) {
        this.placement = placement;
    }

    /** The order of replica lists; nodes that it holds equal stand in the order of the source. */
    public void setReplicaOrder(Comparator<DataNode> order) {
        placement.setReplicaOrder(order);
    }

    public void add(DataNode node) {
        nodes.add(node);
        placement.add(node);
    }

    public void remove(DataNode node) {
        nodes.remove(node);
        recordAnswer.remove(node);
        placement.remove(node);
    }

    public int size() {
        return nodes.size();
    }

    public void recordAnswer(DataNode node) {
        if (nodes.contains(node)) {
            recordAnswer.remove(node);
            recordAnswer.add(node);
        }
    }

    /**
     * Slowness of the node at this place, from 0 to 1, among those that answered since; 0 where
     * none did.
     */
    public double slowdownAtQuantile(double place, Duration since) {
        while (!recordAnswer.isEmpty()) {
            DataNode oldest = recordAnswer.iterator().next();
            if (oldest.lastAnsweredAt.compareTo(since) > 0) {
                break;
            }
            recordAnswer.remove(oldest);
        }
        double[] slow =
                recordAnswer.stream()
                        .mapToDouble(node -> node.slowdown)
                        .filter(s -> s > 0)
                        .sorted()
                        .toArray();
        return slow.length == 0 ? 0 : slow[(int) (slow.length * place)];
    }

    /** The nodes that hold the shard, as a list that is not to be changed. */
    public List<DataNode> replicas(int shard) {
        return placement.replicas(shard);
    }

    /** How many nodes hold a shard. */
    public int replicationFactor() {
        return placement.replicationFactor();
    }

    /** When this node took the shard over from another; null: not known, or long ago. */
    public Duration acquiredAt(int shard, DataNode node) {
        return placement.acquiredAt(shard, node);
    }
}
