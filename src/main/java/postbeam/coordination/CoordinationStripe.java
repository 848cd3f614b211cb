package postbeam.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * One router's state for one stripe, a subset of the data nodes: its part in the election of the
 * stripe's leader, the leases that it issues while it is the leader, and its own quota for each
 * node that warms up.
 *
 * <p>Not thread-safe; {@link StripedCoordinator} guards it with the stripe's lock. Times are
 * readings of the router's own monotonic clock; amounts are work in the unit of a node's budget.
 */
public class CoordinationStripe {
    /**
     * Maximum number of nodes for which state is kept; bounds the memory and is more than any fleet
     * warms up at the same time.
     */
    private static final int MAX_NODES = 10_000;

    /**
     * Maximum number of lease requests in one message to a leader; further ones follow in later
     * messages.
     */
    private static final int MAX_REQUESTS_PER_MESSAGE = 64;

    /**
     * The messages that are due now.
     *
     * @param voteRequest to send to all other routers; null if none is due
     * @param leader to send the lease requests to; null if no leader is known
     * @param leaseRequests empty if none is due or no leader is known
     */
    public record OutgoingMessages(
            VoteRequest voteRequest, ProcessIdentity leader, List<LeaseRequest> leaseRequests) {}

    private static final class TrackedNode {
        final SlowStartQuota quota;

        /** The highest current budget that a caller has passed. */
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

    /**
     * The last request number, counted over all nodes, so that no number is used twice for a node
     * that is removed from {@link #nodes} and added again.
     */
    private long lastRequestNumber;

    /**
     * Creates a stripe that has no record of the leases or sent work of an earlier process.
     *
     * @param members names of all configured routers, including this one
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

    /** Creates the election. Called once, by the constructor. */
    protected LeaderElection createElection(
            int stripe,
            ProcessIdentity process,
            List<String> routers,
            ElectionTimeouts electionTimeouts,
            Duration now,
            Random random) {
        return new LeaderElection(process, stripe, routers, electionTimeouts, now, random);
    }

    /** Creates the lease issuer. Called once, by the constructor. */
    protected LeaseIssuer createLeaseIssuer(
            LeaderElection stripeElection, LeaseParameters parameters) {
        return new LeaseIssuer(stripeElection, parameters);
    }

    /** Creates the quota for one node. */
    protected SlowStartQuota createQuota(
            LeaseParameters parameters, int participants, boolean participating) {
        return new SlowStartQuota(parameters, participants, participating);
    }

    // ---- slow-start budget: acquire and release

    /**
     * Reserves part of the work budget of a node that warms up for one request to it, if that much
     * is left. The work counts as in flight until {@link #release} is called.
     */
    public boolean tryAcquire(
            Duration now, NodeIncarnation node, double amount, SlowStartBudget budget) {
        TrackedNode tracked = trackedNode(now, node, budget);
        return tracked != null && tracked.quota.tryAcquire(now, amount, budget.current());
    }

    /** The amount of work that may be acquired for the node now. */
    public double available(Duration now, NodeIncarnation node, SlowStartBudget budget) {
        TrackedNode tracked = trackedNode(now, node, budget);
        return tracked == null ? 0 : tracked.quota.available(now, budget.current());
    }

    /**
     * Whether this process may send to nodes that warm up. A restarted process does not know what
     * its predecessor sent, and the reserved quota is for each window, not for each process. It
     * therefore sends nothing for one window and the clock drift after its start.
     */
    protected boolean maySend(Duration now) {
        return now.compareTo(maySendFrom) >= 0;
    }

    /**
     * Releases work reserved for a request; called once the request has been sent or is given up.
     */
    public void release(NodeIncarnation node, double amount) {
        TrackedNode tracked = nodes.get(node);
        if (tracked != null) {
            tracked.quota.release(amount);
        }
    }

    /**
     * Returns the node's state, which is created on first use. Returns null if this process may not
     * send yet, or if too many other nodes are in use.
     */
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

    /** The largest lease that this router holds, for each node. */
    public Map<NodeIncarnation, Double> leasedAmounts(Duration now) {
        Map<NodeIncarnation, Double> amounts = new LinkedHashMap<>();
        nodes.forEach((node, tracked) -> amounts.put(node, tracked.quota.largestLease(now)));
        return amounts;
    }

    // ---- messages

    /**
     * Advances the election and collects the messages to send. A leader grants its own lease
     * requests immediately, without a message.
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

    /** Answers a candidate's vote request. */
    public VoteResponse handle(Duration now, VoteRequest request) {
        return election.handleVoteRequest(now, request);
    }

    /** Handles a voter's response. */
    public void onVote(Duration now, VoteResponse vote) {
        election.onVote(now, vote);
    }

    /** Answers a router's lease request; {@code now} must be read after the request arrived. */
    public LeaseGrant handle(Duration now, LeaseRequest request) {
        return leaseIssuer.grant(now, request);
    }

    /** Handles a leader's grant; a grant for another process is ignored. */
    public void onGrant(Duration now, LeaseGrant grant) {
        TrackedNode tracked = nodes.get(grant.node());
        if (tracked != null && grant.requester().equals(self)) {
            tracked.quota.onGrant(now, grant.requestNumber(), grant.amount());
        }
    }

    // ---- state for monitoring and tests

    /** This router's part in the election. */
    public LeaderElection election() {
        return election;
    }

    /** The leases that this router issues while it is the leader. */
    public LeaseIssuer leaseIssuer() {
        return leaseIssuer;
    }

    /**
     * Encodes the state that determines the later behaviour, with times relative to {@code now}:
     * two stripes with equal summaries behave alike from here on.
     */
    public String stateSummary(Duration now) {
        StringBuilder text =
                new StringBuilder(election.stateSummary(now)).append(leaseIssuer.stateSummary(now));
        nodes.forEach((node, tracked) -> text.append('|').append(tracked.quota.stateSummary(now)));
        return text.toString();
    }
}
