package postbeam.coordination;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * The election of one stripe's leader as one router sees it: a voter, and a candidate that may
 * become leader. At most one router at any moment is leader by its own clock, whatever happens to
 * messages and processes (docs/together.md, invariant 1).
 *
 * <p>Not thread-safe; {@link StripedCoordinator} guards it by the stripe's lock. Times are spans of
 * the router's own monotonic clock.
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

    // As a candidate and leader.
    private boolean candidate;
    private long term;
    private long round;
    private Duration requestedAt;
    private Duration nextCandidacyAt;
    private final Set<String> votes = new TreeSet<>();
    private Duration leaderSince;
    private Duration leaseEnd;

    /**
     * Starts with no memory of earlier votes.
     *
     * @param members all configured routers by name, this one among them
     */
    public LeaderElection(
            ProcessIdentity self,
            int stripe,
            List<String> members,
            ElectionTimeouts timeouts,
            Duration now,
            Random random) {
        this.self = self;
        this.stripe = stripe;
        this.members = members;
        this.timeouts = timeouts;
        this.random = random;
        this.mayVoteFrom = now.plus(timeouts.maxLeaderLease()).plus(timeouts.maxClockDrift());
        this.nextCandidacyAt = mayVoteFrom.plus(candidacyDelay());
    }

    // ---- as a voter

    /** Grants the vote or refuses it. */
    public VoteResponse handleVoteRequest(Duration now, VoteRequest request) {
        boolean granted =
                members.contains(request.candidate().name())
                        && mayVote(now)
                        && request.term() >= highestTerm
                        && mayVoteFor(now, request.candidate());
        if (granted) {
            castVote(now, request.candidate(), request.term());
        }
        return new VoteResponse(
                stripe, request.term(), request.round(), self.name(), granted, highestTerm);
    }

    /**
     * A restarted process does not know whom it voted for: it votes only once no earlier vote binds
     * it, so that it never votes twice in a term. Where the whole fleet starts at once there is no
     * leader for as long.
     */
    protected boolean mayVote(Duration now) {
        return now.compareTo(mayVoteFrom) >= 0;
    }

    private boolean mayVoteFor(Duration now, ProcessIdentity process) {
        return votedFor == null || votedFor.equals(process) || now.compareTo(voteBindsUntil) >= 0;
    }

    private void castVote(Duration now, ProcessIdentity process, long voteTerm) {
        votedFor = process;
        voteBindsUntil = now.plus(timeouts.voteDuration());
        highestTerm = voteTerm;
        nextCandidacyAt = voteBindsUntil.plus(candidacyDelay());
    }

    /** Whom this router's vote binds it to, who may be the leader; null where it binds no more. */
    public ProcessIdentity knownLeader(Duration now) {
        return votedFor != null && now.compareTo(voteBindsUntil) < 0 ? votedFor : null;
    }

    // ---- as a candidate

    /** The vote request to send to all others now; null where there is none. */
    public VoteRequest tick(Duration now) {
        if (candidate && isRenewalDue(now)) {
            endRound(now);
        }
        if (candidate || !isCandidacyDue(now)) {
            return null;
        }
        if (!isLeader(now)) {
            term = Math.max(term, highestTerm) + 1;
        }
        round++;
        requestedAt = now;
        setCandidate(true);
        castVote(now, self, term);
        votes.add(self.name());
        becomeLeaderIfElected(now);
        return new VoteRequest(stripe, term, round, self);
    }

    private boolean isRenewalDue(Duration now) {
        return now.minus(requestedAt).compareTo(timeouts.renewalInterval()) >= 0;
    }

    private void endRound(Duration now) {
        if (isLeader(now)) {
            setCandidate(false);
        } else {
            abandonCandidacy(now);
        }
    }

    private boolean isCandidacyDue(Duration now) {
        return isLeader(now)
                ? isRenewalDue(now)
                : now.compareTo(nextCandidacyAt) >= 0 && mayVote(now) && mayVoteFor(now, self);
    }

    private void setCandidate(boolean isCandidate) {
        candidate = isCandidate;
        votes.clear();
    }

    /** Counts a vote of the current round; responses to earlier rounds are ignored. */
    public void onVote(Duration now, VoteResponse vote) {
        if (!candidate
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

    /** Frees its own vote: nobody can count it, as responses to an ended round are ignored. */
    private void abandonCandidacy(Duration now) {
        setCandidate(false);
        votedFor = self.equals(votedFor) ? null : votedFor;
        nextCandidacyAt = now.plus(candidacyDelay());
    }

    private void becomeLeaderIfElected(Duration now) {
        Duration end = requestedAt.plus(timeouts.leaderLease());
        if (votes.size() < quorum() || now.compareTo(end) >= 0) {
            return;
        }
        leaderSince = isLeader(now) ? leaderSince : now;
        leaseEnd = end;
        setCandidate(false);
    }

    /** A majority of all configured members, whether they run or not. */
    protected int quorum() {
        return members.size() / 2 + 1;
    }

    /** Differs among routers, so that few are candidates at once; each stripe prefers another. */
    private Duration candidacyDelay() {
        int rank = Math.floorMod(members.indexOf(self.name()) - stripe, members.size());
        double fraction = (rank + random.nextDouble()) / members.size();
        return Duration.ofNanos((long) (timeouts.renewalInterval().toNanos() * fraction));
    }

    // ---- as the leader

    /** Whether this router holds the leader's lease. */
    public boolean isLeader(Duration now) {
        return leaseEnd != null && now.compareTo(leaseEnd) < 0;
    }

    /** Since when it has been leader without a gap; null before its first election. */
    public Duration leaderSince() {
        return leaderSince;
    }

    /** The term of its latest candidacy. */
    public long term() {
        return term;
    }

    /** All that its next steps depend on, with spans from now: equal ones go on alike. */
    String stateSummary(Duration now) {
        String vote = mayVoteFor(now, null) ? "-" : votedFor + " " + remaining(now, voteBindsUntil);
        String candidacy =
                candidate ? " s" + term + "." + round + " " + requestedAt.minus(now) + votes : "";
        String leadership =
                isLeader(now) ? " o" + remaining(now, leaseEnd) + " " + leaderSince.minus(now) : "";
        return "v"
                + remaining(now, mayVoteFrom)
                + " h"
                + highestTerm
                + " p"
                + vote
                + candidacy
                + leadership
                + " a"
                + remaining(now, nextCandidacyAt);
    }

    private static Duration remaining(Duration now, Duration end) {
        return end.compareTo(now) <= 0 ? Duration.ZERO : end.minus(now);
    }
}
