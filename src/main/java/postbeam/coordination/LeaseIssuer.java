package postbeam.coordination;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Grants leases of the budgets of one stripe's nodes: only as leader, and only once all leases that
 * its predecessors can have granted are past (docs/together.md, invariant 3).
 *
 * <p>Not thread-safe; {@link StripedCoordinator} guards it by the stripe's lock.
 */
public class LeaseIssuer {
    /** More than any fleet has warming up at once. */
    private static final int MAX_NODES = 10_000;

    private final LeaderElection election;
    private final LeaseParameters parameters;
    private final Map<NodeIncarnation, LeaseTable> leaseTables = new LinkedHashMap<>();

    /** The leadership that the tables are of. */
    private Duration leaderSince;

    /** An issuer that has granted nothing yet. */
    public LeaseIssuer(LeaderElection election, LeaseParameters parameters) {
        this.election = election;
        this.parameters = parameters;
    }

    /** Answers a request; the time must be read after the request came. */
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

    /** Whether it is leader, and has been for long enough. */
    public boolean canGrant(Duration now) {
        return election.isLeader(now) && waitedOutPredecessors(now, election.leaderSince());
    }

    /** Whether the leases of earlier leaders are past. */
    protected boolean waitedOutPredecessors(Duration now, Duration electedAt) {
        return now.compareTo(electedAt.plus(parameters.leaseRetention())) >= 0;
    }

    /** The leases by node. */
    public Map<NodeIncarnation, LeaseTable> leaseTables() {
        return leaseTables;
    }

    /** All that its next steps depend on, with spans from now: equal ones go on alike. */
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
