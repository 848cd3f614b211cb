package postbeam.router;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import postbeam.clients.QueryServer;
import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.dispatch.PendingQuery;
import postbeam.dispatch.QueryAction;
import postbeam.dispatch.ReusedRequestIdException;
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointUpdate;
import postbeam.model.AttemptOutcome;
import postbeam.model.Readiness;
import postbeam.slices.UnroutableQueryException;

/**
 * Serves synthetic queries before the first client connects, so that the JVM has loaded and
 * compiled the code that serves queries. Without this, the queries of the first seconds would pile
 * up on a router that has only part of a core. First the queries run against the policy alone, then
 * through a client server that reads them from a pipe. Nothing is written to a socket, and the
 * executor is discarded afterwards.
 */
final class JitWarmUp implements QueryServer.QueryHandler {
    /** Maximum duration; it adds to the time for which a restarted router is unavailable. */
    private static final Duration MAX_DURATION = Duration.ofMillis(1500);

    /** After this many queries all code on the path of a query is compiled. */
    private static final int QUERIES = 600;

    /** Number of queries in flight, high enough that they compete for slots. */
    private static final int MAX_IN_FLIGHT = 24;

    private static final int MAX_SHARDS_PER_QUERY = 8;

    /** One in this many attempts fails, so that the code that handles failures is compiled too. */
    private static final int RESET_EVERY = 41;

    private static final int OVERLOADED_EVERY = 37;

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final byte[] PAYLOAD = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

    /** The body of a client's request for two shards. */
    private static final String BODY =
            "{\"ranges\":[{\"range\":0,\"portion\":0.5},{\"range\":1,\"portion\":0.5}],"
                    + "\"predicate\":\"c41e77d0\"}";

    private final PolicyExecutor executor;
    private final List<String> queryClasses;
    private final String tenant;
    private final int shards;
    private final Deque<InFlightQuery> inFlight = new ArrayDeque<>();
    private int attemptCount;

    /**
     * Creates a warm-up with one data node in each cell.
     *
     * @param executor used by nothing else, with shards that have fixed replicas
     * @param tenant null if the settings define none
     */
    JitWarmUp(
            PolicyExecutor executor,
            String zone,
            int cells,
            List<String> queryClasses,
            String tenant,
            int shards) {
        this.executor = executor;
        this.queryClasses = queryClasses;
        this.tenant = tenant;
        this.shards = shards;
        List<Endpoint> nodes = new ArrayList<>();
        Map<String, String> addresses = new LinkedHashMap<>();
        for (int cell = 0; cell < cells; cell++) {
            nodes.add(new Endpoint("n" + cell, zone, cell, 0, Readiness.READY));
            addresses.put("n" + cell, "127.0.0.1:1");
        }
        executor.onEndpointUpdate(new EndpointUpdate(1, true, nodes, addresses));
    }

    /**
     * Serves queries against the policy alone; returns how many were answered or ended otherwise.
     */
    int run() {
        long deadlineNanos = System.nanoTime() + MAX_DURATION.toNanos();
        int answered = 0;
        for (int i = 0; i < QUERIES && System.nanoTime() < deadlineNanos; i++) {
            accept(createRequest(i), Duration.ZERO).ifPresent(inFlight::add);
            while (inFlight.size() > MAX_IN_FLIGHT) {
                answered += advanceOldest();
            }
        }
        while (!inFlight.isEmpty() && System.nanoTime() < deadlineNanos) {
            answered += advanceOldest();
        }
        return answered;
    }

    private ClientRequest createRequest(int number) {
        int count = Math.min(shards, 1 + number % MAX_SHARDS_PER_QUERY);
        List<ClientRequest.RequestedShard> requested = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            requested.add(
                    new ClientRequest.RequestedShard((number + i) % shards, 1.0 / count, null));
        }
        String queryClass = queryClasses.get(number % queryClasses.size());
        return new ClientRequest("r" + number, queryClass, tenant, TIMEOUT, requested, PAYLOAD);
    }

    /** Advances the query that has waited longest; returns 1 if it has ended, otherwise 0. */
    private int advanceOldest() {
        InFlightQuery query = inFlight.remove();
        if (advance(query) != null) {
            return 1;
        }
        inFlight.add(query);
        return 0;
    }

    /** Carries out the query's actions; returns the final one, or null if it is not decided yet. */
    private QueryAction advance(InFlightQuery query) {
        executor.runDueTimers();
        QueryAction action = executor.pollAction(query);
        while (action != null) {
            if (action instanceof QueryAction.Send send) {
                executor.onAttemptResults(
                        send.attempts().stream().map(this::simulateResult).toList());
            } else if (!(action instanceof QueryAction.CancelAttempt)) {
                return action;
            }
            action = executor.pollAction(query);
        }
        return null;
    }

    private AttemptResult simulateResult(DispatchedAttempt attempt) {
        attemptCount++;
        AttemptOutcome outcome = AttemptOutcome.SUCCESS;
        if (attemptCount % RESET_EVERY == 0) {
            outcome = AttemptOutcome.RESET;
        } else if (attemptCount % OVERLOADED_EVERY == 0) {
            outcome = AttemptOutcome.OVERLOADED;
        }
        return new AttemptResult(attempt, outcome, PAYLOAD);
    }

    private Optional<InFlightQuery> accept(ClientRequest request, Duration age) {
        try {
            return executor.accept(request, age);
        } catch (UnroutableQueryException | ReusedRequestIdException e) {
            throw new IllegalStateException(
                    "a warm-up query was rejected although its shards are fixed and its id is new",
                    e);
        }
    }

    // ---- through a client server that reads requests from a pipe

    /** Encodes an HTTP request with this query id as a client sends it. */
    byte[] encodeHttpRequest(String id) {
        return ("POST /"
                        + queryClasses.get(0)
                        + "?obj=7f HTTP/1.1\r\nHost: rehearsal\r\nReq-Id: "
                        + id
                        + "\r\nReq-Owner: "
                        + tenant
                        + "\r\nReq-Deadline-Ms: "
                        + TIMEOUT.toMillis()
                        + "\r\nContent-Length: "
                        + BODY.length()
                        + "\r\n\r\n"
                        + BODY)
                .getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public PendingQuery submit(ClientRequest request, Duration age) {
        return accept(request, age)
                .map(query -> new ServedQuery(executor, query, this::runToEnd))
                .orElse(null);
    }

    private QueryAction runToEnd(InFlightQuery query) throws InterruptedException {
        QueryAction last = advance(query);
        while (last == null) {
            Thread.sleep(1);
            last = advance(query);
        }
        return last;
    }

    @Override
    public boolean isReady() {
        return false;
    }
}
