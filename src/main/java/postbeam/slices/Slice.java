package postbeam.slices;

import java.util.List;

/**
 * Keys that are held together.
 *
 * @param number never used for another slice
 * @param createdVersion the layout version in which it was created
 */
public record Slice(int number, KeyRange keys, long createdVersion, List<Holder> holders) {
    /** A slice of a layout. */
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
