package postbeam.model;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;

/**
 * Which of the listed data nodes hold a shard. A fleet has one source of it: cells in a row, or a
 * layout.
 */
public interface ReplicaPlacement {
    /**
     * The order of replica lists; nodes that it holds equal keep the order that the source gives
     * them.
     */
    void setReplicaOrder(Comparator<DataNode> order);

    /** The node has come onto the list. */
    void add(DataNode node);

    /** The node has gone from the list. */
    void remove(DataNode node);

    /**
     * The nodes that hold the shard, as a list that is not to be changed; empty where none does.
     */
    List<DataNode> replicas(int shard);

    /** How many nodes hold a shard, on the mean and rounded up; 1 at least. */
    int replicationFactor();

    /** When this node took the shard over from another; null: not known, or long ago. */
    Duration acquiredAt(int shard, DataNode node);
}
