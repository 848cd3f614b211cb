package postbeam.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
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
import postbeam.clients.ClientLimits;
import postbeam.clients.QueryServer;
import postbeam.config.InstanceSettings;
import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.dispatch.PendingQuery;
import postbeam.dispatch.QueryAction;
import postbeam.dispatch.ReusedRequestIdException;
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointUpdate;
import postbeam.json.Json;
import postbeam.model.AttemptOutcome;
import postbeam.model.Readiness;
import postbeam.slices.UnroutableQueryException;

class PolicyExecutorTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final byte[] VALUE = {'v'};

    private final PolicyExecutor executor;
    private final BlockingQueue<QueryAction> backgroundActions = new LinkedBlockingQueue<>();
    private final Thread backgroundThread =
            new Thread(
                    () -> {
                        try {
                            while (true) {
                                backgroundActions.addAll(executor().awaitBackgroundActions());
                            }
                        } catch (InterruptedException e) {
                            // The test has ended.
                        }
                    });

    PolicyExecutorTest() throws IOException {
        executor =
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
        executor.onEndpointUpdate(
                new EndpointUpdate(
                        1,
                        true,
                        List.of(new Endpoint("n1", "a", 0, 0, Readiness.READY)),
                        Map.of("n1", "127.0.0.1:1")));
    }

    private InFlightQuery accept(ClientRequest clientRequest, Duration age) {
        try {
            return executor.accept(clientRequest, age).orElse(null);
        } catch (UnroutableQueryException | ReusedRequestIdException e) {
            throw new AssertionError("the shards are fixed and the id is new", e);
        }
    }

    private PolicyExecutor executor() {
        return executor;
    }

    @BeforeEach
    void startBackgroundThread() {
        backgroundThread.start();
    }

    @AfterEach
    void stopBackgroundThread() throws InterruptedException {
        backgroundThread.interrupt();
        backgroundThread.join();
    }

    private static ClientRequest request(
            String id, String queryClass, Duration timeout, int shardCount) {
        List<ClientRequest.RequestedShard> shards = new ArrayList<>();
        for (int i = 0; i < shardCount; i++) {
            shards.add(new ClientRequest.RequestedShard(i, 1.0 / shardCount, null));
        }
        return new ClientRequest(id, queryClass, null, timeout, shards, VALUE);
    }

    private QueryAction awaitAction(InFlightQuery query) {
        return assertTimeoutPreemptively(Duration.ofSeconds(20), () -> executor.awaitAction(query));
    }

    private QueryAction.Send awaitSend(InFlightQuery query) {
        return assertInstanceOf(QueryAction.Send.class, awaitAction(query));
    }

    @Test
    void attemptsOfOneDecisionAreSentInBatchesOfLimitedSize() {
        InFlightQuery query = accept(request("a", "lookup", TIMEOUT, 3), Duration.ZERO);
        assertEquals(
                List.of("a.0", "a.1"),
                awaitSend(query).attempts().stream().map(attempt -> attempt.id).toList());
        assertEquals(
                List.of("a.2"),
                awaitSend(query).attempts().stream().map(attempt -> attempt.id).toList());
    }

    @Test
    void answerIsCompleteOnceAllShardsAreAnswered() {
        InFlightQuery query = accept(request("a", "lookup", TIMEOUT, 2), Duration.ZERO);
        executor.onAttemptResults(
                awaitSend(query).attempts().stream()
                        .map(attempt -> new AttemptResult(attempt, AttemptOutcome.SUCCESS, VALUE))
                        .toList());
        QueryAction.Answer answer = assertInstanceOf(QueryAction.Answer.class, awaitAction(query));
        assertTrue(answer.complete());
        assertEquals(
                List.of(0, 1),
                answer.values().stream().map(QueryAction.ShardValue::shard).toList());
        assertEquals(VALUE, answer.values().get(0).payload());
    }

    @Test
    void secondResultOfAnAttemptIsIgnored() {
        InFlightQuery query = accept(request("a", "lookup", TIMEOUT, 2), Duration.ZERO);
        DispatchedAttempt attempt = awaitSend(query).attempts().get(0);
        executor.onAttemptResults(
                List.of(
                        new AttemptResult(attempt, AttemptOutcome.SUCCESS, VALUE),
                        new AttemptResult(attempt, AttemptOutcome.SUCCESS, VALUE)));
        executor.clientDisconnected(query);
        assertInstanceOf(QueryAction.CancelAttempt.class, awaitAction(query));
        assertInstanceOf(QueryAction.ClientDisconnected.class, awaitAction(query));
    }

    @Test
    void attemptsOfEndedQueryAreAbandonedAtOnce() {
        InFlightQuery query = accept(request("a", "lookup", TIMEOUT, 1), Duration.ZERO);
        DispatchedAttempt attempt = awaitSend(query).attempts().get(0);
        executor.clientDisconnected(query);
        assertTrue(attempt.isAbandoned());
    }

    @Test
    void queryWithIdInFlightIsNotAccepted() {
        InFlightQuery query = accept(request("a", "lookup", TIMEOUT, 1), Duration.ZERO);
        assertNull(accept(request("a", "lookup", TIMEOUT, 1), Duration.ZERO));
        executor.clientDisconnected(query);
        assertReusedIdIsRejected("a");
    }

    private void assertReusedIdIsRejected(String id) {
        assertThrows(
                ReusedRequestIdException.class,
                () -> executor.accept(request(id, "hold", TIMEOUT, 1), Duration.ZERO));
    }

    /** Guards against the response to an earlier query's attempt being taken for a later query. */
    @Test
    void idOfAttemptedQueryIsRejectedHoweverTheQueryEnded() {
        InFlightQuery answered = accept(request("answered", "hold", TIMEOUT, 1), Duration.ZERO);
        DispatchedAttempt attempt = awaitSend(answered).attempts().get(0);
        executor.onAttemptResults(
                List.of(new AttemptResult(attempt, AttemptOutcome.SUCCESS, VALUE)));
        assertInstanceOf(QueryAction.Answer.class, awaitAction(answered));
        assertReusedIdIsRejected("answered");
        InFlightQuery aborted =
                accept(request("aborted", "hold", Duration.ofMillis(200), 1), Duration.ZERO);
        awaitSend(aborted);
        assertInstanceOf(QueryAction.CancelAttempt.class, awaitAction(aborted));
        assertInstanceOf(QueryAction.Abort.class, awaitAction(aborted));
        assertReusedIdIsRejected("aborted");
    }

    /** A query for which no attempt was made has no effect, and its id may come again. */
    @Test
    void idOfQueryWithoutAttemptsIsAccepted() {
        executor.onEndpointUpdate(
                new EndpointUpdate(
                        2,
                        true,
                        List.of(new Endpoint("n1", "a", 0, 0, Readiness.DRAINING)),
                        Map.of("n1", "127.0.0.1:1")));
        InFlightQuery query = accept(request("a", "hold", TIMEOUT, 1), Duration.ZERO);
        executor.clientDisconnected(query);
        assertNotNull(accept(request("a", "hold", TIMEOUT, 1), Duration.ZERO));
    }

    @Test
    void policyFailureAbortsOnlyTheQueryThatCausedIt() {
        InFlightQuery healthy = accept(request("a", "lookup", TIMEOUT, 1), Duration.ZERO);
        InFlightQuery failing = accept(request("b", "unknown class", TIMEOUT, 1), Duration.ZERO);
        assertInstanceOf(QueryAction.Abort.class, awaitAction(failing));
        executor.onAttemptResults(
                List.of(
                        new AttemptResult(
                                awaitSend(healthy).attempts().get(0),
                                AttemptOutcome.SUCCESS,
                                VALUE)));
        assertInstanceOf(QueryAction.Answer.class, awaitAction(healthy));
    }

    @Test
    void queryAgeReducesTheRemainingTimeout() {
        InFlightQuery query = accept(request("a", "hold", TIMEOUT, 1), Duration.ofSeconds(3));
        assertTrue(awaitSend(query).attempts().get(0).remainingMillis() <= 2000);
    }

    @Test
    void queryIsAbortedAtItsDeadline() {
        long start = System.nanoTime();
        InFlightQuery query =
                accept(request("a", "hold", Duration.ofMillis(400), 1), Duration.ZERO);
        awaitSend(query);
        QueryAction action = awaitAction(query);
        while (action instanceof QueryAction.CancelAttempt) {
            action = awaitAction(query);
        }
        assertInstanceOf(QueryAction.Abort.class, action);
        assertTrue(System.nanoTime() - start >= 100_000_000);
    }

    @Test
    void failingNodeIsCheckedAgainAfterHealthCheckTimeout() {
        InFlightQuery query = accept(request("a", "lookup", TIMEOUT, 1), Duration.ZERO);
        executor.onAttemptResults(
                List.of(
                        new AttemptResult(
                                awaitSend(query).attempts().get(0), AttemptOutcome.RESET)));
        accept(request("b", "hold", TIMEOUT, 1), Duration.ZERO);
        QueryAction.HealthCheck first =
                assertInstanceOf(QueryAction.HealthCheck.class, awaitHealthCheck());
        assertEquals("127.0.0.1:1", first.address());
        assertInstanceOf(QueryAction.HealthCheck.class, awaitHealthCheck());
    }

    private QueryAction awaitHealthCheck() {
        return assertTimeoutPreemptively(
                Duration.ofSeconds(20),
                () -> {
                    QueryAction action = backgroundActions.take();
                    while (!(action instanceof QueryAction.HealthCheck)) {
                        action = backgroundActions.take();
                    }
                    return action;
                });
    }

    @Test
    void newNodeReceivesAttemptsOnceItIsListed() {
        executor.onEndpointUpdate(new EndpointUpdate(2, true, List.of(), Map.of()));
        InFlightQuery query = accept(request("a", "lookup", TIMEOUT, 1), Duration.ZERO);
        executor.onEndpointUpdate(
                new EndpointUpdate(
                        3,
                        true,
                        List.of(new Endpoint("n2", "a", 0, 0, Readiness.READY)),
                        Map.of("n2", "127.0.0.1:2")));
        assertEquals("127.0.0.1:2", awaitSend(query).address());
    }

    @Test
    void endedAttemptLeavesNoTimer() throws InterruptedException {
        InFlightQuery query = accept(request("a", "hold", Duration.ofDays(1), 1), Duration.ZERO);
        executor.onAttemptResults(
                List.of(
                        new AttemptResult(
                                awaitSend(query).attempts().get(0),
                                AttemptOutcome.SUCCESS,
                                VALUE)));
        assertInstanceOf(QueryAction.Answer.class, awaitAction(query));
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (executor.pendingTimers() > 0 && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        assertEquals(0, executor.pendingTimers());
    }

    @Test
    void eventsWithinAPauseAreDecidedOnTogether() {
        List<InFlightQuery> queries = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            queries.add(accept(request("q" + i, "lookup", TIMEOUT, 10), Duration.ZERO));
        }
        assertTrue(
                executor.decisionCount() < 200,
                executor.decisionCount() + " decisions for 200 queries");
        awaitSend(queries.get(0));
    }

    @Test
    void warmUpAnswersItsQueriesAndLeavesNothingToSend() {
        int answered = new JitWarmUp(executor, "a", 1, List.of("lookup", "hold"), null, 4).run();
        assertTrue(answered > 100, answered + " queries answered");
        executor.runDueTimers();
        assertTrue(backgroundActions.stream().noneMatch(QueryAction.Send.class::isInstance));
    }

    @Test
    void warmUpThroughServerSubmitsEachRequest() throws Exception {
        XnioWorker worker =
                Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        JitWarmUp warmUp = new JitWarmUp(executor, "a", 1, List.of("lookup"), null, 4);
        AtomicInteger accepted = new AtomicInteger();
        QueryServer server =
                new QueryServer(
                        worker,
                        null,
                        new QueryServer.QueryHandler() {
                            @Override
                            public PendingQuery submit(ClientRequest clientRequest, Duration age) {
                                accepted.incrementAndGet();
                                return warmUp.submit(clientRequest, age);
                            }

                            @Override
                            public boolean isReady() {
                                return false;
                            }
                        },
                        new HashMap<>(Collections.singletonMap("lookup", null)),
                        Set.of(),
                        4,
                        new ClientLimits(1, 1 << 20));
        server.warmUp(warmUp::encodeHttpRequest, 20, TIMEOUT);
        server.stop();
        worker.shutdownNow();
        assertEquals(20, accepted.get());
    }
}
