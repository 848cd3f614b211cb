package postbeam.model;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The data nodes of the endpoint list and the placement of shards on them. */
public final class Cluster {
    private final ReplicaPlacement placement;
    private final Set<DataNode> nodes = new LinkedHashSet<>();

    /** Creates a cluster without nodes whose shards are placed by cell. */
    public Cluster(int cellCount, int replicationFactor) {
        this(new CellPlacement(cellCount, replicationFactor));
    }

    /** Creates a cluster without nodes with this placement. */
    public Cluster(ReplicaPlacement placement) {
        this.placement = placement;
    }

    /** Sets the order of replica lists; equal nodes keep the order of the placement. */
    public void setReplicaOrder(Comparator<DataNode> order) {
        placement.setReplicaOrder(order);
    }

    /** Adds a node that has been listed. */
    public void add(DataNode node) {
        nodes.add(node);
        placement.add(node);
    }

    /** Removes a node that is no longer listed. */
    public void remove(DataNode node) {
        nodes.remove(node);
        placement.remove(node);
    }

    /** Whether the node is listed. */
    public boolean contains(DataNode node) {
        return nodes.contains(node);
    }

    /** Number of listed nodes. */
    public int size() {
        return nodes.size();
    }

    /**
     * The listed nodes that hold the shard, in order; a list not to be modified, empty if there are
     * none.
     */
    public List<DataNode> replicas(int shard) {
        return placement.replicas(shard);
    }

    /** Number of nodes that hold a shard, on average and rounded up; at least 1. */
    public int replicationFactor() {
        return placement.replicationFactor();
    }

    /** When the node acquired the shard from another; null if not known or long ago. */
    public Duration acquiredAt(int shard, DataNode node) {
        return placement.acquiredAt(shard, node);
    }
}
