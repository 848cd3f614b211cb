package postbeam.coordination;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * Who keeps one stripe, as one router sees it: a voter, and a candidate that may be in office. At
 * most one router at any moment is in office by its own clock, whatever messages and processes do
 * (docs/together.md, invariant 1).
 */
public class LeaderElection {
    private final ProcessIdentity self;
    private final int stripe;
    private final List<String> members;
    private final ElectionTimeouts timeouts;
    private final Random random;

    // As a voter.
    private final Duration mayVoteFrom;
    private long highestTerm;
    private ProcessIdentity votedFor;
    private Duration voteBindsUntil = Duration.ZERO;

    // As a candidate and keeper.
    private boolean standing;
    private long term;
    private long round;
    private Duration requestedAt;
    private Duration nextCandidacyAt;
    private final Set<String> votes = new TreeSet<>();
    private Duration leaderSince;
    private Duration leaseEnd;

    /** Starts with no memory; the fleet is all configured names, this router's among them. */
    public LeaderElection(
            ProcessIdentity self,
            int stripe,
            List<String> fleet,
            ElectionTimeouts terms,
            Duration now,
            Random chance) {
        this.self = self;
        this.stripe = stripe;
        this.members = fleet;
        this.timeouts = terms;
        this.random = chance;
        this.mayVoteFrom = now.plus(terms.maxLeaderLease()).plus(terms.maxClockDrift());
        this.nextCandidacyAt = mayVoteFrom.plus(candidacyDelay());
    }

    // ---- as a voter

    public VoteResponse handleVoteRequest(Duration now, VoteRequest ballot) {
        boolean given =
                members.contains(ballot.candidate().name())
                        && mayVote(now)
                        && ballot.term() >= highestTerm
                        && mayVoteFor(now, ballot.candidate());
        if (given) {
            castVote(now, ballot.candidate(), ballot.term());
        }
        return new VoteResponse(
                stripe, ballot.term(), ballot.round(), self.name(), given, highestTerm);
    }

    /**
     * Guards against two votes in one term: a process that came back under its name does not know
     * whom it promised. It hurts where the whole fleet starts at once: no keeper for so long.
     */
    protected boolean mayVote(Duration now) {
        return now.compareTo(mayVoteFrom) >= 0;
    }

    private boolean mayVoteFor(Duration now, ProcessIdentity candidate) {
        return votedFor == null || votedFor.equals(candidate) || now.compareTo(voteBindsUntil) >= 0;
    }

    private void castVote(Duration now, ProcessIdentity candidate, long inTerm) {
        votedFor = candidate;
        voteBindsUntil = now.plus(timeouts.voteHold());
        highestTerm = inTerm;
        nextCandidacyAt = voteBindsUntil.plus(candidacyDelay());
    }

    /**
     * Who this router last voted for, while that binds it: perhaps the keeper; null where it knows
     * none.
     */
    public ProcessIdentity knownLeader(Duration now) {
        return votedFor != null && now.compareTo(voteBindsUntil) < 0 ? votedFor : null;
    }

    // ---- as a candidate

    /** The ballot to send to all others now; null where there is none. */
    public VoteRequest tick(Duration now) {
        if (standing && now.minus(requestedAt).compareTo(timeouts.renewalInterval()) >= 0) {
            if (isLeader(now)) {
                setCandidate(false);
            } else {
                abandonCandidacy(now);
            }
        }
        boolean due =
                isLeader(now)
                        ? now.minus(requestedAt).compareTo(timeouts.renewalInterval()) >= 0
                        : now.compareTo(nextCandidacyAt) >= 0
                                && mayVote(now)
                                && mayVoteFor(now, self);
        if (standing || !due) {
            return null;
        }
        term = isLeader(now) ? term : Math.max(term, highestTerm) + 1;
        round++;
        requestedAt = now;
        setCandidate(true);
        castVote(now, self, term);
        votes.add(self.name());
        becomeLeaderIfElected(now);
        return new VoteRequest(stripe, term, round, self);
    }

    private void setCandidate(boolean stands) {
        standing = stands;
        votes.clear();
    }

    public void onVote(Duration now, VoteResponse vote) {
        if (!standing
                || vote.term() != term
                || vote.round() != round
                || !members.contains(vote.voter())) {
            return;
        }
        if (vote.granted()) {
            votes.add(vote.voter());
            becomeLeaderIfElected(now);
        } else if (!isLeader(now) && vote.highestTerm() >= term) {
            term = vote.highestTerm();
            abandonCandidacy(now);
        }
    }

    /**
     * Its own vote is free again: nobody can have it counted, as answers to a round that is over
     * are not heard.
     */
    private void abandonCandidacy(Duration now) {
        setCandidate(false);
        votedFor = self.equals(votedFor) ? null : votedFor;
        nextCandidacyAt = now.plus(candidacyDelay());
    }

    private void becomeLeaderIfElected(Duration now) {
        Duration until = requestedAt.plus(timeouts.leaderLease());
        if (votes.size() < quorum() || now.compareTo(until) >= 0) {
            return;
        }
        leaderSince = isLeader(now) ? leaderSince : now;
        leaseEnd = until;
        setCandidate(false);
    }

    /** Of all that are configured, whether they are there or not. */
    protected int quorum() {
        return members.size() / 2 + 1;
    }

    /**
     * A wait that differs among routers, so that few stand at once; for each stripe others come
     * first.
     */
    private Duration candidacyDelay() {
        int rank = Math.floorMod(members.indexOf(self.name()) - stripe, members.size());
        double share = (rank + random.nextDouble()) / members.size();
        return Duration.ofNanos((long) (timeouts.renewalInterval().toNanos() * share));
    }

    // ---- in office

    public boolean isLeader(Duration now) {
        return leaseEnd != null && now.compareTo(leaseEnd) < 0;
    }

    /** Since when it is in office without a gap. */
    public Duration leaderSince() {
        return leaderSince;
    }

    public long term() {
        return term;
    }

    /** What its next steps depend on, with spans from now: two that are alike go on alike. */
    String standing(Duration now) {
        return "v"
                + remaining(now, mayVoteFrom)
                + " h"
                + highestTerm
                + " p"
                + (mayVoteFor(now, null) ? "-" : votedFor + " " + remaining(now, voteBindsUntil))
                + (standing ? " s" + term + "." + round + " " + requestedAt.minus(now) + votes : "")
                + (isLeader(now)
                        ? " o" + remaining(now, leaseEnd) + " " + leaderSince.minus(now)
                        : "")
                + " a"
                + remaining(now, nextCandidacyAt);
    }

    private static Duration remaining(Duration now, Duration until) {
        return until.compareTo(now) <= 0 ? Duration.ZERO : until.minus(now);
    }
}
