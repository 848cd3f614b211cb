package postbeam.shared;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Grants leases of one stripe's nodes, in office only, and nothing until all that predecessors can
 * have granted is past (docs/together.md, invariant 3).
 */
public class Keeper {
    /**
     * Nodes with leases that a keeper holds at most, over all stripes more than any fleet has cold
     * at once.
     */
    private static final int NODES_MOST = 10_000;

    private final Office office;
    private final LeaseTerms terms;
    private final Map<NodeKey, Ledger> ledgers = new LinkedHashMap<>();

    /** The office that the ledgers are of. */
    private Duration since;

    public Keeper(Office office, LeaseTerms terms) {
        this.office = office;
        this.terms = terms;
    }

    /** The answer to a router's ask. The time must have been read after the ask came. */
    public LeaseGrant asked(Duration now, LeaseAsk ask) {
        double amount = 0;
        if (grants(now)) {
            if (!office.since().equals(since)) {
                since = office.since();
                ledgers.clear();
            }
            if (ledgers.size() >= NODES_MOST) {
                ledgers.values().removeIf(ledger -> ledger.empty(now));
            }
            if (ledgers.size() < NODES_MOST || ledgers.containsKey(ask.node())) {
                amount =
                        ledgers.computeIfAbsent(ask.node(), node -> new Ledger())
                                .grant(
                                        now,
                                        ask.router(),
                                        ask.number(),
                                        ask.wanted(),
                                        terms.leasable(ask.budget()),
                                        terms.counted());
            }
        }
        return new LeaseGrant(ask.node(), ask.router(), ask.number(), amount);
    }

    /** Whether it is in office, and long enough. */
    public boolean grants(Duration now) {
        return office.inOffice(now) && waited(now, office.since());
    }

    protected boolean waited(Duration now, Duration wonAt) {
        return now.compareTo(wonAt.plus(terms.counted())) >= 0;
    }

    /** What counts of leases, by node. */
    public Map<NodeKey, Ledger> ledgers() {
        return ledgers;
    }

    String standing(Duration now) {
        StringBuilder text =
                new StringBuilder(office.inOffice(now) && office.since().equals(since) ? "k" : "");
        if (text.length() > 0) {
            ledgers.values()
                    .forEach(
                            ledger ->
                                    ledger.leases().stream()
                                            .filter(lease -> lease.until().compareTo(now) > 0)
                                            .forEach(
                                                    lease ->
                                                            text.append(lease.router())
                                                                    .append(lease.number())
                                                                    .append(lease.amount())
                                                                    .append(
                                                                            lease.until()
                                                                                    .minus(now))));
        }
        return text.toString();
    }
}
