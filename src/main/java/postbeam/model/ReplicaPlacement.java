package postbeam.model;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;

/** Placement of shards on the data nodes in the endpoint list. */
public interface ReplicaPlacement {
    /**
     * Sets the order of replica lists. Nodes that compare as equal keep the order of the placement.
     */
    void setReplicaOrder(Comparator<DataNode> order);

    /** Adds a node that has appeared in the endpoint list. */
    void add(DataNode node);

    /** Removes a node that has disappeared from the endpoint list. */
    void remove(DataNode node);

    /**
     * Returns the nodes in the endpoint list that hold the shard, in replica order. The list is
     * empty if there are none; it must not be modified.
     */
    List<DataNode> replicas(int shard);

    /** Returns the number of nodes that hold a shard, on average and rounded up; at least 1. */
    int replicationFactor();

    /**
     * Returns the time at which the node acquired the shard from another node; null if that is not
     * known or long ago.
     */
    Duration acquiredAt(int shard, DataNode node);
}
