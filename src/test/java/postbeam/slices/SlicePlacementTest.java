package postbeam.slices;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.Readiness;

/** Tests how holders are spread over zones. */
class SlicePlacementTest extends CoordinatorScenario {
    @Test
    void readyNodesAlternateBetweenZones() {
        nodes.put("e", new TargetLayout.NodeInfo("z0", Readiness.READY));
        nodes.put("f", new TargetLayout.NodeInfo("z2", Readiness.DRAINING));
        assertEquals(List.of("a", "b", "c", "d", "e"), SlicePlacement.spreadOverZones(nodes));
        nodes.put("b", new TargetLayout.NodeInfo("z0", Readiness.READY));
        assertEquals(List.of("a", "d", "b", "c", "e"), SlicePlacement.spreadOverZones(nodes));
    }
}
