package postbeam.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static postbeam.policy.PolicyFixture.ms;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    @Test
    void retriesStayWithinTheBudget() {
        RetryBudget budget = new RetryBudget(1.0, 0.1, ms(10_000));
        for (int i = 0; i < 10; i++) {
            budget.recordRequest(ms(0));
        }
        budget.recordRetry(ms(100));
        assertTrue(budget.allowsRetry(ms(200)));
        budget.recordRetry(ms(200));
        assertFalse(budget.allowsRetry(ms(300)));
    }

    @Test
    void retriesAreNotLimitedWithoutAWindow() {
        RetryBudget budget = new RetryBudget(null, null, null);
        budget.recordRetry(ms(0));
        assertTrue(budget.allowsRetry(ms(0)));
    }
}
