package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static postbeam.policy.PolicyFixture.DEADLINE;
import static postbeam.policy.PolicyFixture.OBJECTIVE;
import static postbeam.policy.PolicyFixture.ms;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import postbeam.model.AttemptOutcome;
import postbeam.model.Query;
import postbeam.model.QueryClass;

class ClientRetryEstimatorTest {
    private final PolicyFixture fixture = new PolicyFixture(3, true);
    private final QueryClass queryClass =
            PolicyFixture.idempotent().toBuilder().totalClientTimeout(DEADLINE).build();

    @Test
    void objectiveOfAClientRetryWithAShorterTimeoutCountsFromItsFirstRequest() {
        Query first = fixture.start(queryClass, 1);
        assertEquals(OBJECTIVE, first.sloDeadline());
        fixture.end(ms(10), fixture.sent.get(0), AttemptOutcome.SUCCESS);
        Query withShorterTimeout = retry(ms(100), ms(3000));
        assertEquals(
                ms(3100).minus(DEADLINE).plus(OBJECTIVE),
                withShorterTimeout.sloDeadline(),
                "the first request was sent 3 s before the retry");
        Query withFullTimeout = retry(ms(100), DEADLINE);
        assertEquals(
                ms(100).plus(OBJECTIVE),
                withFullTimeout.sloDeadline(),
                "a full timeout does not show when the first request was sent");
    }

    private Query retry(Duration now, Duration timeout) {
        Query query = new Query(queryClass, null, now, now.plus(timeout));
        query.markClientRetry();
        fixture.policy.onQuery(now, query);
        return query;
    }
}
