package postbeam.testbed.verification;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Slice;

/** Which answers the checker holds to be honest. */
class InvariantCheckerTest {
    private static final Duration START = Duration.ZERO;

    private final Layout layout = Layout.initial(3, List.of("a", "b", "c"), 1);

    private List<String> violations(
            boolean complete, double need, double floor, int answered, double... weights) {
        InvariantChecker.Rules rules =
                new InvariantChecker.Rules(0, null, 0, Duration.ZERO, 0, 0, 0, null, Duration.ZERO);
        InvariantChecker checker = new InvariantChecker(rules, Duration.ZERO, Duration.ZERO);
        checker.onLayout(layout);
        List<InvariantChecker.RequestedSlice> requested = new ArrayList<>();
        List<InvariantChecker.Value> values = new ArrayList<>();
        for (int slice = 0; slice < weights.length; slice++) {
            KeyRange keys = keys(slice);
            requested.add(new InvariantChecker.RequestedSlice(slice, keys, weights[slice]));
            if (slice < answered) {
                values.add(new InvariantChecker.Value(keys, InvariantChecker.valueOf("q", keys)));
            }
        }
        checker.querySent(
                START,
                "q",
                "r1",
                InvariantChecker.Kind.REPEATABLE,
                need,
                floor,
                layout.version,
                requested,
                Duration.ofSeconds(1));
        checker.answered(START, "q", complete, layout.version, values);
        return checker.violations();
    }

    private KeyRange keys(int slice) {
        Slice found = layout.slice(slice);
        return found.keys();
    }

    /** Guards against a checker that is blind to what weighs less than its tolerance. */
    @Test
    void completeMarkWithoutALightSliceIsAViolation() {
        assertEquals(1, violations(true, 1, 1e-9, 1, 1 - 1e-6, 1e-6).size());
        assertEquals(List.of(), violations(true, 1, 1e-9, 2, 1 - 1e-6, 1e-6));
    }

    @Test
    void answerBelowItsFloorIsAViolation() {
        assertEquals(1, violations(false, 1, 0.5, 1, 0.49999, 0.50001).size());
        assertEquals(List.of(), violations(false, 1, 0.5, 1, 0.5, 0.5));
    }

    @Test
    void weightsWithFewDigitsCountByTheirOwnSum() {
        assertEquals(List.of(), violations(true, 2.0 / 3, 2.0 / 3, 2, 0.333, 0.333, 0.333));
        assertEquals(2, violations(true, 2.0 / 3, 2.0 / 3, 1, 0.333, 0.333, 0.333).size());
    }
}
