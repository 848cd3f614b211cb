package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static postbeam.policy.PolicyFixture.ms;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import postbeam.model.AttemptOutcome;
import postbeam.model.Query;
import postbeam.model.QueryClass;
import postbeam.model.ShardRequest;
import postbeam.model.SideEffects;

/** Checks when an answer is marked complete, for weights of any size and with any sum. */
class AnswerCompletenessTest {
    private final PolicyFixture fixture = new PolicyFixture(3, true);

    private Query arrive(QueryClass queryClass, double... weights) {
        Query query = new Query(queryClass, null, ms(0), PolicyFixture.DEADLINE);
        fixture.policy.onQuery(ms(0), query);
        for (int shard = 0; shard < weights.length; shard++) {
            fixture.policy.onShardRequest(
                    ms(0), new ShardRequest(query, shard, weights[shard], null));
        }
        return query;
    }

    private Query start(QueryClass queryClass, double... weights) {
        Query query = arrive(queryClass, weights);
        fixture.policy.onBatchEnd(ms(0));
        return query;
    }

    private void answer(int shard) {
        fixture.end(
                ms(100),
                fixture.sent.stream()
                        .filter(attempt -> attempt.shardRequest.shard == shard)
                        .findFirst()
                        .orElseThrow(),
                AttemptOutcome.SUCCESS);
        fixture.policy.onBatchEnd(ms(100));
    }

    private static double[] equalWeights(int count, double weight) {
        double[] weights = new double[count];
        Arrays.fill(weights, weight);
        return weights;
    }

    /**
     * Guards against an answer that is marked complete although a shard request is unanswered,
     * because its weight is so small that a tolerance in the comparison of weights covers it.
     */
    @ParameterizedTest
    @ValueSource(doubles = {4e-5, 1e-5, 1e-9, 1e-12, 1e-15})
    void answerWithoutARequestOfSmallWeightIsNotComplete(double smallWeight) {
        start(PolicyFixture.idempotent(), 1 - smallWeight, smallWeight);
        answer(0);
        assertEquals(List.of(), fixture.endings);
        answer(1);
        assertEquals(List.of("complete"), fixture.endings);
    }

    /**
     * Guards against an answer that is marked complete although a shard request of small weight is
     * unanswered, in a query class where a lower share of the weight is enough for a partial
     * answer.
     */
    @Test
    void answerAboveMinimumWeightWithoutARequestOfSmallWeightIsNotComplete() {
        start(PolicyFixture.queryClass(SideEffects.IDEMPOTENT, 1, 0.5), 1 - 1e-6, 1e-6);
        answer(0);
        assertEquals(List.of(), fixture.endings);
    }

    /**
     * Guards against an answer that is marked complete although one shard request is unanswered,
     * when a query has so many that each has a small weight.
     */
    @Test
    void answerWithoutOneOfManyRequestsIsNotComplete() {
        int count = 25_000;
        Query query = arrive(PolicyFixture.idempotent(), equalWeights(count, 1.0 / count));
        query.shardRequests.subList(1, count).forEach(ShardRequest::markAnswered);
        fixture.policy.onBatchEnd(ms(100));
        assertFalse(query.hasEnded());
    }

    /** Guards against a partial answer that reaches its minimum weight only by rounding. */
    @Test
    void queryJustBelowItsMinimumWeightGetsNoPartialAnswer() {
        start(PolicyFixture.queryClass(SideEffects.IDEMPOTENT, 1, 0.5), 0.49999, 0.50001);
        answer(0);
        fixture.policy.onBatchEnd(PolicyFixture.DEADLINE.minus(ms(10)));
        assertEquals(List.of("rejected"), fixture.endings);
    }

    /** Guards against the rejection of queries with weights that the codec accepts. */
    @ParameterizedTest
    @ValueSource(doubles = {0.3333, 0.333, 0.3349, 0.332})
    void queryWhoseWeightsDoNotSumToOneIsCompleteWithAllRequests(double weight) {
        start(PolicyFixture.idempotent(), equalWeights(3, weight));
        assertEquals(List.of(), fixture.endings);
        answer(0);
        answer(1);
        assertEquals(List.of(), fixture.endings);
        answer(2);
        assertEquals(List.of("complete"), fixture.endings);
    }

    /** Guards against subsets that are never complete with weights that the codec accepts. */
    @ParameterizedTest
    @ValueSource(doubles = {0.3333, 0.333, 0.3349, 0.332})
    void subsetIsCompleteIfTheWeightsDoNotSumToOne(double weight) {
        start(PolicyFixture.queryClass(SideEffects.IDEMPOTENT, 2.0 / 3), equalWeights(3, weight));
        answer(0);
        assertEquals(List.of(), fixture.endings);
        answer(1);
        assertEquals(List.of("complete"), fixture.endings);
    }

    /** Guards against a needed request that is never sent because the query counts as answered. */
    @Test
    void requestIsSentIfOnlyASmallWeightIsMissing() {
        Query query =
                arrive(PolicyFixture.queryClass(SideEffects.IDEMPOTENT, 0.5), 0.49999, 0.50001);
        query.shardRequests.get(0).markAnswered();
        fixture.policy.onBatchEnd(ms(100));
        assertEquals(Collections.emptyList(), fixture.endings);
        assertEquals(1, query.requestsNeeded());
        assertEquals(
                List.of(1), fixture.sent.stream().map(sent -> sent.shardRequest.shard).toList());
    }
}
