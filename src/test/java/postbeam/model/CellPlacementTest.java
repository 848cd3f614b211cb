package postbeam.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

class CellPlacementTest {
    private final Zone local = new Zone(true);
    private final Zone remote = new Zone(false);
    private final CellPlacement placement = new CellPlacement(3, 2);
    private final DataNode first = new DataNode(0, remote);
    private final DataNode second = new DataNode(1, local);
    private final DataNode third = new DataNode(2, local);

    @Test
    void shardIsHeldByItsOwnCellAndTheFollowingCells() {
        List.of(first, second, third).forEach(placement::add);
        assertEquals(List.of(first, second), placement.replicas(0));
        assertEquals(List.of(third, first), placement.replicas(2));
        assertEquals(
                List.of(first, second),
                placement.replicas(3),
                "shard numbers wrap around the cells");
        placement.remove(first);
        assertEquals(List.of(second), placement.replicas(0));
    }

    @Test
    void replicasAreSortedByTheConfiguredOrder() {
        placement.setReplicaOrder(Comparator.comparing(node -> !node.zone.local));
        List.of(first, second, third).forEach(placement::add);
        assertEquals(List.of(second, first), placement.replicas(0));
    }
}
