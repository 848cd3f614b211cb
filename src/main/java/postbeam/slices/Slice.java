package postbeam.slices;

import java.util.List;

/** Keys that are held together; its number is never used for another. */
public record Slice(int number, KeyRange keys, long createdVersion, List<Holder> holders) {
    public Slice {
        holders = List.copyOf(holders);
    }

    public boolean heldBy(String node) {
        return holders.stream().anyMatch(holder -> holder.node().equals(node));
    }

    public List<String> nodes() {
        return holders.stream().map(Holder::node).toList();
    }
}
