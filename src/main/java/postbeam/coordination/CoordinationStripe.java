package postbeam.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * All that one router holds of one stripe of the data nodes: its place in the office, the keeper,
 * and its leases.
 */
public class CoordinationStripe {
    /**
     * Nodes that leases are held of at most, over all stripes more than any fleet has cold at once.
     */
    private static final int MAX_NODES = 10_000;

    /** Asks in one message to a keeper; others go a little later. */
    private static final int MAX_REQUESTS_PER_MESSAGE = 64;

    /**
     * What to send now: a ballot for all others or null, and asks for this router, which may be the
     * sender itself.
     */
    public record OutgoingMessages(
            VoteRequest voteRequest, ProcessIdentity leader, List<LeaseRequest> leaseRequests) {}

    private static final class TrackedNode {
        final ColdNodeQuota quota;
        double budget;

        TrackedNode(ColdNodeQuota leases) {
            this.quota = leases;
        }
    }

    private final ProcessIdentity self;
    private final List<String> members;
    private final LeaseParameters leaseParameters;
    private final LeaderElection election;
    private final LeaseIssuer leaseIssuer;
    private final Duration maySendFrom;
    private final Map<NodeIncarnation, TrackedNode> nodes = new LinkedHashMap<>();

    /**
     * Of leases: goes on over all nodes, so that none is used twice when a node is forgotten and
     * comes again.
     */
    private long lastRequestNumber;

    public CoordinationStripe(
            int stripe,
            ProcessIdentity self,
            List<String> fleet,
            LeaseParameters terms,
            ElectionTimeouts offices,
            Duration now,
            Random chance) {
        this.self = self;
        this.members = fleet;
        this.leaseParameters = terms;
        this.maySendFrom = now.plus(terms.window()).plus(terms.maxClockDrift());
        this.election = election(stripe, self, fleet, offices, now, chance);
        this.leaseIssuer = leaseIssuer(election, terms);
    }

    protected LeaderElection election(
            int stripe,
            ProcessIdentity process,
            List<String> routers,
            ElectionTimeouts offices,
            Duration now,
            Random chance) {
        return new LeaderElection(process, stripe, routers, offices, now, chance);
    }

    protected LeaseIssuer leaseIssuer(LeaderElection of, LeaseParameters leaseTerms) {
        return new LeaseIssuer(of, leaseTerms);
    }

    protected ColdNodeQuota nodeQuota(LeaseParameters leaseTerms, int sharers, boolean drawn) {
        return new ColdNodeQuota(leaseTerms, sharers, drawn);
    }

    // ---- sends

    /**
     * Takes so much work for a send to the node and is true, if there is room; the send is under
     * way until it is out.
     */
    public boolean tryAcquire(
            Duration now, NodeIncarnation node, double amount, SlowStartBudget budget) {
        TrackedNode held = trackedNode(now, node, budget);
        return held != null && held.quota.tryAcquire(now, amount, budget.current());
    }

    /** What may be taken now. */
    public double available(Duration now, NodeIncarnation node, SlowStartBudget budget) {
        TrackedNode held = trackedNode(now, node, budget);
        return held == null ? 0 : held.quota.available(now, budget.current());
    }

    /**
     * Guards against a process that came back under its name and does not know what it sent just
     * before: it has its part of the reserve once for each window, not once for each start. It
     * hurts after any start: for a window cold nodes get nothing from this router.
     */
    protected boolean maySend(Duration now) {
        return now.compareTo(maySendFrom) >= 0;
    }

    public void release(NodeIncarnation node, double amount) {
        TrackedNode held = nodes.get(node);
        if (held != null) {
            held.quota.release(amount);
        }
    }

    /** Null where it may not send yet, or too many are held. */
    private TrackedNode trackedNode(Duration now, NodeIncarnation node, SlowStartBudget budget) {
        if (!maySend(now)) {
            return null;
        }
        TrackedNode held = nodes.get(node);
        if (held == null) {
            if (nodes.size() >= MAX_NODES) {
                nodes.values().removeIf(one -> one.quota.isIdle(now));
            }
            if (nodes.size() >= MAX_NODES) {
                return null;
            }
            int sharers = leaseParameters.participants(budget.initial());
            held =
                    new TrackedNode(
                            nodeQuota(
                                    leaseParameters,
                                    sharers,
                                    leaseParameters.participates(
                                            node, self.name(), members, sharers)));
            nodes.put(node, held);
        }
        held.budget = Math.max(held.budget, budget.current());
        return held;
    }

    /** By node, what it holds of leases now. */
    public Map<NodeIncarnation, Double> leasedAmounts(Duration now) {
        Map<NodeIncarnation, Double> all = new LinkedHashMap<>();
        nodes.forEach((node, held) -> all.put(node, held.quota.largestLease(now)));
        return all;
    }

    // ---- messages

    public OutgoingMessages pollMessages(Duration now) {
        VoteRequest ballot = election.tick(now);
        ProcessIdentity to = election.isLeader(now) ? self : election.knownLeader(now);
        List<LeaseRequest> asks = new ArrayList<>();
        if (to != null) {
            nodes.forEach(
                    (node, held) -> {
                        if (asks.size() < MAX_REQUESTS_PER_MESSAGE) {
                            double want =
                                    held.quota.requestAmount(
                                            now, held.budget, lastRequestNumber + 1);
                            if (want > 0) {
                                asks.add(
                                        new LeaseRequest(
                                                node,
                                                self,
                                                ++lastRequestNumber,
                                                want,
                                                held.budget));
                            }
                        }
                    });
        }
        if (self.equals(to)) {
            asks.forEach(ask -> onGrant(now, handle(now, ask)));
            asks.clear();
        }
        return new OutgoingMessages(ballot, to, asks);
    }

    public VoteResponse handle(Duration now, VoteRequest ballot) {
        return election.handleVoteRequest(now, ballot);
    }

    public void onVote(Duration now, VoteResponse vote) {
        election.onVote(now, vote);
    }

    public LeaseGrant handle(Duration now, LeaseRequest ask) {
        return leaseIssuer.grant(now, ask);
    }

    public void onGrant(Duration now, LeaseGrant grant) {
        TrackedNode held = nodes.get(grant.node());
        if (held != null && grant.requester().equals(self)) {
            held.quota.onGrant(now, grant.number(), grant.amount());
        }
    }

    // ---- what is seen of it

    public LeaderElection election() {
        return election;
    }

    public LeaseIssuer leaseIssuer() {
        return leaseIssuer;
    }

    /** All that its next steps depend on, with spans from now. */
    public String stateSummary(Duration now) {
        StringBuilder text =
                new StringBuilder(election.standing(now)).append(leaseIssuer.stateSummary(now));
        nodes.forEach((node, held) -> text.append('|').append(held.quota.stateSummary(now)));
        return text.toString();
    }
}
