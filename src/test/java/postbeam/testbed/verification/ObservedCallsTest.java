package postbeam.testbed.verification;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postbeam.slices.KeyRange;
import postbeam.testbed.cluster.LoadGenerator;
import postbeam.testbed.cluster.ProcessCluster;

/**
 * What several processes wrote adds up to a verdict; each rule has a violation planted that only
 * the sum shows.
 */
class ObservedCallsTest {
    private static final KeyRange KEYS = new KeyRange(0, 1);
    private static final KeyRange OTHER = new KeyRange(1, 2);

    @TempDir private Path folder;
    private final ObservedCalls here = new ObservedCalls();
    private ObservedCalls.Node n0;
    private ObservedCalls.Node n1;

    @BeforeEach
    void stage() throws IOException {
        n0 = new ObservedCalls.Node(folder, "n0", System.nanoTime());
        n1 = new ObservedCalls.Node(folder, "n1", System.nanoTime());
        here.add(Duration.ZERO, to -> to.onLayout(ProcessCluster.fixed(8)));
    }

    private static Duration at(long ms) {
        return Duration.ofMillis(ms);
    }

    private void asks(long ms, String query, String router, InvariantChecker.Kind kind) {
        here.querySent(
                at(ms),
                query,
                router,
                kind,
                1,
                0.5,
                LoadGenerator.FIXED,
                List.of(
                        new InvariantChecker.RequestedSlice(0, KEYS, 0.4),
                        new InvariantChecker.RequestedSlice(1, OTHER, 0.6)),
                at(ms + 3000));
    }

    private static void runs(
            ObservedCalls.Node node, String name, long ms, String query, KeyRange keys) {
        node.called(at(ms), name, query, query + "." + keys.from(), keys, 0, ProcessCluster.WORK);
        node.ran(at(ms + 1), query, query + "." + keys.from(), keys);
    }

    private void answers(long ms, String query, boolean whole, KeyRange... in) {
        here.answered(
                at(ms),
                query,
                whole,
                LoadGenerator.FIXED,
                List.of(in).stream()
                        .map(
                                keys ->
                                        new InvariantChecker.Value(
                                                keys, InvariantChecker.valueOf(query, keys)))
                        .toList());
    }

    private List<String> broken() throws IOException {
        InvariantChecker checker = ProcessCluster.referee(ProcessCluster.STRICT);
        here.tell(checker, folder, at(60_000));
        return checker.violations();
    }

    private void breaks(int rule, String what) throws IOException {
        List<String> broken = broken();
        assertTrue(
                broken.stream()
                        .anyMatch(line -> line.startsWith("rule " + rule) && line.contains(what)),
                broken.toString());
    }

    @Test
    void aGoodRunIsWithoutFault() throws IOException {
        asks(0, "q1", "r0", InvariantChecker.Kind.SIDE_EFFECTING);
        runs(n0, "n0", 10, "q1", KEYS);
        runs(n1, "n1", 9, "q1", OTHER);
        answers(50, "q1", true, KEYS, OTHER);
        // A line that a killed process left half.
        Files.writeString(folder.resolve("n1.seen"), "called 17 n1 q", StandardOpenOption.APPEND);
        assertEquals(List.of(), broken());
    }

    @Test
    void rule1NoAnswerTwoAnswersAndALateOne() throws IOException {
        asks(0, "q1", "r0", InvariantChecker.Kind.REPEATABLE);
        breaks(1, "no answer");
        here.unanswered(at(40), "q1", "a closed connection");
        breaks(1, "no answer; its client saw after 40 ms: a closed connection");
        answers(50, "q1", false, OTHER);
        answers(60, "q1", false, OTHER);
        breaks(1, "second final answer");
        asks(0, "q2", "r0", InvariantChecker.Kind.REPEATABLE);
        answers(4100, "q2", false, OTHER);
        breaks(1, "after the client's time");
    }

    /**
     * What a killed or stopped router had taken is no longer its to answer; what it takes once it
     * is back is.
     */
    @Test
    void rule1HoldsForRoutersThatRun() throws IOException {
        asks(0, "q1", "r0", InvariantChecker.Kind.REPEATABLE);
        here.add(at(10), to -> to.routerAway("r0"));
        asks(20, "q2", "r0", InvariantChecker.Kind.REPEATABLE);
        here.add(at(30), to -> to.routerBack("r0"));
        assertEquals(List.of(), broken());
        asks(40, "q3", "r0", InvariantChecker.Kind.REPEATABLE);
        breaks(1, "no answer");
    }

    @Test
    void rule2ASideEffectRunAtTwoNodesOrAfterARejection() throws IOException {
        asks(0, "q1", "r0", InvariantChecker.Kind.SIDE_EFFECTING);
        runs(n0, "n0", 10, "q1", KEYS);
        runs(n1, "n1", 300, "q1", KEYS);
        breaks(2, "have run twice");
        asks(0, "q2", "r0", InvariantChecker.Kind.SIDE_EFFECTING);
        here.rejected(at(5), "q2");
        runs(n1, "n1", 10, "q2", KEYS);
        breaks(2, "rejected as never run");
    }

    @Test
    void rule3ACallToANodeThatDrains() throws IOException {
        here.add(at(0), to -> to.onDrainingChanged(at(0), "n0", true));
        asks(2900, "q1", "r0", InvariantChecker.Kind.REPEATABLE);
        runs(n0, "n0", 2950, "q1", KEYS);
        answers(3010, "q1", false, KEYS, OTHER);
        assertEquals(List.of(), broken());
        asks(3000, "q2", "r0", InvariantChecker.Kind.REPEATABLE);
        runs(n0, "n0", 3100, "q2", KEYS);
        breaks(3, "drains");
    }

    /**
     * Five routers with eight calls each in a second: 0.8 s of work is what a cold node may be sent
     * in one.
     */
    @Test
    void rule4TheSumOverRoutersIsMoreThanAColdNodeMayBeSent() throws IOException {
        n0.nodeStarted(at(1000), "n0");
        for (int i = 0; i < 50; i++) {
            asks(1000, "q" + i, "r" + i % 5, InvariantChecker.Kind.REPEATABLE);
            runs(n0, "n0", 1001 + 2 * i, "q" + i, KEYS);
            answers(1500, "q" + i, false, KEYS, OTHER);
            if (i == 38) {
                assertEquals(
                        List.of(),
                        broken().stream().filter(line -> line.startsWith("rule 4")).toList());
            }
        }
        breaks(4, "cold node n0");
    }

    @Test
    void rule5UnderTheFloorAWrongMarkAndAValueOfNobody() throws IOException {
        asks(0, "q1", "r0", InvariantChecker.Kind.REPEATABLE);
        answers(10, "q1", false, KEYS);
        breaks(5, "under the floor");
        asks(0, "q2", "r0", InvariantChecker.Kind.REPEATABLE);
        answers(10, "q2", true, OTHER);
        breaks(5, "marked whole");
        asks(0, "q3", "r0", InvariantChecker.Kind.REPEATABLE);
        here.answered(
                at(10),
                "q3",
                false,
                LoadGenerator.FIXED,
                List.of(new InvariantChecker.Value(OTHER, "made up")));
        breaks(5, "no node made");
    }

    @Test
    void rule6MoreFurtherCallsThanTheBudgetOfTheirRouter() throws IOException {
        asks(0, "q1", "r0", InvariantChecker.Kind.REPEATABLE);
        for (int i = 0; i < 60; i++) {
            n0.called(at(10 + i), "n0", "q1", "q1.0", KEYS, 0, ProcessCluster.WORK);
        }
        breaks(6, "further calls");
    }
}
