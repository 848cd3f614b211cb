package postbeam.model;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;

/** Which of the listed data nodes hold a shard. */
public interface ReplicaPlacement {
    /**
     * Sets the order of replica lists; nodes that compare equal keep the order of the placement.
     */
    void setReplicaOrder(Comparator<DataNode> order);

    /** The node has come onto the endpoint list. */
    void add(DataNode node);

    /** The node has gone from the endpoint list. */
    void remove(DataNode node);

    /** The nodes that hold the shard, in order; a list not to be changed, empty where none does. */
    List<DataNode> replicas(int shard);

    /** How many nodes hold a shard, on the mean and rounded up; 1 at least. */
    int replicationFactor();

    /** When the node acquired the shard from another; null where not known, or long ago. */
    Duration acquiredAt(int shard, DataNode node);
}
