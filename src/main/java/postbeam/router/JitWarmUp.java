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
import postbeam.endpoints.Endpoint;
import postbeam.endpoints.EndpointUpdate;
import postbeam.model.AttemptOutcome;
import postbeam.model.Readiness;
import postbeam.slices.UnroutableQueryException;

/**
 * Serves queries of no client before the first client comes, so that the virtual machine has loaded
 * and compiled what queries pass through: first against the policy alone, then through a client
 * server that reads them from a pipe. On part of a core the first seconds' queries would pile up
 * otherwise. Nothing reaches a socket, and the executor's state is thrown away.
 */
final class JitWarmUp implements QueryServer.QueryHandler {
    /** A restarted router is away for as long. */
    private static final Duration MAX_DURATION = Duration.ofMillis(1500);

    /** Queries after which all that queries pass through is compiled. */
    private static final int QUERIES = 600;

    /** Queries at once, so that they compete for slots. */
    private static final int MAX_IN_FLIGHT = 24;

    private static final int MAX_SHARDS_PER_QUERY = 8;

    /** Every so many attempts fail, so that the ways of failures are compiled too. */
    private static final int RESET_EVERY = 41;

    private static final int OVERLOADED_EVERY = 37;

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final byte[] PAYLOAD = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

    /** A query for two shards in the clients' form. */
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
     * @param executor used by nothing else; slices don't move in it
     * @param tenant null where the settings have none
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

    /** Serves queries against the policy alone; returns how many were answered. */
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

    /** Advances the query that waited longest; returns 1 if that has ended it. */
    private int advanceOldest() {
        InFlightQuery query = inFlight.remove();
        if (advance(query) != null) {
            return 1;
        }
        inFlight.add(query);
        return 0;
    }

    /**
     * Carries out the query's actions; returns the final one, or null where it is still to come.
     */
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
        } catch (UnroutableQueryException e) {
            throw new IllegalStateException("no slices move in a warm-up", e);
        }
    }

    // ---- behind a client server that reads requests from a pipe

    /** A request with this id as a client writes it. */
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
