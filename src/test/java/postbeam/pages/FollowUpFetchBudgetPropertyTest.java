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
     * The budget for extra attempts holds in every window, as the reserve makes up for what
     * follow-ups add to it.
     */
    @Property(tries = 200, seed = "1")
    void followUpsStayWithinTheReservedAttemptsInEveryWindow(@ForAll long seed) {
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
                    inWindow + " of " + budget.reservedAttempts());
        }
        assertTrue(freeAttempts < 10 || !started.isEmpty());
        assertTrue(
                new FollowUpFetchBudget(0, 0, null).tryAcquire(Duration.ZERO, 1000),
                "there is no budget");
    }
}
