package postbeam.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class QueryTest {
    private static final Duration START = Duration.ofMillis(5);

    private static Query query(double requiredWeight, double... weights) {
        QueryClass queryClass =
                QueryClass.builder(Duration.ofSeconds(1), SideEffects.IDEMPOTENT)
                        .weights(requiredWeight, requiredWeight)
                        .build();
        Query query = new Query(queryClass, null, START, Duration.ofSeconds(3));
        for (int shard = 0; shard < weights.length; shard++) {
            new ShardRequest(query, shard, weights[shard], null);
        }
        return query;
    }

    @Test
    void requestsNeededAssumesTheMeanWeightOfUnansweredRequests() {
        Query query = query(0.5, 0.4, 0.2, 0.2, 0.2);
        assertEquals(2, query.requestsNeeded());
        query.shardRequests.get(0).markAnswered();
        assertEquals(1, query.requestsNeeded());
        query.shardRequests.get(1).markAnswered();
        assertEquals(0, query.requestsNeeded());
    }

    @Test
    void attemptIsInFlightUntilItEnds() {
        Query query = query(1, 0.5, 0.5);
        DataNode node = new DataNode(0, new Zone(true));
        assertTrue(query.hasNotStarted());
        Attempt attempt = new Attempt(query.shardRequests.get(0), node, START, null);
        assertFalse(query.hasNotStarted());
        assertEquals(1, query.requestsInFlight());
        assertEquals(attempt, node.oldestAttemptInFlight());
        attempt.end();
        assertEquals(0, query.requestsInFlight());
        assertEquals(0, node.attemptsInFlight.size());
        assertEquals(1, query.shardRequests.get(0).attempts.size());
    }

    @Test
    void replacingRequestInheritsAttemptsClosingAndFirstPossibleExecution() {
        Query query = query(1, 0.5, 0.5);
        ShardRequest replaced = query.shardRequests.get(0);
        ShardRequest replacement = query.shardRequests.get(1);
        new Attempt(replaced, new DataNode(0, new Zone(true)), START, null).end();
        replaced.recordPossibleExecution(START);
        replaced.close();
        replacement.recordPossibleExecution(START.plusMillis(1));
        replacement.inherit(replaced);
        assertEquals(START, replacement.mayHaveExecutedSince());
        assertTrue(replacement.isClosed());
        assertEquals(replaced.attempts, replacement.attempts);
    }

    @Test
    void attemptsSentAtTheSameTimeFormOneBatch() {
        Query query = query(1, 0.3, 0.3, 0.4);
        DataNode node = new DataNode(0, new Zone(true));
        new Attempt(query.shardRequests.get(0), node, START, null);
        new Attempt(query.shardRequests.get(1), node, START, null);
        new Attempt(query.shardRequests.get(2), node, START.plusMillis(1), null);
        assertEquals(2, node.batchesInFlight());
    }
}
