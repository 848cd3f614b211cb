package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static postbeam.policy.PolicyFixture.ms;

import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.model.Cluster;
import postbeam.model.DataNode;
import postbeam.model.Zone;

class ConcurrencyWindowTest {
    private static ConcurrencyWindow window(int nodes, int routers) {
        Cluster cluster = new Cluster(1, 1);
        for (int i = 0; i < nodes; i++) {
            cluster.add(new DataNode(0, new Zone(true)));
        }
        return new ConcurrencyWindow(cluster, new LatencyEstimator(cluster), routers);
    }

    @Test
    void rejectionsOfAttemptsSentInOneBatchHalveTheWindowOnce() {
        PolicyFixture fixture = new PolicyFixture(3, true);
        fixture.start(PolicyFixture.idempotent(), 40);
        assertEquals(32, fixture.sent.size());
        for (Attempt attempt : List.copyOf(fixture.sent)) {
            fixture.end(ms(50), attempt, AttemptOutcome.OVERLOADED);
        }
        fixture.policy.onBatchEnd(ms(50));
        assertEquals(32 + 16, fixture.sent.size());
    }

    @Test
    void windowIsNeverNarrowerThanTheRoutersShareOfAttemptsPerNode() {
        ConcurrencyWindow window = window(20, 5);
        for (int i = 0; i < 10; i++) {
            window.onOverloaded(ms(2 * i + 1), ms(2 * i + 1));
        }
        assertEquals(10, window.size());
    }

    @Test
    void answersWidenTheWindowOnlyWhileItIsInUse() {
        ConcurrencyWindow window = window(3, 1);
        window.onAnswer(ms(10), PolicyFixture.idempotent(), ms(10));
        assertEquals(32, window.size());
        for (int i = 0; i < 19; i++) {
            window.onAttemptSent();
        }
        window.onAnswer(ms(10), PolicyFixture.idempotent(), ms(10));
        assertEquals(33, window.size());
    }

    @Test
    void lateAnswerDoesNotNarrowTheWindowIfTheTypicalNodeIsFast() {
        ConcurrencyWindow window = window(3, 1);
        window.onAnswer(ms(600), PolicyFixture.idempotent(), ms(600));
        assertEquals(
                32,
                window.size(),
                "twice the typical latency is 400 ms, below the 500 ms from which answers are"
                        + " late");
    }
}
