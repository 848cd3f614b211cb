package postbeam.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import postbeam.model.Attempt;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;
import postbeam.model.Zone;

class SimulatedQueryTableTest {
    private final SimulatedQueryTable table = new SimulatedQueryTable();
    private final Query query =
            new Query(
                    QueryClass.builder(Duration.ofSeconds(1), SideEffects.IDEMPOTENT).build(),
                    null,
                    Duration.ZERO,
                    Duration.ofSeconds(3));
    private final ShardRequest request = new ShardRequest(query, 0, 1, null);

    @Test
    void endedQueryIsRemovedAndItsRequestAfterItsLastAttempt() {
        table.add("q-id", 7, query);
        table.add("p-id", request);
        Attempt attempt =
                new Attempt(request, new DataNode(0, new Zone(true)), Duration.ZERO, null);
        table.removeIfEnded(query);
        assertEquals(query, table.query("q-id"));
        query.end();
        table.removeIfEnded(query);
        assertNull(table.query("q-id"));
        assertNull(table.query(7));
        assertEquals(request, table.request("p-id"));
        attempt.end();
        table.removeIfEnded(query);
        assertNull(table.request("p-id"));
        assertNull(table.id(request));
    }

    @Test
    void numberReusedByALaterQueryStillFindsThatQuery() {
        table.add("q-id", 7, query);
        Query later = new Query(query.queryClass(), null, Duration.ZERO, Duration.ofSeconds(3));
        table.add("r-id", 7, later);
        query.end();
        table.removeIfEnded(query);
        assertEquals(later, table.query(7));
    }
}
