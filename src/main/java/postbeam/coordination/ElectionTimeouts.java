package postbeam.coordination;

import java.time.Duration;

/**
 * What all routers must agree on for elections; the letters are those of docs/together.md.
 *
 * @param leaderLease o: how long a leader leads, from when it requested votes
 * @param maxLeaderLease O: the longest lease that any router of the fleet was ever set to; a voter
 *     without memory waits so long
 * @param maxClockDrift d: what two clocks may differ by over the longest span here
 */
public record ElectionTimeouts(
        Duration leaderLease, Duration maxLeaderLease, Duration maxClockDrift) {
    /** Checks the spans; an IllegalArgumentException states them where they can't be used. */
    public ElectionTimeouts {
        if (leaderLease.isNegative()
                || leaderLease.isZero()
                || maxLeaderLease.compareTo(leaderLease) < 0
                || maxClockDrift.isNegative()) {
            throw new IllegalArgumentException(
                    "election timeouts can't be used: leader lease "
                            + leaderLease
                            + ", longest lease "
                            + maxLeaderLease
                            + ", clock drift "
                            + maxClockDrift);
        }
    }

    /** How long a vote binds the voter. */
    Duration voteDuration() {
        return leaderLease.plus(maxClockDrift);
    }

    /** When a leader renews its lease: two rounds may be lost. */
    Duration renewalInterval() {
        return leaderLease.dividedBy(3);
    }
}
