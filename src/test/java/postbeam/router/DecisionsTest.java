package postbeam.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import postbeam.clients.ClientDoor;
import postbeam.dispatch.PendingQuery;
import postbeam.roster.Entry;
import postbeam.roster.Told;
import postbeam.setup.Info;
import postbeam.setup.Json;
import postbeam.slices.Unroutable;
import postbeam.state.Outcome;
import postbeam.state.Readiness;

class DecisionsTest {
    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private static final byte[] VALUE = {'v'};

    private final Decisions decisions;
    private final BlockingQueue<Step> errands = new LinkedBlockingQueue<>();
    private final Thread ticks =
            new Thread(
                    () -> {
                        try {
                            while (true) {
                                errands.addAll(decisions().tick());
                            }
                        } catch (InterruptedException e) {
                            // The test is over.
                        }
                    });

    DecisionsTest() throws IOException {
        decisions =
                new Decisions(
                        new Info(
                                Json.object(
                                        ("{\"zone\":\"a\",\"nInstances\":1,\"domain\":{\"cells\":1,\"reach\":1},"
                                             + "\"caps\":{\"maxAttempts\":3,\"mayDuplicate\":true,\"cancelling\":true,\"probes\":true},\"classes\":["
                                             + "{\"name\":\"lookup\",\"promise\":1000000,\"effect\":\"retryable\"},"
                                             + "{\"name\":\"hold\",\"promise\":1000000,\"effect\":\"fragile\",\"lateWorth\":0.1}]}")
                                                .getBytes(StandardCharsets.UTF_8)),
                                ""),
                        1,
                        2,
                        Duration.ofMillis(50),
                        null);
        decisions.listed(
                new Told(
                        1,
                        true,
                        List.of(new Entry("n1", "a", 0, 0, Readiness.READY)),
                        Map.of("n1", "127.0.0.1:1")));
    }

    private OpenQuery take(Asked asked, Duration age) {
        try {
            return decisions.take(asked, age);
        } catch (Unroutable e) {
            throw new AssertionError("no slices move here", e);
        }
    }

    private Decisions decisions() {
        return decisions;
    }

    @BeforeEach
    void startTicks() {
        ticks.start();
    }

    @AfterEach
    void stopTicks() throws InterruptedException {
        ticks.interrupt();
        ticks.join();
    }

    private static Asked asked(String id, String vertical, Duration patience, int parts) {
        List<Asked.AskedPart> list = new ArrayList<>();
        for (int i = 0; i < parts; i++) {
            list.add(new Asked.AskedPart(i, 1.0 / parts, null));
        }
        return new Asked(id, vertical, null, patience, list, VALUE);
    }

    private Step pick(OpenQuery q) {
        return assertTimeoutPreemptively(Duration.ofSeconds(20), () -> decisions.pick(q));
    }

    private Step.Send send(OpenQuery q) {
        return assertInstanceOf(Step.Send.class, pick(q));
    }

    @Test
    void whatOneTurnSendsToANodeTravelsTogetherUpToTheLimit() {
        OpenQuery q = take(asked("a", "lookup", PATIENCE, 3), Duration.ZERO);
        assertEquals(List.of("a.0", "a.1"), send(q).calls().stream().map(call -> call.id).toList());
        assertEquals(List.of("a.2"), send(q).calls().stream().map(call -> call.id).toList());
    }

    @Test
    void allPartsInMakeAWholeAnswerOfTheNodesValues() {
        OpenQuery q = take(asked("a", "lookup", PATIENCE, 2), Duration.ZERO);
        decisions.report(
                send(q).calls().stream()
                        .map(call -> new Ending(call, Outcome.MERGED, VALUE))
                        .toList());
        Step.Answer answer = assertInstanceOf(Step.Answer.class, pick(q));
        assertTrue(answer.whole());
        assertEquals(List.of(0, 1), answer.values().stream().map(Step.Value::shard).toList());
        assertEquals(VALUE, answer.values().get(0).text());
    }

    @Test
    void aCallThatIsReportedTwiceCountsOnce() {
        OpenQuery q = take(asked("a", "lookup", PATIENCE, 2), Duration.ZERO);
        Call call = send(q).calls().get(0);
        decisions.report(
                List.of(
                        new Ending(call, Outcome.MERGED, VALUE),
                        new Ending(call, Outcome.MERGED, VALUE)));
        decisions.left(q);
        assertInstanceOf(Step.GiveUp.class, pick(q));
        assertInstanceOf(Step.Over.class, pick(q));
    }

    @Test
    void whatIsOverIsMarkedSoBeforeItsLastStepIsGiven() {
        OpenQuery q = take(asked("a", "lookup", PATIENCE, 1), Duration.ZERO);
        Call call = send(q).calls().get(0);
        decisions.left(q);
        assertTrue(call.over());
    }

    @Test
    void anIdThatIsOpenIsNotTakenAgain() {
        OpenQuery q = take(asked("a", "lookup", PATIENCE, 1), Duration.ZERO);
        assertNull(take(asked("a", "lookup", PATIENCE, 1), Duration.ZERO));
        decisions.left(q);
        assertNotNull(take(asked("a", "lookup", PATIENCE, 1), Duration.ZERO));
    }

