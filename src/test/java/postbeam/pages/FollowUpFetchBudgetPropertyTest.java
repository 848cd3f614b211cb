package postbeam.pages;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class FollowUpFetchBudgetPropertyTest {
    private static final Duration WINDOW = Duration.ofSeconds(2);
    private static final double ROUNDING = 1e-9;

    /**
     * Follow-up fetches of a page raise the budget for extra attempts as queries do. The test
     * guards against a budget that is exceeded because these fetches raise it in some window by
     * more than was reserved.
     */
    @Property(tries = 200, seed = "1")
    void followUpFetchesStayWithinTheReservedAttemptsInEveryWindow(@ForAll long seed) {
        Random random = new Random(seed);
        double freeAttempts = random.nextInt(60);
        double budgetShare = 0.1 + random.nextDouble() / 2;
        FollowUpFetchBudget budget = new FollowUpFetchBudget(freeAttempts, budgetShare, WINDOW);
        assertTrue(budget.reservedAttempts() <= freeAttempts);
        List<Duration> started = new ArrayList<>();
        long nowMillis = 0;
        for (int i = 0; i < 400; i++) {
            nowMillis += random.nextInt(40);
            Duration now = Duration.ofMillis(nowMillis);
            int parts = 1 + random.nextInt(6);
            if (budget.tryAcquire(now, parts)) {
                started.addAll(Collections.nCopies(1 + parts, now));
            }
            long inWindow =
                    started.stream().filter(at -> at.compareTo(now.minus(WINDOW)) > 0).count();
            assertTrue(
                    budgetShare * inWindow <= budget.reservedAttempts() + ROUNDING,
                    inWindow
                            + " follow-up parts and queries in a window, reserved attempts: "
                            + budget.reservedAttempts());
        }
        assertTrue(freeAttempts < 10 || !started.isEmpty());
        assertTrue(
                new FollowUpFetchBudget(0, 0, null).tryAcquire(Duration.ZERO, 1000),
                "without a budget, follow-ups are not limited");
    }
}
