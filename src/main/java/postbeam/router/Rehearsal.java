package postbeam.router;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.clients.ClientDoor;
import postbeam.dispatch.PendingQuery;
import postbeam.roster.Entry;
import postbeam.roster.Told;
import postbeam.slices.Unroutable;
import postbeam.state.Outcome;
import postbeam.state.Readiness;

/**
 * Queries of no client, decided on and answered before the first client comes, then taken once more
 * through a pipe by a door of clients that listens nowhere: a virtual machine that has compiled
 * nothing yet takes many times as long for each, and on part of a core the first seconds of clients
 * then pile up. Nothing of it reaches a socket, and its decisions are thrown away with what they
 * learnt.
 */
final class Rehearsal implements ClientDoor.Queries {
    /** How long it may take: each second of it is one that a restarted router is away for. */
    private static final Duration MOST = Duration.ofMillis(1500);

    /** Queries after which all that queries pass through has been compiled. */
    private static final int QUERIES = 600;

    /** Queries open at once, so that they compete for slots. */
    private static final int OPEN = 24;

    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private static final byte[] VALUE = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

    private static final String BODY =
            "{\"ranges\":[{\"range\":0,\"portion\":0.5},{\"range\":1,\"portion\":0.5}],"
                    + "\"predicate\":\"c41e77d0\"}";

    private final Decisions decisions;
    private final List<String> verticals;
    private final String owner;
    private final int shards;
    private final Deque<OpenQuery> open = new ArrayDeque<>();
    private int calls;

    Rehearsal(
            Decisions decisions,
            String zone,
            int cells,
            List<String> verticals,
            String owner,
            int shards) {
        this.decisions = decisions;
        this.verticals = verticals;
        this.owner = owner;
        this.shards = shards;
        List<Entry> nodes = new ArrayList<>();
        Map<String, String> addresses = new LinkedHashMap<>();
        for (int cell = 0; cell < cells; cell++) {
            nodes.add(new Entry("n" + cell, zone, cell, 0, Readiness.READY));
            addresses.put("n" + cell, "127.0.0.1:1");
        }
        decisions.listed(new Told(1, true, nodes, addresses));
    }

    /** How many queries were answered. */
    int run() {
        long end = System.nanoTime() + MOST.toNanos();
        int done = 0;
        for (int i = 0; i < QUERIES && System.nanoTime() < end; i++) {
            List<Asked.AskedPart> parts = new ArrayList<>();
            int count = Math.min(shards, 1 + i % 8);
            for (int part = 0; part < count; part++) {
                parts.add(new Asked.AskedPart((i + part) % shards, 1.0 / count, null));
            }
            OpenQuery q =
                    takeOpen(
                            new Asked(
                                    "r" + i,
                                    verticals.get(i % verticals.size()),
                                    owner,
                                    PATIENCE,
                                    parts,
                                    VALUE),
                            Duration.ZERO);
            if (q != null) {
                open.add(q);
            }
            while (open.size() > OPEN) {
                done += step(open.poll());
            }
        }
        while (!open.isEmpty() && System.nanoTime() < end) {
            done += step(open.poll());
        }
        return done;
    }

    /** 1 once the query has its answer. */
    private int step(OpenQuery q) {
        if (advance(q) != null) {
            return 1;
        }
        open.add(q);
        return 0;
    }

    /** Does what the query is given to do; its last step, or null where that is still to come. */
    private Step advance(OpenQuery q) {
        decisions.due();
        Step step;
        while ((step = decisions.next(q)) != null) {
            if (step instanceof Step.Send send) {
                decisions.report(send.calls().stream().map(this::ending).toList());
            } else if (!(step instanceof Step.GiveUp)) {
                return step;
            }
        }
        return null;
    }

    /** Mostly merged, now and then not, so that the ways back are known too. */
    private Ending ending(Call call) {
        calls++;
        Outcome outcome =
                calls % 41 == 0 ? Outcome.RESET : calls % 37 == 0 ? Outcome.FULL : Outcome.MERGED;
        return new Ending(call, outcome, VALUE);
    }

    // ---- behind a door of clients that takes its queries through a pipe

    /** A query of two parts in the clients' form. */
    byte[] request(String id) {
        return ("POST /"
                        + verticals.get(0)
                        + "?obj=7f HTTP/1.1\r\nHost: rehearsal\r\nReq-Id: "
                        + id
                        + "\r\nReq-Owner: "
                        + owner
                        + "\r\nReq-Deadline-Ms: "
                        + PATIENCE.toMillis()
                        + "\r\nContent-Length: "
                        + BODY.length()
                        + "\r\n\r\n"
                        + BODY)
                .getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public PendingQuery take(Asked asked, Duration age) {
        OpenQuery q = takeOpen(asked, age);
        return q == null ? null : new RehearsedQuery(q);
    }

    private OpenQuery takeOpen(Asked asked, Duration age) {
        try {
            return decisions.take(asked, age);
        } catch (Unroutable e) {
            throw new IllegalStateException("no slices move in a rehearsal", e);
        }
    }

    /** A query as the rehearsed client connection sees it. */
    private final class RehearsedQuery implements PendingQuery {
        private final OpenQuery query;

        RehearsedQuery(OpenQuery query) {
            this.query = query;
        }

        @Override
        public Step serve() throws InterruptedException {
            Step last;
            while ((last = advance(query)) == null) {
                Thread.sleep(1);
            }
            return last;
        }

        @Override
        public void clientLeft() {
            decisions.left(query);
        }

        @Override
        public void clientCheck(Runnable check) {
            query.clientCheck(check);
        }
    }

    @Override
    public boolean ready() {
        return false;
    }
}
