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

/** A coordination stripe with one planted defect, which the trial must detect. */
public final class DefectiveCoordination extends CoordinationStripe {
    /** The defects that can be planted. */
    enum Defect {
        /**
         * The expiry of a lease is checked against the time of the last grant, not the time of use.
         */
        LEASE_USED_AFTER_STOP,
        /** Fewer votes than a majority of the configured routers elect a leader. */
        KEEPER_WITHOUT_MAJORITY,
        /** A new leader grants leases before those of its predecessors have expired. */
        SUCCESSOR_GRANTS_AT_ONCE,
        /** A restarted router votes at once, although it has forgotten its earlier votes. */
        FORGETFUL_VOTER,
        /**
         * A restarted router uses its share of the reserve at once, although it has forgotten its
         * earlier attempts.
         */
        FORGETFUL_SENDER,
        /** The reservation of an attempt is released when it is admitted, not when it is sent. */
        CHECKS_NOT_HELD_DOWN,
        /** A router that has not been heard of is assumed to have yielded its share. */
        UNHEARD_AS_NOTHING,
        /** A newer counter entry is added to the known one instead of replacing it. */
        COUNT_MERGED_TWICE,
        /** The report of a single router marks a node as unhealthy. */
        ONE_REPORTER_BELIEVED;

        String argumentName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * The defect of the stripe under construction. The constructor of the superclass calls the
     * factory methods before the field is assigned.
     */
    private static final ThreadLocal<Defect> DEFECT_UNDER_CONSTRUCTION = new ThreadLocal<>();

    private final Defect defect;

    private DefectiveCoordination(
            int stripe,
            ProcessIdentity self,
            List<String> fleet,
            LeaseParameters parameters,
            ElectionTimeouts timeouts,
            Duration now,
            Random random) {
        super(stripe, self, fleet, parameters, timeouts, now, random);
        defect = DEFECT_UNDER_CONSTRUCTION.get();
    }

    /** Returns the defect names that trials take as arguments. */
    public static List<String> names() {
        return Stream.of(Defect.values()).map(Defect::argumentName).toList();
    }

    /** Returns the defect with this argument name; null if the name is null. */
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
            LeaseParameters parameters,
            ElectionTimeouts timeouts,
            Duration now,
            Random random) {
        if (defect == null) {
            return new CoordinationStripe(stripe, self, fleet, parameters, timeouts, now, random);
        }
        DEFECT_UNDER_CONSTRUCTION.set(defect);
        return new DefectiveCoordination(stripe, self, fleet, parameters, timeouts, now, random);
    }

    @Override
    protected LeaderElection createElection(
            int stripe,
            ProcessIdentity process,
            List<String> routers,
            ElectionTimeouts timeouts,
            Duration start,
            Random random) {
        Defect planted = DEFECT_UNDER_CONSTRUCTION.get();
        return new LeaderElection(process, stripe, routers, timeouts, start, random) {
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
    protected LeaseIssuer createLeaseIssuer(LeaderElection of, LeaseParameters leaseParameters) {
        Defect planted = DEFECT_UNDER_CONSTRUCTION.get();
        return new LeaseIssuer(of, leaseParameters) {
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
    protected SlowStartQuota createQuota(
            LeaseParameters leaseParameters, int sharers, boolean drawn) {
        return defect != Defect.LEASE_USED_AFTER_STOP
                ? super.createQuota(leaseParameters, sharers, drawn)
                : new SlowStartQuota(leaseParameters, sharers, drawn) {
                    private Duration lastGrantAt = Duration.ZERO;

                    @Override
                    public void onGrant(Duration now, long ofNumber, double amount) {
                        lastGrantAt = now;
                        super.onGrant(now, ofNumber, amount);
                    }

                    @Override
                    protected boolean isExpired(Duration now, Duration end) {
                        return super.isExpired(lastGrantAt, end);
                    }
                };
    }
}
