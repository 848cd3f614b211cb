package postbeam.policy;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import postbeam.model.DataNode;
import postbeam.model.Query;
import postbeam.model.ShardRequest;

/**
 * Assigns free slots of the concurrency window to queries by non-preemptive SEDPT-R (Sun et al.,
 * "Provably Delay Efficient Data Retrieving in Storage Clouds"). A slot goes to the query with the
 * smallest difference between the number of answers that it needs (alpha) and the number that it
 * can expect from its attempts in flight (delta).
 */
final class SlotScheduler {
    /**
     * Maximum number of queries that are considered, the oldest first; bounds the computing time of
     * one scheduling pass.
     */
    private static final int MAX_CANDIDATES = 48;

    /** Rank of hedged attempts; places them after all first attempts. */
    private static final double HEDGE_RANK = 1000;

    /**
     * Fewest missing answers first; among equals, queries of low priority last, then the earliest
     * latency objective first.
     */
    private static final Comparator<Candidate> CANDIDATE_ORDER =
            Comparator.comparingInt(Candidate::answersMissing)
                    .thenComparing(Candidate::lowPriority)
                    .thenComparing(candidate -> candidate.query.sloDeadline())
                    .thenComparing(Candidate::arrivalOrder);

    private record Candidate(
            Query query, int answersMissing, boolean lowPriority, int arrivalOrder) {}

    private record Choice(ShardRequest request, DataNode node) {}

    private final ConcurrencyWindow window;
    private final StragglerDetector stragglers;
    private final QueryPriority priority;
    private final HedgingPolicy hedging;
    private final RetryPolicy retries;
    private final CanaryPolicy canaries;
    private final ReplicaSelector replicas;
    private final AttemptSender sender;

    SlotScheduler(
            ConcurrencyWindow window,
            StragglerDetector stragglers,
            QueryPriority priority,
            HedgingPolicy hedging,
            RetryPolicy retries,
            CanaryPolicy canaries,
            ReplicaSelector replicas,
            AttemptSender sender) {
        this.window = window;
        this.stragglers = stragglers;
        this.priority = priority;
        this.hedging = hedging;
        this.retries = retries;
        this.canaries = canaries;
        this.replicas = replicas;
        this.sender = sender;
    }

    /** Fills the free slots with requests of the open queries. */
    void fillSlots(Duration now, List<Query> openQueries) {
        // Lost requests do not occupy slots; otherwise a broken network path would fill the window
        // with them.
        int lostRequests = 0;
        for (Query query : openQueries) {
            lostRequests += stragglers.lostRequests(now, query);
        }
        if (!window.hasCapacity(lostRequests)) {
            return;
        }
        hedging.countSpares(openQueries);
        PriorityQueue<Candidate> candidates = candidates(now, openQueries);
        while (window.hasCapacity(lostRequests) && !candidates.isEmpty()) {
            Candidate best = candidates.poll();
            Query query = best.query;
            boolean mayStart =
                    !query.hasNotStarted()
                            || !best.lowPriority
                            || window.hasSpareCapacity(lostRequests);
            if (mayStart && sendNext(now, query, best.answersMissing)) {
                candidates.add(
                        new Candidate(
                                query,
                                answersMissing(now, query),
                                best.lowPriority,
                                best.arrivalOrder));
            }
        }
    }

    private PriorityQueue<Candidate> candidates(Duration now, List<Query> openQueries) {
        PriorityQueue<Candidate> candidates = new PriorityQueue<>(CANDIDATE_ORDER);
        for (Query query : openQueries.subList(0, Math.min(openQueries.size(), MAX_CANDIDATES))) {
            int answersMissing = answersMissing(now, query);
            boolean lowPriority = priority.isLow(now, query);
            candidates.add(new Candidate(query, answersMissing, lowPriority, candidates.size()));
        }
        return candidates;
    }

    /** Returns the number of answers needed minus the number expected (alpha - delta). */
    private int answersMissing(Duration now, Query query) {
        return query.requestsNeeded() - stragglers.expectedAnswers(now, query);
    }

    /**
     * Sends the next request of the query and returns true, or returns false if none may be sent
     * now.
     */
    private boolean sendNext(Duration now, Query query, int answersMissing) {
        boolean spare = answersMissing <= 0;
        if ((spare && !hedging.maySendSpare(query))
                || hasSpareInFlight(query)
                || isWaitingForCanary(now, query)) {
            return false;
        }
        replicas.chooseOffset(now, query);
        Choice next = chooseRequest(now, query);
        if (next == null) {
            return false;
        }
        if (spare) {
            hedging.recordSpare();
        }
        sender.send(now, next.request, next.node);
        return true;
    }

    private static boolean hasSpareInFlight(Query query) {
        return query.queryClass().acceptsSubset()
                && query.requestsInFlight() > query.requestsNeeded();
    }

    private boolean isWaitingForCanary(Duration now, Query query) {
        return canaries.needsCanary(now, query) && stragglers.expectedAnswers(now, query) > 0;
    }

    private Choice chooseRequest(Duration now, Query query) {
        Choice best = null;
        double leastRank = Double.MAX_VALUE;
        for (ShardRequest request : query.shardRequests) {
            if (request.isAnswered()
                    || stragglers.isAnswerExpected(now, request)
                    || !retries.mayAttemptNow(now, request)) {
                continue;
            }
            DataNode node = replicas.chooseNode(now, request);
            if (node == null) {
                continue;
            }
            double rank = rank(now, query, request, node);
            if (rank < leastRank) {
                best = new Choice(request, node);
                leastRank = rank;
            }
        }
        return best;
    }

    /**
     * Returns the rank of a request at a node, the lowest being sent first. First attempts come
     * before hedged ones. The requests of a query that needs only a subset are ordered by the
     * number of batches that their nodes have in flight. Those of a query that may be answered in
     * part are ordered by the load of their nodes, so that requests to congested shards are sent
     * last.
     */
    private double rank(Duration now, Query query, ShardRequest request, DataNode node) {
        double rank = request.attemptsInFlight.isEmpty() ? 0 : HEDGE_RANK;
        if (query.queryClass().acceptsSubset()) {
            return rank + replicas.effectiveBatches(now, node, query);
        }
        return query.queryClass().minimumWeight < 1 ? rank + replicas.load(now, node) : rank;
    }
}
