package postbeam.slices;

import java.util.List;

/**
 * A key range whose data is held by the same nodes.
 *
 * @param number identifies the slice; never reused for another one
 * @param createdVersion the layout version in which it was created
 */
public record Slice(int number, KeyRange keys, long createdVersion, List<Holder> holders) {
    /** Creates a slice with a copy of the list. */
    public Slice {
        holders = List.copyOf(holders);
    }

    /** Whether the node is one of its holders. */
    public boolean heldBy(String node) {
        return holders.stream().anyMatch(holder -> holder.node().equals(node));
    }

    /** The names of its holders. */
    public List<String> nodes() {
        return holders.stream().map(Holder::node).toList();
    }
}
