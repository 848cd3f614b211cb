package postbeam.slices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import postbeam.state.DataNode;
import postbeam.state.Holders;

/**
 * Replica lists by the layout in force: its holders that discovery lists, less those that said they
 * hold it no more.
 */
public final class LayoutHolders implements Holders {
    private final Map<String, DataNode> listed = new LinkedHashMap<>();
    private final Map<Integer, List<DataNode>> replicas = new HashMap<>();
    private final Map<Integer, Set<DataNode>> left = new HashMap<>();
    private Function<DataNode, String> names;
    private Function<Duration, Duration> spans = Function.identity();
    private Comparator<DataNode> order;
    private Layout layout;

    /**
     * Where nodes have their names, and how a time since 1970 is told in the router's own spans.
     */
    public void know(Function<DataNode, String> names, Function<Duration, Duration> spans) {
        this.names = names;
        this.spans = spans;
    }

    void layout(Layout next) {
        layout = next;
        replicas.clear();
        left.clear();
    }

    @Override
    public void order(Comparator<DataNode> order) {
        this.order = order;
    }

    @Override
    public void add(DataNode node) {
        listed.put(names.apply(node), node);
        replicas.clear();
    }

    @Override
    public void remove(DataNode node) {
        listed.remove(names.apply(node), node);
        replicas.clear();
    }

    /** The node has said that it holds the slice no more, or not yet. */
    void left(int slice, DataNode node) {
        left.computeIfAbsent(slice, key -> new HashSet<>()).add(node);
        replicas.remove(slice);
    }

    /** What it said is too long ago to be held against it. */
    void forgiven(int slice, DataNode node) {
        Set<DataNode> gone = left.get(slice);
        if (gone != null && gone.remove(node)) {
            replicas.remove(slice);
        }
    }

    @Override
    public List<DataNode> replicas(int shard) {
        return replicas.computeIfAbsent(shard, this::found);
    }

    private List<DataNode> found(int number) {
        List<DataNode> found = new ArrayList<>();
        Slice slice = layout == null ? null : layout.slice(number);
        if (slice != null) {
            for (Holder holder : slice.holders()) {
                DataNode node = listed.get(holder.node());
                if (node != null && !left.getOrDefault(number, Set.of()).contains(node)) {
                    found.add(node);
                }
            }
            if (order != null) {
                found.sort(order);
            }
        }
        return found;
    }

    @Override
    public int reach() {
        return layout == null ? 1 : layout.reach();
    }

    @Override
    public Duration tookAt(int shard, DataNode node) {
        Slice slice = layout == null ? null : layout.slice(shard);
        if (slice != null) {
            String name = names.apply(node);
            for (Holder holder : slice.holders()) {
                if (holder.node().equals(name)) {
                    return holder.tookAt().isZero() ? null : spans.apply(holder.tookAt());
                }
            }
        }
        return null;
    }
}
