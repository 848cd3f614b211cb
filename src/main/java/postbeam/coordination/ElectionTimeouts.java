package postbeam.coordination;

import java.time.Duration;

/**
 * What all routers must agree on for keepers; the letters are those of docs/together.md.
 *
 * @param office o: how long an office lasts, from when its holder asked for votes
 * @param longest O: the longest that any router of this fleet was ever set to; a voter without
 *     memory waits so long
 * @param drift d: what two clocks may differ by over the longest span here
 */
public record ElectionTimeouts(
        Duration leaderLease, Duration maxLeaderLease, Duration maxClockDrift) {
    public ElectionTimeouts {
        if (leaderLease.isNegative()
                || leaderLease.isZero()
                || maxLeaderLease.compareTo(leaderLease) < 0
                || maxClockDrift.isNegative()) {
            throw new IllegalArgumentException(
                    "terms of office can't be used: office "
                            + leaderLease
                            + ", longest "
                            + maxLeaderLease
                            + ", drift "
                            + maxClockDrift);
        }
    }

    /** How long a vote binds who gave it. */
    Duration voteHold() {
        return leaderLease.plus(maxClockDrift);
    }

    /** When a keeper asks for its office anew: two asks may be lost. */
    Duration renewalInterval() {
        return leaderLease.dividedBy(3);
    }
}
