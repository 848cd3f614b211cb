package postbeam.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The fixed rule: a shard is held by the nodes of its cell and of the next ones. */
public final class CellPlacement implements ReplicaPlacement {
    private final List<List<DataNode>> cells = new ArrayList<>();

    /** The holders of a cell's shards, in order; null after a change. */
    private final List<List<DataNode>> holders = new ArrayList<>();

    /** How many cells in a row hold a shard. */
    private final int reach;

    private Comparator<DataNode> order;

    public CellPlacement(int cellCount, int reach) {
        for (int i = 0; i < cellCount; i++) {
            cells.add(new ArrayList<>());
            holders.add(null);
        }
        this.reach = reach;
    }

    @Override
    public void setReplicaOrder(Comparator<DataNode> order) {
        this.order = order;
    }

    @Override
    public void add(DataNode node) {
        cells.get(node.cell).add(node);
        changed(node);
    }

    @Override
    public void remove(DataNode node) {
        cells.get(node.cell).remove(node);
        changed(node);
    }

    private void changed(DataNode node) {
        for (int j = 0; j < reach; j++) {
            holders.set(Math.floorMod(node.cell - j, cells.size()), null);
        }
    }

    @Override
    public List<DataNode> replicas(int shard) {
        int cell = shard % cells.size();
        List<DataNode> found = holders.get(cell);
        if (found == null) {
            found = new ArrayList<>();
            for (int j = 0; j < reach; j++) {
                found.addAll(cells.get((cell + j) % cells.size()));
            }
            if (order != null) {
                found.sort(order);
            }
            holders.set(cell, found);
        }
        return found;
    }

    @Override
    public int replicationFactor() {
        return reach;
    }

    /** Shards stay where they are. */
    @Override
    public Duration acquiredAt(int shard, DataNode node) {
        return null;
    }
}
