package postbeam.model;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The data nodes in the endpoint list and the placement of shards on them. */
public final class Cluster {
    private final ReplicaPlacement placement;
    private final Set<DataNode> nodes = new LinkedHashSet<>();

    /** Creates a cluster without nodes, in which shards are placed by cell. */
    public Cluster(int cellCount, int replicationFactor) {
        this(new CellPlacement(cellCount, replicationFactor));
    }

    /** Creates a cluster without nodes, in which shards are placed by {@code placement}. */
    public Cluster(ReplicaPlacement placement) {
        this.placement = placement;
    }

    /**
     * Sets the order of replica lists. Nodes that compare as equal keep the order of the placement.
     */
    public void setReplicaOrder(Comparator<DataNode> order) {
        placement.setReplicaOrder(order);
    }

    /** Adds a node that has appeared in the endpoint list. */
    public void add(DataNode node) {
        nodes.add(node);
        placement.add(node);
    }

    /** Removes a node that has disappeared from the endpoint list. */
    public void remove(DataNode node) {
        nodes.remove(node);
        placement.remove(node);
    }

    /** Returns whether the node is in the endpoint list. */
    public boolean contains(DataNode node) {
        return nodes.contains(node);
    }

    /** Returns the number of nodes in the endpoint list. */
    public int size() {
        return nodes.size();
    }

    /**
     * Returns the nodes in the endpoint list that hold the shard, in replica order. The list is
     * empty if there are none; it must not be modified.
     */
    public List<DataNode> replicas(int shard) {
        return placement.replicas(shard);
    }

    /** Returns the number of nodes that hold a shard, on average and rounded up; at least 1. */
    public int replicationFactor() {
        return placement.replicationFactor();
    }

    /**
     * Returns the time at which the node acquired the shard from another node; null if that is not
     * known or long ago.
     */
    public Duration acquiredAt(int shard, DataNode node) {
        return placement.acquiredAt(shard, node);
    }
}
