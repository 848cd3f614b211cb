package postbeam.coordination;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Grants leases of one stripe's nodes, in office only, and nothing until all that predecessors can
 * have granted is past (docs/together.md, invariant 3).
 */
public class LeaseIssuer {
    /**
     * Nodes with leases that a keeper holds at most, over all stripes more than any fleet has cold
     * at once.
     */
    private static final int MAX_NODES = 10_000;

    private final LeaderElection election;
    private final LeaseParameters parameters;
    private final Map<NodeIncarnation, LeaseTable> leaseTables = new LinkedHashMap<>();

    /** The office that the ledgers are of. */
    private Duration leaderSince;

    public LeaseIssuer(LeaderElection election, LeaseParameters terms) {
        this.election = election;
        this.parameters = terms;
    }

    /** The answer to a router's ask. The time must have been read after the ask came. */
    public LeaseGrant grant(Duration now, LeaseRequest ask) {
        double amount = 0;
        if (canGrant(now)) {
            if (!election.leaderSince().equals(leaderSince)) {
                leaderSince = election.leaderSince();
                leaseTables.clear();
            }
            if (leaseTables.size() >= MAX_NODES) {
                leaseTables.values().removeIf(ledger -> ledger.isEmpty(now));
            }
            if (leaseTables.size() < MAX_NODES || leaseTables.containsKey(ask.node())) {
                amount =
                        leaseTables
                                .computeIfAbsent(ask.node(), node -> new LeaseTable())
                                .grant(
                                        now,
                                        ask.requester(),
                                        ask.number(),
                                        ask.requested(),
                                        parameters.leasable(ask.nodeBudget()),
                                        parameters.countedFor());
            }
        }
        return new LeaseGrant(ask.node(), ask.requester(), ask.number(), amount);
    }

    /** Whether it is in office, and long enough. */
    public boolean canGrant(Duration now) {
        return election.isLeader(now) && waitedOutPredecessors(now, election.leaderSince());
    }

    protected boolean waitedOutPredecessors(Duration now, Duration wonAt) {
        return now.compareTo(wonAt.plus(parameters.countedFor())) >= 0;
    }

    /** What counts of leases, by node. */
    public Map<NodeIncarnation, LeaseTable> leaseTables() {
        return leaseTables;
    }

    String stateSummary(Duration now) {
        StringBuilder text =
                new StringBuilder(
                        election.isLeader(now) && election.leaderSince().equals(leaderSince)
                                ? "k"
                                : "");
        if (text.length() > 0) {
            leaseTables
                    .values()
                    .forEach(
                            ledger ->
                                    ledger.leases().stream()
                                            .filter(lease -> lease.countsUntil().compareTo(now) > 0)
                                            .forEach(
                                                    lease ->
                                                            text.append(lease.holder())
                                                                    .append(lease.number())
                                                                    .append(lease.amount())
                                                                    .append(
                                                                            lease.countsUntil()
                                                                                    .minus(now))));
        }
        return text.toString();
    }
}
