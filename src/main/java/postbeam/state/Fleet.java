package postbeam.state;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The data nodes on this router's list, which of them hold a shard, and which answered last. */
public final class Fleet {
    private final Holders holders;
    private final Set<DataNode> nodes = new LinkedHashSet<>();

    /** Those that have answered, the latest last. */
    private final LinkedHashSet<DataNode> answered = new LinkedHashSet<>();

    /** Shards are held by the fixed rule. */
    public Fleet(int cellCount, int reach) {
        this(new Cells(cellCount, reach));
    }

    public Fleet(Holders holders) {
        this.holders = holders;
    }

    /** The order of replica lists; nodes that it holds equal stand in the order of the source. */
    public void order(Comparator<DataNode> order) {
        holders.order(order);
    }

    public void add(DataNode node) {
        nodes.add(node);
        holders.add(node);
    }

    public void remove(DataNode node) {
        nodes.remove(node);
        answered.remove(node);
        holders.remove(node);
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

    /**
     * Slowness of the node at this place, from 0 to 1, among those that answered since; 0 where
     * none did.
     */
    public double slowness(double place, Duration since) {
        while (!answered.isEmpty()) {
            DataNode oldest = answered.iterator().next();
            if (oldest.lastAnswerAt.compareTo(since) > 0) {
                break;
            }
            answered.remove(oldest);
        }
        double[] slow =
                answered.stream()
                        .mapToDouble(node -> node.slowness)
                        .filter(s -> s > 0)
                        .sorted()
                        .toArray();
        return slow.length == 0 ? 0 : slow[(int) (slow.length * place)];
    }

    /** The nodes that hold the shard, as a list that is not to be changed. */
    public List<DataNode> replicas(int shard) {
        return holders.replicas(shard);
    }

    /** How many nodes hold a shard. */
    public int reach() {
        return holders.reach();
    }

    /** When this node took the shard over from another; null: not known, or long ago. */
    public Duration tookAt(int shard, DataNode node) {
        return holders.tookAt(shard, node);
    }
}
