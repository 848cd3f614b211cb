package postbeam.model;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The data nodes on this router's endpoint list, and which of them hold a shard. */
public final class Cluster {
    private final ReplicaPlacement placement;
    private final Set<DataNode> nodes = new LinkedHashSet<>();

    /** Creates a cluster without nodes, whose shards are placed by cell. */
    public Cluster(int cellCount, int replicationFactor) {
        this(new CellPlacement(cellCount, replicationFactor));
    }

    /** Creates a cluster without nodes, whose shards are placed so. */
    public Cluster(ReplicaPlacement placement) {
        this.placement = placement;
    }

    /**
     * Sets the order of replica lists; nodes that compare equal keep the order of the placement.
     */
    public void setReplicaOrder(Comparator<DataNode> order) {
        placement.setReplicaOrder(order);
    }

    /** The node has come onto the endpoint list. */
    public void add(DataNode node) {
        nodes.add(node);
        placement.add(node);
    }

    /** The node has gone from the endpoint list. */
    public void remove(DataNode node) {
        nodes.remove(node);
        placement.remove(node);
    }

    /** Whether the node is on the endpoint list. */
    public boolean contains(DataNode node) {
        return nodes.contains(node);
    }

    /** How many nodes are on the endpoint list. */
    public int size() {
        return nodes.size();
    }

    /** The nodes that hold the shard, in order; a list not to be changed, empty where none does. */
    public List<DataNode> replicas(int shard) {
        return placement.replicas(shard);
    }

    /** How many nodes hold a shard, on the mean and rounded up; 1 at least. */
    public int replicationFactor() {
        return placement.replicationFactor();
    }

    /** When the node acquired the shard from another; null where not known, or long ago. */
    public Duration acquiredAt(int shard, DataNode node) {
        return placement.acquiredAt(shard, node);
    }
}
