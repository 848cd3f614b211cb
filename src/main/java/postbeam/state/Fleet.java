package postbeam.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The data nodes on this router's list, which of them hold a shard, and which answered last. */
public final class Fleet {
    private final List<List<DataNode>> cells = new ArrayList<>();
    /** The holders of a cell's shards, in order; null after a change. */
    private final List<List<DataNode>> holders = new ArrayList<>();
    private final Set<DataNode> nodes = new LinkedHashSet<>();
    /** Those that have answered, the latest last. */
    private final LinkedHashSet<DataNode> answered = new LinkedHashSet<>();
    private Comparator<DataNode> order;
    /** How many cells in a row hold a shard. */
    public final int reach;

    public Fleet(int cellCount, int reach) {
        for (int i = 0; i < cellCount; i++) {
            cells.add(new ArrayList<>());
            holders.add(null);
        }
        this.reach = reach;
    }

    /** The order of replica lists; nodes that it holds equal stand in the order of cells and of listing. */
    public void order(Comparator<DataNode> order) {
        this.order = order;
    }

    public void add(DataNode node) {
        cells.get(node.cell).add(node);
        nodes.add(node);
        changed(node);
    }

    public void remove(DataNode node) {
        cells.get(node.cell).remove(node);
        nodes.remove(node);
        answered.remove(node);
        changed(node);
    }

    private void changed(DataNode node) {
        for (int j = 0; j < reach; j++) {
            holders.set(Math.floorMod(node.cell - j, cells.size()), null);
        }
    }

    public int size() {
        return nodes.size();
    }

    public void answered(DataNode node) {
        if (nodes.contains(node)) {
            answered.remove(node);
            answered.add(node);
        }
    }

    /** Slowness of the node at this place, from 0 to 1, among those that answered since; 0 where none did. */
    public double slowness(double place, Duration since) {
        while (!answered.isEmpty()) {
            DataNode oldest = answered.iterator().next();
            if (oldest.lastAnswerAt.compareTo(since) > 0) {
                break;
            }
            answered.remove(oldest);
        }
        double[] slow = answered.stream().mapToDouble(node -> node.slowness).filter(s -> s > 0).sorted().toArray();
        return slow.length == 0 ? 0 : slow[(int) (slow.length * place)];
    }

    /** The nodes that hold the shard, as a list that is not to be changed. */
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
}
