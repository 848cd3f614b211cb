package postbeam.model;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;

/** The placement of shards on the listed data nodes. */
public interface ReplicaPlacement {
    /** Sets the order of replica lists; equal nodes keep the order of the placement. */
    void setReplicaOrder(Comparator<DataNode> order);

    /** Adds a node that has been listed. */
    void add(DataNode node);

    /** Removes a node that is no longer listed. */
    void remove(DataNode node);

    /**
     * The listed nodes that hold the shard, in order; a list not to be modified, empty if there are
     * none.
     */
    List<DataNode> replicas(int shard);

    /** Number of nodes that hold a shard, on average and rounded up; at least 1. */
    int replicationFactor();

    /** When the node acquired the shard from another; null if not known or long ago. */
    Duration acquiredAt(int shard, DataNode node);
}
