package postbeam.coordination;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * One router's part in the election of one stripe's leader: it votes, and it may become a candidate
 * and the leader. At any moment at most one router is the leader by its own clock, even if messages
 * are lost or late and processes are suspended or restart (docs/together.md, invariant 1).
 *
 * <p>Not thread-safe; {@link StripedCoordinator} guards it with the stripe's lock. Times are
 * readings of the router's own monotonic clock.
 */
public class LeaderElection {
    private final ProcessIdentity self;
    private final int stripe;
    private final List<String> members;
    private final ElectionTimeouts timeouts;
    private final Random random;

    // State as a voter.
    private final Duration mayVoteFrom;
    private long highestTerm;
    private ProcessIdentity votedFor;
    private Duration voteBindsUntil = Duration.ZERO;

    // State as a candidate and as the leader.
    private boolean candidate;
    private long term;
    private long round;
    private Duration requestedAt;
    private Duration nextCandidacyAt;
    private final Set<String> votes = new TreeSet<>();
    private Duration leaderSince;
    private Duration leaseEnd;

    /**
     * Creates an election in which this process has no record of votes of an earlier process.
     *
     * @param members names of all configured routers, including this one
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

    /** Grants or refuses the candidate this router's vote. */
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
     * Whether this process may vote. A restarted process does not know its earlier votes, so it
     * waits until they have expired, so that it never votes twice in a term. If the whole fleet
     * starts at the same time, there is no leader during that wait.
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

    /**
     * The candidate that this router's vote is bound to, which may be the leader; null if the vote
     * has expired.
     */
    public ProcessIdentity knownLeader(Duration now) {
        return votedFor != null && now.compareTo(voteBindsUntil) < 0 ? votedFor : null;
    }

    // ---- as a candidate

    /**
     * Ends a round of votes whose time is over, and starts the next one if it is due. Returns the
     * vote request to send to all other routers now, or null if there is none.
     */
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

    /** Handles a response to the current round; responses to earlier rounds are ignored. */
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

    /**
     * Ends the candidacy and releases this router's vote for itself. The vote can no longer count
     * for that candidacy, as responses to an ended round are ignored.
     */
    private void abandonCandidacy(Duration now) {
        setCandidate(false);
        votedFor = self.equals(votedFor) ? null : votedFor;
        nextCandidacyAt = now.plus(candidacyDelay());
    }

    /** The lease counts from the vote request; a majority after the end of the lease is ignored. */
    private void becomeLeaderIfElected(Duration now) {
        Duration end = requestedAt.plus(timeouts.leaderLease());
        if (votes.size() < quorum() || now.compareTo(end) >= 0) {
            return;
        }
        leaderSince = isLeader(now) ? leaderSince : now;
        leaseEnd = end;
        setCandidate(false);
    }

    /** The majority of all configured routers, whether they are running or not. */
    protected int quorum() {
        return members.size() / 2 + 1;
    }

    /**
     * The delay before the next candidacy. It differs among routers, so that few are candidates at
     * the same time, and each stripe has another router with the shortest delay.
     */
    private Duration candidacyDelay() {
        int rank = Math.floorMod(members.indexOf(self.name()) - stripe, members.size());
        double fraction = (rank + random.nextDouble()) / members.size();
        return Duration.ofNanos((long) (timeouts.renewalInterval().toNanos() * fraction));
    }

    // ---- as the leader

    /** Whether this router is the leader, that is, holds an unexpired leader lease. */
    public boolean isLeader(Duration now) {
        return leaseEnd != null && now.compareTo(leaseEnd) < 0;
    }

    /**
     * When the current leadership, or the last one, began; renewals without a gap continue it. Null
     * before this router first became the leader.
     */
    public Duration leaderSince() {
        return leaderSince;
    }

    /**
     * The term of the latest candidacy, or the higher term that a voter reported when it refused
     * its vote.
     */
    public long term() {
        return term;
    }

    /**
     * Encodes the state that determines the later behaviour, with times relative to {@code now}:
     * two elections with equal summaries behave alike from here on.
     */
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
