package postbeam.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * What one router holds of one stripe of the data nodes: its part in the election of the stripe's
 * leader, the leases that it issues as leader, and its own quota of each node that warms up.
 *
 * <p>Not thread-safe; {@link StripedCoordinator} guards it by the stripe's lock. Times are spans of
 * the router's own monotonic clock; amounts are work in the unit of a node's budget.
 */
public class CoordinationStripe {
    /** More than any fleet has warming up at once. */
    private static final int MAX_NODES = 10_000;

    /** In one message to a leader; others follow in the next. */
    private static final int MAX_REQUESTS_PER_MESSAGE = 64;

    /**
     * What to send now.
     *
     * @param voteRequest for all others; null where there is none
     * @param leader to send the lease requests to; null where none is known
     */
    public record OutgoingMessages(
            VoteRequest voteRequest, ProcessIdentity leader, List<LeaseRequest> leaseRequests) {}

    private static final class TrackedNode {
        final SlowStartQuota quota;
        double budget;

        TrackedNode(SlowStartQuota quota) {
            this.quota = quota;
        }
    }

    private final ProcessIdentity self;
    private final List<String> members;
    private final LeaseParameters leaseParameters;
    private final LeaderElection election;
    private final LeaseIssuer leaseIssuer;
    private final Duration maySendFrom;
    private final Map<NodeIncarnation, TrackedNode> nodes = new LinkedHashMap<>();

    /** Over all nodes, so that none is used twice when a node is forgotten and comes again. */
    private long lastRequestNumber;

    /**
     * Starts with no memory of earlier leases.
     *
     * @param members all configured routers by name, this one among them
     */
    public CoordinationStripe(
            int stripe,
            ProcessIdentity self,
            List<String> members,
            LeaseParameters leaseParameters,
            ElectionTimeouts electionTimeouts,
            Duration now,
            Random random) {
        this.self = self;
        this.members = members;
        this.leaseParameters = leaseParameters;
        this.maySendFrom = now.plus(leaseParameters.window()).plus(leaseParameters.maxClockDrift());
        this.election = createElection(stripe, self, members, electionTimeouts, now, random);
        this.leaseIssuer = createLeaseIssuer(election, leaseParameters);
    }

    /** Creates the election; called once, by the constructor. */
    protected LeaderElection createElection(
            int stripe,
            ProcessIdentity process,
            List<String> routers,
            ElectionTimeouts electionTimeouts,
            Duration now,
            Random random) {
        return new LeaderElection(process, stripe, routers, electionTimeouts, now, random);
    }

    /** Creates the issuer of leases; called once, by the constructor. */
    protected LeaseIssuer createLeaseIssuer(
            LeaderElection stripeElection, LeaseParameters parameters) {
        return new LeaseIssuer(stripeElection, parameters);
    }

    /** Creates the quota of one node. */
    protected SlowStartQuota createQuota(
            LeaseParameters parameters, int participants, boolean participating) {
        return new SlowStartQuota(parameters, participants, participating);
    }

    // ---- sends

    /** Acquires so much work for a send to the node, if there is as much, until it is released. */
    public boolean tryAcquire(
            Duration now, NodeIncarnation node, double amount, SlowStartBudget budget) {
        TrackedNode tracked = trackedNode(now, node, budget);
        return tracked != null && tracked.quota.tryAcquire(now, amount, budget.current());
    }

    /** How much may be acquired now. */
    public double available(Duration now, NodeIncarnation node, SlowStartBudget budget) {
        TrackedNode tracked = trackedNode(now, node, budget);
        return tracked == null ? 0 : tracked.quota.available(now, budget.current());
    }

    /**
     * A restarted process does not know what it sent just before: its reserved quota is for each
     * window, not for each start. For a window after a start it sends nothing to such nodes.
     */
    protected boolean maySend(Duration now) {
        return now.compareTo(maySendFrom) >= 0;
    }

    /** What was acquired is sent, or never will be. */
    public void release(NodeIncarnation node, double amount) {
        TrackedNode tracked = nodes.get(node);
        if (tracked != null) {
            tracked.quota.release(amount);
        }
    }

