package postbeam.shared;

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
public class Stripe {
    /**
     * Nodes that leases are held of at most, over all stripes more than any fleet has cold at once.
     */
    private static final int NODES_MOST = 10_000;

    /** Asks in one message to a keeper; others go a little later. */
    private static final int ASKS_MOST = 64;

    /**
     * What to send now: a ballot for all others or null, and asks for this router, which may be the
     * sender itself.
     */
    public record Due(Ballot ballot, Who keeper, List<LeaseAsk> asks) {}

    private static final class Held {
        final NodeLeases leases;
        double budget;

        Held(NodeLeases leases) {
            this.leases = leases;
        }
    }

    private final Who self;
    private final List<String> fleet;
    private final LeaseTerms terms;
    private final Office office;
    private final Keeper keeper;
    private final Duration sendsFrom;
    private final Map<NodeKey, Held> nodes = new LinkedHashMap<>();

    /**
     * Of leases: goes on over all nodes, so that none is used twice when a node is forgotten and
     * comes again.
     */
    private long number;

    public Stripe(
            int stripe,
            Who self,
            List<String> fleet,
            LeaseTerms terms,
            OfficeTerms offices,
            Duration now,
            Random chance) {
        this.self = self;
        this.fleet = fleet;
        this.terms = terms;
        this.sendsFrom = now.plus(terms.window()).plus(terms.drift());
        this.office = office(stripe, self, fleet, offices, now, chance);
        this.keeper = keeper(office, terms);
    }

    protected Office office(
            int stripe,
            Who who,
            List<String> routers,
            OfficeTerms offices,
            Duration now,
            Random chance) {
        return new Office(who, stripe, routers, offices, now, chance);
    }

    protected Keeper keeper(Office of, LeaseTerms leaseTerms) {
        return new Keeper(of, leaseTerms);
    }

    protected NodeLeases leases(LeaseTerms leaseTerms, int sharers, boolean drawn) {
        return new NodeLeases(leaseTerms, sharers, drawn);
    }

    // ---- sends

    /**
     * Takes so much work for a send to the node and is true, if there is room; the send is under
     * way until it is out.
     */
    public boolean take(Duration now, NodeKey node, double amount, Budget budget) {
        Held held = held(now, node, budget);
        return held != null && held.leases.take(now, amount, budget.now());
    }

    /** What may be taken now. */
    public double room(Duration now, NodeKey node, Budget budget) {
        Held held = held(now, node, budget);
        return held == null ? 0 : held.leases.room(now, budget.now());
    }

    /**
     * Guards against a process that came back under its name and does not know what it sent just
     * before: it has its part of the reserve once for each window, not once for each start. It
     * hurts after any start: for a window cold nodes get nothing from this router.
     */
    protected boolean maySend(Duration now) {
        return now.compareTo(sendsFrom) >= 0;
    }

    public void out(NodeKey node, double amount) {
        Held held = nodes.get(node);
        if (held != null) {
            held.leases.out(amount);
        }
    }

    /** Null where it may not send yet, or too many are held. */
    private Held held(Duration now, NodeKey node, Budget budget) {
        if (!maySend(now)) {
            return null;
        }
        Held held = nodes.get(node);
        if (held == null) {
            if (nodes.size() >= NODES_MOST) {
                nodes.values().removeIf(one -> one.leases.idle(now));
            }
            if (nodes.size() >= NODES_MOST) {
                return null;
            }
            int sharers = terms.sharers(budget.first());
            held = new Held(leases(terms, sharers, terms.drawn(node, self.name(), fleet, sharers)));
            nodes.put(node, held);
        }
        held.budget = Math.max(held.budget, budget.now());
        return held;
    }

    /** By node, what it holds of leases now. */
    public Map<NodeKey, Double> leased(Duration now) {
        Map<NodeKey, Double> all = new LinkedHashMap<>();
        nodes.forEach((node, held) -> all.put(node, held.leases.leased(now)));
        return all;
    }

    // ---- messages

    public Due due(Duration now) {
        Ballot ballot = office.tick(now);
        Who to = office.inOffice(now) ? self : office.keeper(now);
        List<LeaseAsk> asks = new ArrayList<>();
        if (to != null) {
            nodes.forEach(
                    (node, held) -> {
                        if (asks.size() < ASKS_MOST) {
                            double want = held.leases.ask(now, held.budget, number + 1);
                            if (want > 0) {
                                asks.add(new LeaseAsk(node, self, ++number, want, held.budget));
                            }
                        }
                    });
        }
        if (self.equals(to)) {
            asks.forEach(ask -> granted(now, asked(now, ask)));
            asks.clear();
        }
        return new Due(ballot, to, asks);
    }

    public Vote asked(Duration now, Ballot ballot) {
        return office.asked(now, ballot);
    }

    public void answered(Duration now, Vote vote) {
        office.answered(now, vote);
    }

    public LeaseGrant asked(Duration now, LeaseAsk ask) {
        return keeper.asked(now, ask);
    }

    public void granted(Duration now, LeaseGrant grant) {
        Held held = nodes.get(grant.node());
        if (held != null && grant.router().equals(self)) {
            held.leases.granted(now, grant.number(), grant.amount());
        }
    }

    // ---- what is seen of it

    public Office office() {
        return office;
    }

    public Keeper keeper() {
        return keeper;
    }

    /** All that its next steps depend on, with spans from now. */
    public String standing(Duration now) {
        StringBuilder text = new StringBuilder(office.standing(now)).append(keeper.standing(now));
        nodes.forEach((node, held) -> text.append('|').append(held.leases.standing(now)));
        return text.toString();
    }
}
