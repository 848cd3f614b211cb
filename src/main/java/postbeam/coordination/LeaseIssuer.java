package postbeam.coordination;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Grants leases of the budgets of one stripe's nodes. It grants only while this router is the
 * leader, and only once all leases that earlier leaders can have granted are over
 * (docs/together.md, invariant 3).
 *
 * <p>Not thread-safe; {@link StripedCoordinator} guards it with the stripe's lock.
 */
public class LeaseIssuer {
    /**
     * Maximum number of nodes with a lease table; bounds the memory and is more than any fleet
     * warms up at the same time.
     */
    private static final int MAX_NODES = 10_000;

    private final LeaderElection election;
    private final LeaseParameters parameters;
    private final Map<NodeIncarnation, LeaseTable> leaseTables = new LinkedHashMap<>();

    /** The start of the leadership in which the leases of the tables were granted. */
    private Duration leaderSince;

    /** Creates an issuer without leases. */
    public LeaseIssuer(LeaderElection election, LeaseParameters parameters) {
        this.election = election;
        this.parameters = parameters;
    }

    /**
     * Grants or refuses a lease.
     *
     * @param now must be read after the request arrived, so that the lease counts here until after
     *     it has expired at the requester
     */
    public LeaseGrant grant(Duration now, LeaseRequest request) {
        double amount = canGrant(now) ? grantedAmount(now, request) : 0;
        return new LeaseGrant(request.node(), request.requester(), request.requestNumber(), amount);
    }

    private double grantedAmount(Duration now, LeaseRequest request) {
        if (!election.leaderSince().equals(leaderSince)) {
            leaderSince = election.leaderSince();
            leaseTables.clear();
        }
        if (leaseTables.size() >= MAX_NODES) {
            leaseTables.values().removeIf(table -> table.isEmpty(now));
        }
        if (leaseTables.size() >= MAX_NODES && !leaseTables.containsKey(request.node())) {
            return 0;
        }
        return leaseTables
                .computeIfAbsent(request.node(), node -> new LeaseTable())
                .grant(
                        now,
                        request.requester(),
                        request.requestNumber(),
                        request.requestedAmount(),
                        parameters.leasable(request.nodeBudget()),
                        parameters.leaseRetention());
    }

    /** Whether this router is the leader and the leases of earlier leaders are over. */
    public boolean canGrant(Duration now) {
        return election.isLeader(now) && waitedOutPredecessors(now, election.leaderSince());
    }

    /** Whether the leases of earlier leaders are over for a leader elected at this time. */
    protected boolean waitedOutPredecessors(Duration now, Duration electedAt) {
        return now.compareTo(electedAt.plus(parameters.leaseRetention())) >= 0;
    }

    /** The leases granted in the latest leadership, by node. */
    public Map<NodeIncarnation, LeaseTable> leaseTables() {
        return leaseTables;
    }

    /**
     * Encodes the state that determines the later behaviour, with times relative to {@code now}:
     * two issuers with equal summaries behave alike from here on.
     */
    String stateSummary(Duration now) {
        if (!election.isLeader(now) || !election.leaderSince().equals(leaderSince)) {
            return "";
        }
        StringBuilder text = new StringBuilder("k");
        leaseTables.values().stream()
                .flatMap(table -> table.leases().stream())
                .filter(lease -> lease.retainedUntil().compareTo(now) > 0)
                .forEach(
                        lease ->
                                text.append(lease.holder())
                                        .append(lease.requestNumber())
                                        .append(lease.amount())
                                        .append(lease.retainedUntil().minus(now)));
        return text.toString();
    }
}
