package postbeam.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Checks when a share of a query's weight is reached, for all weights that a client may send. */
class QueryWeightsPropertyTest {
    private static final int CASES = 2000;
    private static final int MANY_REQUESTS = 100_000;
    private static final double MIN_WEIGHT_EXPONENT = -15;

    private final Random random = new Random(11);

    private static Query query(double requiredWeight, double... weights) {
        QueryClass queryClass =
                QueryClass.builder(Duration.ofSeconds(1), SideEffects.IDEMPOTENT)
                        .weights(requiredWeight, requiredWeight)
                        .build();
        Query query = new Query(queryClass, null, Duration.ZERO, Duration.ofSeconds(3));
        for (int shard = 0; shard < weights.length; shard++) {
            new ShardRequest(query, shard, weights[shard], null);
        }
        return query;
    }

    /**
     * Returns weights from 1e-15 to 1 whose sum differs from 1 by up to as much as the codec
     * accepts.
     */
    private double[] weights(int count) {
        double[] weights = new double[count];
        for (int i = 0; i < count; i++) {
            weights[i] = Math.pow(10, MIN_WEIGHT_EXPONENT * random.nextDouble());
        }
        double targetSum = 0.995 + 0.01 * random.nextDouble();
        double sum = Arrays.stream(weights).sum();
        return Arrays.stream(weights).map(weight -> weight * targetSum / sum).toArray();
    }

    private void answerSome(Query query) {
        double share = random.nextDouble();
        query.shardRequests.stream()
                .filter(request -> random.nextDouble() < share)
                .forEach(ShardRequest::markAnswered);
    }

    private static boolean isComplete(Query query) {
        return query.isCoveredBy(ShardRequest::isAnswered, query.queryClass().requiredWeight);
    }

    private static BigDecimal exactWeightSum(Query query, boolean includeUnanswered) {
        return query.shardRequests.stream()
                .filter(request -> includeUnanswered || request.isAnswered())
                .map(request -> new BigDecimal(request.weight))
                .reduce(BigDecimal.ZERO, BigDecimal::add);
    }

    @Test
    void shareOfOneRequiresAllRequestsWhateverTheirWeights() {
        for (int i = 0; i < CASES; i++) {
            Query query = query(1, weights(1 + random.nextInt(20)));
            answerSome(query);
            boolean all = query.shardRequests.stream().allMatch(ShardRequest::isAnswered);
            assertEquals(all, isComplete(query));
            assertEquals(all, query.requestsNeeded() == 0);
        }
    }

    @Test
    void shareOfOneIsIncompleteWithoutOneOfManyRequests() {
        Query query = query(1, weights(MANY_REQUESTS));
        query.shardRequests.subList(1, MANY_REQUESTS).forEach(ShardRequest::markAnswered);
        assertFalse(isComplete(query));
        assertEquals(1, query.requestsNeeded());
    }

    @Test
    void subsetIsCompleteOnceItsExactWeightIsReached() {
        for (int i = 0; i < CASES; i++) {
            double share = random.nextDouble();
            int count = 1 + random.nextInt(20);
            Query query = query(share, weights(count));
            answerSome(query);
            BigDecimal required = new BigDecimal(share).multiply(exactWeightSum(query, true));
            BigDecimal missing = required.subtract(exactWeightSum(query, false));
            // The tolerance is twice the rounding error that the query allows for: the error occurs
            // once before and once after the query subtracts its allowance.
            double roundingError = 2 * (count + 2) * Math.ulp(1.0);
            if (missing.signum() <= 0) {
                assertTrue(isComplete(query), () -> "expected complete, missing weight " + missing);
            } else if (missing.doubleValue() > roundingError) {
                assertFalse(
                        isComplete(query), () -> "expected incomplete, missing weight " + missing);
            }
            assertEquals(isComplete(query), query.requestsNeeded() == 0);
        }
    }

    @Test
    void shareOfRequestsWithEqualWeightsIsReachedByTheirNumber() {
        for (int count : new int[] {1, 2, 3, 7, 9, 12, 100, 1000, MANY_REQUESTS}) {
            // This is the weight, written with as few digits as the codec accepts.
            double weight = Math.round(1e8 / count) / 1e8;
            for (int needed = 1; needed <= count; needed += 1 + count / 50) {
                Query query = query((double) needed / count, equalWeights(count, weight));
                query.shardRequests.subList(0, needed - 1).forEach(ShardRequest::markAnswered);
                assertEquals(
                        1,
                        query.requestsNeeded(),
                        needed + " of " + count + " requests are required");
                assertFalse(isComplete(query), needed + " of " + count + " requests are required");
                query.shardRequests.get(needed - 1).markAnswered();
                assertEquals(
                        0,
                        query.requestsNeeded(),
                        needed + " of " + count + " requests are required");
                assertTrue(isComplete(query), needed + " of " + count + " requests are required");
            }
        }
    }

    private static double[] equalWeights(int count, double weight) {
        double[] weights = new double[count];
        Arrays.fill(weights, weight);
        return weights;
    }

    @Test
    void allRequestsTogetherCoverEveryShare() {
        for (int i = 0; i < CASES; i++) {
            double share = i % 10 == 0 ? 1 : random.nextDouble();
            Query query = query(share, weights(1 + random.nextInt(200)));
            assertTrue(query.isCoveredBy(request -> true, share));
        }
    }

    @Test
    void requestsWithZeroWeightAreAllNeeded() {
        Query query = query(0.5, 0, 0);
        assertFalse(isComplete(query));
        assertEquals(2, query.requestsNeeded());
        query.shardRequests.forEach(ShardRequest::markAnswered);
        assertTrue(isComplete(query));
        assertEquals(0, query.requestsNeeded());
    }
}
