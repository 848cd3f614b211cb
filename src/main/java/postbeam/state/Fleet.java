package postbeam.state;

import java.util.ArrayList;
import java.util.List;

/** The data nodes on this router's list, and which of them hold a shard. */
public final class Fleet {
    private final List<List<DataNode>> cells = new ArrayList<>();
    private final List<DataNode> nodes = new ArrayList<>();
    /** How many cells in a row hold a shard. */
    public final int reach;

    public Fleet(int cellCount, int reach) {
        for (int i = 0; i < cellCount; i++) {
            cells.add(new ArrayList<>());
        }
        this.reach = reach;
    }

    public void add(DataNode node) {
        cells.get(node.cell).add(node);
        nodes.add(node);
    }

    public void remove(DataNode node) {
        cells.get(node.cell).remove(node);
        nodes.remove(node);
    }

    public List<DataNode> nodes() {
        return nodes;
    }

    /** The nodes that hold the shard, in the order of their cells and then of their listing. */
    public List<DataNode> replicas(int shard) {
        List<DataNode> found = new ArrayList<>();
        for (int j = 0; j < reach; j++) {
            found.addAll(cells.get((shard + j) % cells.size()));
        }
        return found;
    }
}
