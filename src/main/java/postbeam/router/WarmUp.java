package postbeam.router;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
 * Queries of no client, decided on and answered before the first client comes, then taken once more
 * through a pipe by a door of clients that listens nowhere: a virtual machine that has compiled
 * nothing yet takes many times as long for each, and on part of a core the first seconds of clients
 * then pile up. Nothing of it reaches a socket, and its decisions are thrown away with what they
 * learnt.
 */
final class WarmUp implements QueryServer.QueryHandler {
    /** How long it may take: each second of it is one that a restarted router is away for. */
    private static final Duration MAX_DURATION = Duration.ofMillis(1500);

    /** Queries after which all that queries pass through has been compiled. */
    private static final int QUERIES = 600;

    /** Queries open at once, so that they compete for slots. */
    private static final int MAX_IN_FLIGHT = 24;

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final byte[] PAYLOAD = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

    private static final String BODY =
            "{\"ranges\":[{\"range\":0,\"portion\":0.5},{\"range\":1,\"portion\":0.5}],"
                    + "\"predicate\":\"c41e77d0\"}";

    private final PolicyExecutor decisions;
    private final List<String> queryClasses;
    private final String tenant;
    private final int shards;
    private final Deque<InFlightQuery> inFlight = new ArrayDeque<>();
    private int attemptCount;

    WarmUp(
            PolicyExecutor decisions,
            String zone,
            int cells,
            List<String> verticals,
            String owner,
            int shards) {
        this.decisions = decisions;
        this.queryClasses = verticals;
        this.tenant = owner;
        this.shards = shards;
        List<Endpoint> nodes = new ArrayList<>();
        Map<String, String> addresses = new LinkedHashMap<>();
        for (int cell = 0; cell < cells; cell++) {
            nodes.add(new Endpoint("n" + cell, zone, cell, 0, Readiness.READY));
            addresses.put("n" + cell, "127.0.0.1:1");
        }
        decisions.onEndpointUpdate(new EndpointUpdate(1, true, nodes, addresses));
    }

    /** How many queries were answered. */
    int run() {
        long end = System.nanoTime() + MAX_DURATION.toNanos();
        int done = 0;
        for (int i = 0; i < QUERIES && System.nanoTime() < end; i++) {
            List<ClientRequest.RequestedShard> parts = new ArrayList<>();
            int count = Math.min(shards, 1 + i % 8);
            for (int part = 0; part < count; part++) {
                parts.add(new ClientRequest.RequestedShard((i + part) % shards, 1.0 / count, null));
            }
            InFlightQuery q =
                    acceptQuery(
                            new ClientRequest(
                                    "r" + i,
                                    queryClasses.get(i % queryClasses.size()),
                                    tenant,
                                    TIMEOUT,
                                    parts,
                                    PAYLOAD),
                            Duration.ZERO);
            if (q != null) {
                inFlight.add(q);
            }
            while (inFlight.size() > MAX_IN_FLIGHT) {
                done += advanceOne(inFlight.poll());
            }
        }
        while (!inFlight.isEmpty() && System.nanoTime() < end) {
            done += advanceOne(inFlight.poll());
        }
        return done;
    }

    /** 1 once the query has its answer. */
    private int advanceOne(InFlightQuery q) {
        if (advance(q) != null) {
            return 1;
        }
        inFlight.add(q);
        return 0;
    }

    /** Does what the query is given to do; its last step, or null where that is still to come. */
    private QueryAction advance(InFlightQuery q) {
        decisions.runDueTimers();
        QueryAction step;
        while ((step = decisions.pollAction(q)) != null) {
            if (step instanceof QueryAction.Send send) {
                decisions.onAttemptResults(send.attempts().stream().map(this::resultOf).toList());
            } else if (!(step instanceof QueryAction.CancelAttempt)) {
                return step;
            }
        }
        return null;
    }

    /** Mostly merged, now and then not, so that the ways back are known too. */
    private AttemptResult resultOf(DispatchedAttempt call) {
        attemptCount++;
        AttemptOutcome outcome =
                attemptCount % 41 == 0
                        ? AttemptOutcome.RESET
                        : attemptCount % 37 == 0
                                ? AttemptOutcome.OVERLOADED
                                : AttemptOutcome.SUCCESS;
        return new AttemptResult(call, outcome, PAYLOAD);
    }

    // ---- behind a door of clients that takes its queries through a pipe

    /** A query of two parts in the clients' form. */
    byte[] request(String id) {
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
    public PendingQuery submit(ClientRequest clientRequest, Duration age) {
        InFlightQuery q = acceptQuery(clientRequest, age);
        return q == null ? null : new WarmUpQuery(q);
    }

    private InFlightQuery acceptQuery(ClientRequest clientRequest, Duration age) {
        try {
            return decisions.accept(clientRequest, age);
        } catch (UnroutableQueryException e) {
            throw new IllegalStateException("no slices move in a rehearsal", e);
        }
    }

    /** A query as the rehearsed client connection sees it. */
    private final class WarmUpQuery implements PendingQuery {
        private final InFlightQuery query;

        WarmUpQuery(InFlightQuery query) {
            this.query = query;
        }

        @Override
        public QueryAction serve() throws InterruptedException {
            QueryAction last;
            while ((last = advance(query)) == null) {
                Thread.sleep(1);
            }
            return last;
        }

        @Override
        public void clientDisconnected() {
            decisions.clientDisconnected(query);
        }

        @Override
        public void setClientCheck(Runnable check) {
            query.setClientCheck(check);
        }
    }

    @Override
    public boolean isReady() {
        return false;
    }
}
