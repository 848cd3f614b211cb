package postbeam.testbed.simulation;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.stream.Stream;
import postbeam.coordination.CoordinationStripe;
import postbeam.coordination.ElectionTimeouts;
import postbeam.coordination.LeaderElection;
import postbeam.coordination.LeaseIssuer;
import postbeam.coordination.LeaseParameters;
import postbeam.coordination.ProcessIdentity;
import postbeam.coordination.SlowStartQuota;

/** A router's shared decisions with one defect, which the trial must catch. */
public final class DefectiveCoordination extends CoordinationStripe {
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

        String argumentName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /** The stripe's own, set before its constructor makes its parts. */
    private static final ThreadLocal<Defect> MAKING = new ThreadLocal<>();

    private final Defect defect;

    private DefectiveCoordination(
            int stripe,
            ProcessIdentity self,
            List<String> fleet,
            LeaseParameters terms,
            ElectionTimeouts offices,
            Duration now,
            Random chance) {
        super(stripe, self, fleet, terms, offices, now, chance);
        defect = MAKING.get();
    }

    /** The defects, as trials take them as arguments. */
    public static List<String> names() {
        return Stream.of(Defect.values()).map(Defect::argumentName).toList();
    }

    /** Null where the name is null. */
    public static Defect defect(String name) {
        return name == null
                ? null
                : Defect.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    static CoordinationStripe of(
            Defect defect,
            int stripe,
            ProcessIdentity self,
            List<String> fleet,
            LeaseParameters terms,
            ElectionTimeouts offices,
            Duration now,
            Random chance) {
        if (defect == null) {
            return new CoordinationStripe(stripe, self, fleet, terms, offices, now, chance);
        }
        MAKING.set(defect);
        return new DefectiveCoordination(stripe, self, fleet, terms, offices, now, chance);
    }

    @Override
    protected LeaderElection createElection(
            int stripe,
            ProcessIdentity process,
            List<String> routers,
            ElectionTimeouts offices,
            Duration start,
            Random chance) {
        Defect planted = MAKING.get();
        return new LeaderElection(process, stripe, routers, offices, start, chance) {
            @Override
            protected int quorum() {
                return planted == Defect.KEEPER_WITHOUT_MAJORITY
                        ? (routers.size() - 1) / 2
                        : super.quorum();
            }

            @Override
            protected boolean mayVote(Duration now) {
                return planted == Defect.FORGETFUL_VOTER || super.mayVote(now);
            }
        };
    }

    @Override
    protected LeaseIssuer createLeaseIssuer(LeaderElection of, LeaseParameters leaseTerms) {
        Defect planted = MAKING.get();
        return new LeaseIssuer(of, leaseTerms) {
            @Override
            protected boolean waitedOutPredecessors(Duration now, Duration wonAt) {
                return planted == Defect.SUCCESSOR_GRANTS_AT_ONCE
                        || super.waitedOutPredecessors(now, wonAt);
            }
        };
    }

    @Override
    protected boolean maySend(Duration now) {
        return defect == Defect.FORGETFUL_SENDER || super.maySend(now);
    }

    @Override
    protected SlowStartQuota createQuota(LeaseParameters leaseTerms, int sharers, boolean drawn) {
        return defect != Defect.LEASE_USED_AFTER_STOP
                ? super.createQuota(leaseTerms, sharers, drawn)
                : new SlowStartQuota(leaseTerms, sharers, drawn) {
                    private Duration lookedAt = Duration.ZERO;

                    @Override
                    public void onGrant(Duration now, long ofNumber, double amount) {
                        lookedAt = now;
                        super.onGrant(now, ofNumber, amount);
                    }

                    @Override
                    protected boolean isExpired(Duration now, Duration end) {
                        return super.isExpired(lookedAt, end);
                    }
                };
    }
}