    /** Null where it may not send yet, or too many nodes are tracked. */
    private TrackedNode trackedNode(Duration now, NodeIncarnation node, SlowStartBudget budget) {
        if (!maySend(now)) {
            return null;
        }
        TrackedNode tracked = nodes.get(node);
        if (tracked == null) {
            if (nodes.size() >= MAX_NODES) {
                nodes.values().removeIf(other -> other.quota.isIdle(now));
            }
            if (nodes.size() >= MAX_NODES) {
                return null;
            }
            tracked = new TrackedNode(newQuota(node, budget));
            nodes.put(node, tracked);
        }
        tracked.budget = Math.max(tracked.budget, budget.current());
        return tracked;
    }

    private SlowStartQuota newQuota(NodeIncarnation node, SlowStartBudget budget) {
        int participants = leaseParameters.participants(budget.initial());
        boolean participating =
                leaseParameters.participates(node, self.name(), members, participants);
        return createQuota(leaseParameters, participants, participating);
    }

    /** By node, the largest lease that this router holds. */
    public Map<NodeIncarnation, Double> leasedAmounts(Duration now) {
        Map<NodeIncarnation, Double> amounts = new LinkedHashMap<>();
        nodes.forEach((node, tracked) -> amounts.put(node, tracked.quota.largestLease(now)));
        return amounts;
    }

    // ---- messages

    /**
     * Advances the election and collects what to send; a leader grants its own requests at once.
     */
    public OutgoingMessages pollMessages(Duration now) {
        VoteRequest voteRequest = election.tick(now);
        ProcessIdentity leader = election.isLeader(now) ? self : election.knownLeader(now);
        List<LeaseRequest> requests = leader == null ? new ArrayList<>() : leaseRequests(now);
        if (self.equals(leader)) {
            requests.forEach(request -> onGrant(now, handle(now, request)));
            requests.clear();
        }
        return new OutgoingMessages(voteRequest, leader, requests);
    }

    private List<LeaseRequest> leaseRequests(Duration now) {
        List<LeaseRequest> requests = new ArrayList<>();
        nodes.forEach(
                (node, tracked) -> {
                    if (requests.size() < MAX_REQUESTS_PER_MESSAGE) {
                        addLeaseRequest(now, node, tracked, requests);
                    }
                });
        return requests;
    }

    private void addLeaseRequest(
            Duration now, NodeIncarnation node, TrackedNode tracked, List<LeaseRequest> requests) {
        double requested = tracked.quota.requestAmount(now, tracked.budget, lastRequestNumber + 1);
        if (requested > 0) {
            lastRequestNumber++;
            requests.add(
                    new LeaseRequest(node, self, lastRequestNumber, requested, tracked.budget));
        }
    }

    /** Answers a candidate. */
    public VoteResponse handle(Duration now, VoteRequest request) {
        return election.handleVoteRequest(now, request);
    }

    /** Takes a voter's response. */
    public void onVote(Duration now, VoteResponse vote) {
        election.onVote(now, vote);
    }

    /** Answers a router's request for a lease; the time must be read after the request came. */
    public LeaseGrant handle(Duration now, LeaseRequest request) {
        return leaseIssuer.grant(now, request);
    }

    /** Takes a leader's grant; one for another process is ignored. */
    public void onGrant(Duration now, LeaseGrant grant) {
        TrackedNode tracked = nodes.get(grant.node());
        if (tracked != null && grant.requester().equals(self)) {
            tracked.quota.onGrant(now, grant.requestNumber(), grant.amount());
        }
    }

    // ---- what is seen of it

    /** This router's part in the election. */
    public LeaderElection election() {
        return election;
    }

    /** The leases that this router issues as leader. */
    public LeaseIssuer leaseIssuer() {
        return leaseIssuer;
    }

    /** All that its next steps depend on, with spans from now: equal ones go on alike. */
    public String stateSummary(Duration now) {
        StringBuilder text =
                new StringBuilder(election.stateSummary(now)).append(leaseIssuer.stateSummary(now));
        nodes.forEach((node, tracked) -> text.append('|').append(tracked.quota.stateSummary(now)));
        return text.toString();
    }
}
