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
import postbeam.clients.QueryServer;
import postbeam.config.InstanceSettings;
import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.dispatch.PendingQuery;
import postbeam.dispatch.QueryAction;
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointUpdate;
import postbeam.json.Json;
import postbeam.model.AttemptOutcome;
import postbeam.model.Readiness;
import postbeam.slices.UnroutableQueryException;

class PolicyExecutorTest {
    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private static final byte[] VALUE = {'v'};

    private final PolicyExecutor decisions;
    private final BlockingQueue<QueryAction> errands = new LinkedBlockingQueue<>();
    private final Thread ticks =
            new Thread(
                    () -> {
                        try {
                            while (true) {
                                errands.addAll(decisions().awaitBackgroundActions());
                            }
                        } catch (InterruptedException e) {
                            // The test is over.
                        }
                    });

    PolicyExecutorTest() throws IOException {
        decisions =
                new PolicyExecutor(
                        new InstanceSettings(
                                Json.parseObject(
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
        decisions.onEndpointUpdate(
                new EndpointUpdate(
                        1,
                        true,
                        List.of(new Endpoint("n1", "a", 0, 0, Readiness.READY)),
                        Map.of("n1", "127.0.0.1:1")));
    }

    private InFlightQuery take(ClientRequest clientRequest, Duration age) {
        try {
            return decisions.accept(clientRequest, age).orElse(null);
        } catch (UnroutableQueryException e) {
            throw new AssertionError("no slices move here", e);
        }
    }

    private PolicyExecutor decisions() {
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

    private static ClientRequest asked(String id, String vertical, Duration patience, int parts) {
        List<ClientRequest.RequestedShard> list = new ArrayList<>();
        for (int i = 0; i < parts; i++) {
            list.add(new ClientRequest.RequestedShard(i, 1.0 / parts, null));
        }
        return new ClientRequest(id, vertical, null, patience, list, VALUE);
    }

    private QueryAction pick(InFlightQuery q) {
        return assertTimeoutPreemptively(Duration.ofSeconds(20), () -> decisions.awaitAction(q));
    }

    private QueryAction.Send send(InFlightQuery q) {
        return assertInstanceOf(QueryAction.Send.class, pick(q));
    }

    @Test
    void whatOneTurnSendsToANodeTravelsTogetherUpToTheLimit() {
        InFlightQuery q = take(asked("a", "lookup", PATIENCE, 3), Duration.ZERO);
        assertEquals(
                List.of("a.0", "a.1"), send(q).attempts().stream().map(call -> call.id).toList());
        assertEquals(List.of("a.2"), send(q).attempts().stream().map(call -> call.id).toList());
    }

    @Test
    void allPartsInMakeAWholeAnswerOfTheNodesValues() {
        InFlightQuery q = take(asked("a", "lookup", PATIENCE, 2), Duration.ZERO);
        decisions.onAttemptResults(
                send(q).attempts().stream()
                        .map(call -> new AttemptResult(call, AttemptOutcome.SUCCESS, VALUE))
                        .toList());
        QueryAction.Answer answer = assertInstanceOf(QueryAction.Answer.class, pick(q));
        assertTrue(answer.complete());
        assertEquals(
                List.of(0, 1),
                answer.values().stream().map(QueryAction.ShardValue::shard).toList());
        assertEquals(VALUE, answer.values().get(0).payload());
    }

    @Test
    void aCallThatIsReportedTwiceCountsOnce() {
        InFlightQuery q = take(asked("a", "lookup", PATIENCE, 2), Duration.ZERO);
        DispatchedAttempt call = send(q).attempts().get(0);
        decisions.onAttemptResults(
                List.of(
                        new AttemptResult(call, AttemptOutcome.SUCCESS, VALUE),
                        new AttemptResult(call, AttemptOutcome.SUCCESS, VALUE)));
        decisions.clientDisconnected(q);
        assertInstanceOf(QueryAction.CancelAttempt.class, pick(q));
        assertInstanceOf(QueryAction.ClientGone.class, pick(q));
    }

    @Test
    void whatIsOverIsMarkedSoBeforeItsLastStepIsGiven() {
        InFlightQuery q = take(asked("a", "lookup", PATIENCE, 1), Duration.ZERO);
        DispatchedAttempt call = send(q).attempts().get(0);
        decisions.clientDisconnected(q);
        assertTrue(call.abandoned());
    }

    @Test
    void anIdThatIsOpenIsNotTakenAgain() {
        InFlightQuery q = take(asked("a", "lookup", PATIENCE, 1), Duration.ZERO);
        assertNull(take(asked("a", "lookup", PATIENCE, 1), Duration.ZERO));
        decisions.clientDisconnected(q);
        assertNotNull(take(asked("a", "lookup", PATIENCE, 1), Duration.ZERO));
    }

    @Test
    void aFailureOfTheDecisionsAbortsItsQueryAndNoOther() {
        InFlightQuery sound = take(asked("a", "lookup", PATIENCE, 1), Duration.ZERO);
        InFlightQuery failing = take(asked("b", "no such vertical", PATIENCE, 1), Duration.ZERO);
        assertInstanceOf(QueryAction.Abort.class, pick(failing));
        decisions.onAttemptResults(
                List.of(
                        new AttemptResult(
                                send(sound).attempts().get(0), AttemptOutcome.SUCCESS, VALUE)));
        assertInstanceOf(QueryAction.Answer.class, pick(sound));
    }

    @Test
    void ageCountsAgainstTheClientsPatience() {
        InFlightQuery q = take(asked("a", "hold", PATIENCE, 1), Duration.ofSeconds(3));
        assertTrue(send(q).attempts().get(0).remainingMillis() <= 2000);
    }

    @Test
    void timeAloneEndsAQueryBeforeItsClientLeaves() {
        long start = System.nanoTime();
        InFlightQuery q = take(asked("a", "hold", Duration.ofMillis(400), 1), Duration.ZERO);
        send(q);
        QueryAction step = pick(q);
        while (step instanceof QueryAction.CancelAttempt) {
            step = pick(q);
        }
        assertInstanceOf(QueryAction.Abort.class, step);
        assertTrue(System.nanoTime() - start >= 100_000_000);
    }

    @Test
    void aFailingNodeIsProbedAndAProbeWithoutAnswerEnds() {
        InFlightQuery q = take(asked("a", "lookup", PATIENCE, 1), Duration.ZERO);
        decisions.onAttemptResults(
                List.of(new AttemptResult(send(q).attempts().get(0), AttemptOutcome.RESET)));
        take(asked("b", "hold", PATIENCE, 1), Duration.ZERO);
        QueryAction.HealthCheck first =
                assertInstanceOf(QueryAction.HealthCheck.class, nextProbe());
        assertEquals("127.0.0.1:1", first.address());
        assertInstanceOf(QueryAction.HealthCheck.class, nextProbe());
    }

    private QueryAction nextProbe() {
        return assertTimeoutPreemptively(
                Duration.ofSeconds(20),
                () -> {
                    QueryAction step = errands.take();
                    while (!(step instanceof QueryAction.HealthCheck)) {
                        step = errands.take();
                    }
                    return step;
                });
    }

    @Test
    void aNodeIsReachedFromTheTurnOnThatToldOfIt() {
        decisions.onEndpointUpdate(new EndpointUpdate(2, true, List.of(), Map.of()));
        InFlightQuery q = take(asked("a", "lookup", PATIENCE, 1), Duration.ZERO);
        decisions.onEndpointUpdate(
                new EndpointUpdate(
                        3,
                        true,
                        List.of(new Endpoint("n2", "a", 0, 0, Readiness.READY)),
                        Map.of("n2", "127.0.0.1:2")));
        assertEquals("127.0.0.1:2", send(q).address());
    }

    @Test
    void aCallThatHasEndedLeavesNothingThatWaits() throws InterruptedException {
        InFlightQuery q = take(asked("a", "hold", Duration.ofDays(1), 1), Duration.ZERO);
        decisions.onAttemptResults(
                List.of(
                        new AttemptResult(
                                send(q).attempts().get(0), AttemptOutcome.SUCCESS, VALUE)));
        assertInstanceOf(QueryAction.Answer.class, pick(q));
        long end = System.nanoTime() + PATIENCE.toNanos();
        while (decisions.pendingTimers() > 0 && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        assertEquals(0, decisions.pendingTimers());
    }

    @Test
    void whatComesWhileDecidingIsDearIsDecidedOnTogether() {
        List<InFlightQuery> all = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            all.add(take(asked("q" + i, "lookup", PATIENCE, 10), Duration.ZERO));
        }
        assertTrue(
                decisions.decisionCount() < 200,
                decisions.decisionCount() + " times for 200 queries");
        send(all.get(0));
    }

    @Test
    void aRehearsalAnswersItsQueriesAndLeavesNothingToSend() {
        int answered = new WarmUp(decisions, "a", 1, List.of("lookup", "hold"), null, 4).run();
        assertTrue(answered > 100, answered + " answered");
        decisions.runDueTimers();
        assertTrue(errands.stream().noneMatch(QueryAction.Send.class::isInstance));
    }

    @Test
    void aRehearsedDoorAnswersEachOfItsRequests() throws Exception {
        XnioWorker worker =
                Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        WarmUp rehearsal = new WarmUp(decisions, "a", 1, List.of("lookup"), null, 4);
        AtomicInteger taken = new AtomicInteger();
        QueryServer door =
                new QueryServer(
                        worker,
                        null,
                        new QueryServer.QueryHandler() {
                            @Override
                            public PendingQuery submit(ClientRequest clientRequest, Duration age) {
                                taken.incrementAndGet();
                                return rehearsal.submit(clientRequest, age);
                            }

                            @Override
                            public boolean isReady() {
                                return false;
                            }
                        },
                        new HashMap<>(Collections.singletonMap("lookup", null)),
                        Set.of(),
                        4,
                        1);
        door.warmUp(rehearsal::request, 20, PATIENCE);
        door.stop();
        worker.shutdownNow();
        assertEquals(20, taken.get());
    }
}
