package postbeam.rig;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.stream.Stream;
import postbeam.shared.Keeper;
import postbeam.shared.LeaseTerms;
import postbeam.shared.NodeLeases;
import postbeam.shared.Office;
import postbeam.shared.OfficeTerms;
import postbeam.shared.Stripe;
import postbeam.shared.Who;

/** A router's shared decisions with one defect, which the trial must catch. */
final class PlantedSharing extends Stripe {
    /** What can be planted. */
    enum Defect {
        /** A lease's end is looked at when answers come, not when it is used. */
        LEASE_USED_AFTER_STOP,
        /** Half of the configured routers, or fewer, make a keeper. */
        KEEPER_WITHOUT_MAJORITY,
        /** A new keeper does not wait for its predecessors' leases. */
        SUCCESSOR_GRANTS_AT_ONCE,
        /** Whoever came back votes at once. */
        FORGETFUL_VOTER,
        /** Whoever came back uses its part of the reserve at once. */
        FORGETFUL_SENDER,
        /** A send is told to be out when it is checked. */
        CHECKS_NOT_HELD_DOWN,
        /** Who was not heard of is taken to have given up its share. */
        UNHEARD_AS_NOTHING,
        /** News of a router is added to what was known of it. */
        COUNT_MERGED_TWICE,
        /** What one router says of a node is enough. */
        ONE_REPORTER_BELIEVED;

        String spelt() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /** The stripe's own, set before its constructor makes its parts. */
    private static final ThreadLocal<Defect> MAKING = new ThreadLocal<>();

    private final Defect defect;

    private PlantedSharing(
            int stripe,
            Who self,
            List<String> fleet,
            LeaseTerms terms,
            OfficeTerms offices,
            Duration now,
            Random chance) {
        super(stripe, self, fleet, terms, offices, now, chance);
        defect = MAKING.get();
    }

    static List<String> names() {
        return Stream.of(Defect.values()).map(Defect::spelt).toList();
    }

    /** Null where the name is null. */
    static Defect defect(String name) {
        return name == null
                ? null
                : Defect.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    static Stripe of(
            Defect defect,
            int stripe,
            Who self,
            List<String> fleet,
            LeaseTerms terms,
            OfficeTerms offices,
            Duration now,
            Random chance) {
        if (defect == null) {
            return new Stripe(stripe, self, fleet, terms, offices, now, chance);
        }
        MAKING.set(defect);
        return new PlantedSharing(stripe, self, fleet, terms, offices, now, chance);
    }

    @Override
    protected Office office(
            int stripe,
            Who who,
            List<String> routers,
            OfficeTerms offices,
            Duration start,
            Random chance) {
        Defect planted = MAKING.get();
        return new Office(who, stripe, routers, offices, start, chance) {
            @Override
            protected int majority() {
                return planted == Defect.KEEPER_WITHOUT_MAJORITY
                        ? (routers.size() - 1) / 2
                        : super.majority();
            }

            @Override
            protected boolean mayVote(Duration now) {
                return planted == Defect.FORGETFUL_VOTER || super.mayVote(now);
            }
        };
    }

    @Override
    protected Keeper keeper(Office of, LeaseTerms leaseTerms) {
        Defect planted = MAKING.get();
        return new Keeper(of, leaseTerms) {
            @Override
            protected boolean waited(Duration now, Duration wonAt) {
                return planted == Defect.SUCCESSOR_GRANTS_AT_ONCE || super.waited(now, wonAt);
            }
        };
    }

    @Override
    protected boolean maySend(Duration now) {
        return defect == Defect.FORGETFUL_SENDER || super.maySend(now);
    }

    @Override
    protected NodeLeases leases(LeaseTerms leaseTerms, int sharers, boolean drawn) {
        return defect != Defect.LEASE_USED_AFTER_STOP
                ? super.leases(leaseTerms, sharers, drawn)
                : new NodeLeases(leaseTerms, sharers, drawn) {
                    private Duration lookedAt = Duration.ZERO;

                    @Override
                    public void granted(Duration now, long ofNumber, double amount) {
                        lookedAt = now;
                        super.granted(now, ofNumber, amount);
                    }

                    @Override
                    protected boolean over(Duration now, Duration end) {
                        return super.over(lookedAt, end);
                    }
                };
    }
}
