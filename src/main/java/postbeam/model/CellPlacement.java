package postbeam.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Fixed placement of shards on cells of data nodes: a shard is stored on the nodes of its own cell
 * and of the cells that follow it.
 */
public final class CellPlacement implements ReplicaPlacement {
    private final List<List<DataNode>> nodesByCell = new ArrayList<>();

    /**
     * Ordered replicas of the shards of each cell; null for a cell whose replicas must be
     * recomputed.
     */
    private final List<List<DataNode>> replicasByCell = new ArrayList<>();

    private final int replicationFactor;
    private Comparator<DataNode> order;

    /**
     * Creates a placement on this number of cells, in which {@code replicationFactor} consecutive
     * cells hold each shard.
     */
    public CellPlacement(int cellCount, int replicationFactor) {
        for (int i = 0; i < cellCount; i++) {
            nodesByCell.add(new ArrayList<>());
            replicasByCell.add(null);
        }
        this.replicationFactor = replicationFactor;
    }

    @Override
    public void setReplicaOrder(Comparator<DataNode> order) {
        this.order = order;
    }

    @Override
    public void add(DataNode node) {
        nodesByCell.get(node.cell).add(node);
        invalidateReplicas(node);
    }

    @Override
    public void remove(DataNode node) {
        nodesByCell.get(node.cell).remove(node);
        invalidateReplicas(node);
    }

    private void invalidateReplicas(DataNode node) {
        for (int i = 0; i < replicationFactor; i++) {
            replicasByCell.set(Math.floorMod(node.cell - i, nodesByCell.size()), null);
        }
    }

    @Override
    public List<DataNode> replicas(int shard) {
        int cell = shard % nodesByCell.size();
        List<DataNode> replicas = replicasByCell.get(cell);
        if (replicas == null) {
            replicas = findReplicas(cell);
            replicasByCell.set(cell, replicas);
        }
        return replicas;
    }

    private List<DataNode> findReplicas(int cell) {
        List<DataNode> replicas = new ArrayList<>();
        for (int i = 0; i < replicationFactor; i++) {
            replicas.addAll(nodesByCell.get((cell + i) % nodesByCell.size()));
        }
        if (order != null) {
            replicas.sort(order);
        }
        return replicas;
    }

    @Override
    public int replicationFactor() {
        return replicationFactor;
    }

    /** Returns null, as shards never move in this placement. */
    @Override
    public Duration acquiredAt(int shard, DataNode node) {
        return null;
    }
}