    @Test
    void aFailureOfTheDecisionsAbortsItsQueryAndNoOther() {
        OpenQuery sound = take(asked("a", "lookup", PATIENCE, 1), Duration.ZERO);
        OpenQuery failing = take(asked("b", "no such vertical", PATIENCE, 1), Duration.ZERO);
        assertInstanceOf(Step.Abort.class, pick(failing));
        decisions.report(List.of(new Ending(send(sound).calls().get(0), Outcome.MERGED, VALUE)));
        assertInstanceOf(Step.Answer.class, pick(sound));
    }

    @Test
    void ageCountsAgainstTheClientsPatience() {
        OpenQuery q = take(asked("a", "hold", PATIENCE, 1), Duration.ofSeconds(3));
        assertTrue(send(q).calls().get(0).millisLeft() <= 2000);
    }

    @Test
    void timeAloneEndsAQueryBeforeItsClientLeaves() {
        long start = System.nanoTime();
        OpenQuery q = take(asked("a", "hold", Duration.ofMillis(400), 1), Duration.ZERO);
        send(q);
        Step step = pick(q);
        while (step instanceof Step.GiveUp) {
            step = pick(q);
        }
        assertInstanceOf(Step.Abort.class, step);
        assertTrue(System.nanoTime() - start >= 100_000_000);
    }

    @Test
    void aFailingNodeIsProbedAndAProbeWithoutAnswerEnds() {
        OpenQuery q = take(asked("a", "lookup", PATIENCE, 1), Duration.ZERO);
        decisions.report(List.of(new Ending(send(q).calls().get(0), Outcome.RESET)));
        take(asked("b", "hold", PATIENCE, 1), Duration.ZERO);
        Step.Probe first = assertInstanceOf(Step.Probe.class, nextProbe());
        assertEquals("127.0.0.1:1", first.address());
        assertInstanceOf(Step.Probe.class, nextProbe());
    }

    private Step nextProbe() {
        return assertTimeoutPreemptively(
                Duration.ofSeconds(20),
                () -> {
                    Step step = errands.take();
                    while (!(step instanceof Step.Probe)) {
                        step = errands.take();
                    }
                    return step;
                });
    }

    @Test
    void aNodeIsReachedFromTheTurnOnThatToldOfIt() {
        decisions.listed(new Told(2, true, List.of(), Map.of()));
        OpenQuery q = take(asked("a", "lookup", PATIENCE, 1), Duration.ZERO);
        decisions.listed(
                new Told(
                        3,
                        true,
                        List.of(new Entry("n2", "a", 0, 0, Readiness.READY)),
                        Map.of("n2", "127.0.0.1:2")));
        assertEquals("127.0.0.1:2", send(q).address());
    }

    @Test
    void aCallThatHasEndedLeavesNothingThatWaits() throws InterruptedException {
        OpenQuery q = take(asked("a", "hold", Duration.ofDays(1), 1), Duration.ZERO);
        decisions.report(List.of(new Ending(send(q).calls().get(0), Outcome.MERGED, VALUE)));
        assertInstanceOf(Step.Answer.class, pick(q));
        long end = System.nanoTime() + PATIENCE.toNanos();
        while (decisions.waits() > 0 && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        assertEquals(0, decisions.waits());
    }

    @Test
    void whatComesWhileDecidingIsDearIsDecidedOnTogether() {
        List<OpenQuery> all = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            all.add(take(asked("q" + i, "lookup", PATIENCE, 10), Duration.ZERO));
        }
        assertTrue(decisions.ends() < 200, decisions.ends() + " times for 200 queries");
        send(all.get(0));
    }

    @Test
    void aRehearsalAnswersItsQueriesAndLeavesNothingToSend() {
        int answered = new Rehearsal(decisions, "a", 1, List.of("lookup", "hold"), null, 4).run();
        assertTrue(answered > 100, answered + " answered");
        decisions.due();
        assertTrue(errands.stream().noneMatch(Step.Send.class::isInstance));
    }

    @Test
    void aRehearsedDoorAnswersEachOfItsRequests() throws Exception {
        XnioWorker worker =
                Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        Rehearsal rehearsal = new Rehearsal(decisions, "a", 1, List.of("lookup"), null, 4);
        AtomicInteger taken = new AtomicInteger();
        ClientDoor door =
                new ClientDoor(
                        worker,
                        null,
                        new ClientDoor.Queries() {
                            @Override
                            public PendingQuery take(Asked asked, Duration age) {
                                taken.incrementAndGet();
                                return rehearsal.take(asked, age);
                            }

                            @Override
                            public boolean ready() {
                                return false;
                            }
                        },
                        new HashMap<>(Collections.singletonMap("lookup", null)),
                        Set.of(),
                        4,
                        1);
        door.rehearse(rehearsal::request, 20, PATIENCE);
        door.stop();
        worker.shutdownNow();
        assertEquals(20, taken.get());
    }
}
