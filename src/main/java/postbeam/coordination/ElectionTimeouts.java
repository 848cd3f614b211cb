package postbeam.coordination;

import java.time.Duration;

/**
 * The timeouts of elections, which must be the same on all routers. The letters are those of
 * docs/together.md.
 *
 * @param leaderLease o: how long a leader leads, counted from when it requested the votes
 * @param maxLeaderLease O: the longest leader lease ever configured for any router of the fleet; a
 *     restarted voter, which has no record of its votes, waits this long before it votes
 * @param maxClockDrift d: the most that two clocks may diverge over the longest of these times
 */
public record ElectionTimeouts(
        Duration leaderLease, Duration maxLeaderLease, Duration maxClockDrift) {
    /**
     * Checks the timeouts.
     *
     * @throws IllegalArgumentException if they can't be used; the message has all of them
     */
    public ElectionTimeouts {
        if (leaderLease.isNegative()
                || leaderLease.isZero()
                || maxLeaderLease.compareTo(leaderLease) < 0
                || maxClockDrift.isNegative()) {
            throw new IllegalArgumentException(
                    "election timeouts must satisfy 0 < leader lease <= longest leader lease and"
                            + " clock drift >= 0, but the leader lease is "
                            + leaderLease
                            + ", the longest leader lease "
                            + maxLeaderLease
                            + " and the clock drift "
                            + maxClockDrift);
        }
    }

    /** How long a vote prevents the voter from voting for another candidate. */
    Duration voteDuration() {
        return leaderLease.plus(maxClockDrift);
    }

    /**
     * The time between the vote requests of a leader. It is a third of the lease, so that two
     * rounds in a row may be lost before the lease ends.
     */
    Duration renewalInterval() {
        return leaderLease.dividedBy(3);
    }
}
