package postbeam.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class LeaderElectionTest {
    private static final List<String> MEMBERS = List.of("a", "b", "c");
    private static final NodeIncarnation NODE = new NodeIncarnation("n", 1);

    private final ElectionTimeouts timeouts = new ElectionTimeouts(ms(300), ms(900), ms(10));
    private final LeaseParameters leaseParameters =
            new LeaseParameters(ms(200), ms(100), ms(10), 0.25, 0.25, 3, 0);
    private final LeaderElection a = election("a", 0);
    private final LeaderElection b = election("b", 0);
    private final LeaderElection c = election("c", 0);

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private LeaderElection election(String name, long startedAt) {
        return new LeaderElection(
                new ProcessIdentity(name, startedAt),
                0,
                MEMBERS,
                timeouts,
                ms(startedAt),
                new Random(1));
    }

    /**
     * Polls the candidate until it requests votes, and hands it the responses of the voters.
     *
     * @return the time in milliseconds at which the candidate received the responses, 1 ms after
     *     its request
     */
    private long runCandidacy(LeaderElection candidate, long from, LeaderElection... voters) {
        VoteRequest request = null;
        long at = from;
        while (request == null) {
            request = candidate.tick(ms(at++));
        }
        for (LeaderElection voter : voters) {
            candidate.onVote(ms(at), voter.handleVoteRequest(ms(at), request));
        }
        return at;
    }

    @Test
    void majorityOfAllMembersElectsALeaderWhoseLeaseStartsAtItsVoteRequest() {
        long at = runCandidacy(a, 910);
        assertFalse(a.isLeader(ms(at)), "one vote of three is no majority");
        at = runCandidacy(a, at + 100, b);
        assertTrue(a.isLeader(ms(at)));
        assertTrue(a.isLeader(ms(at - 1 + 299)));
        assertFalse(a.isLeader(ms(at - 1 + 300)));
    }

    @Test
    void voterRefusesOtherCandidatesUntilItsVoteExpires() {
        long at = runCandidacy(a, 910, b);
        VoteRequest otherCandidate = new VoteRequest(0, 9, 1, new ProcessIdentity("c", 0));
        assertFalse(b.handleVoteRequest(ms(at + 309), otherCandidate).granted());
        assertTrue(b.handleVoteRequest(ms(at + 310), otherCandidate).granted());
        assertFalse(
                b.handleVoteRequest(
                                ms(at + 311), new VoteRequest(0, 9, 1, new ProcessIdentity("a", 0)))
                        .granted(),
                "a second vote in the same term");
        assertFalse(
                b.handleVoteRequest(
                                ms(at + 700), new VoteRequest(0, 8, 1, new ProcessIdentity("a", 0)))
                        .granted(),
                "a vote in an older term");
        assertFalse(
                b.handleVoteRequest(
                                ms(at + 700),
                                new VoteRequest(0, 10, 1, new ProcessIdentity("unknown", 0)))
                        .granted(),
                "a vote for a router that is not configured");
    }

    @Test
    void restartedVoterNeitherVotesNorRunsBeforeTheLongestLeaseIsOver() {
        VoteRequest request = new VoteRequest(0, 1, 1, new ProcessIdentity("a", 0));
        LeaderElection restarted = election("b", 1000);
        assertFalse(restarted.handleVoteRequest(ms(1909), request).granted());
        assertNull(restarted.tick(ms(1909)));
        assertTrue(restarted.handleVoteRequest(ms(1910), request).granted());
    }

    @Test
    void renewalExtendsTheLeaseWithoutAGapAndVotesOfOtherRoundsAreIgnored() {
        long at = runCandidacy(a, 910, b);
        Duration leaderSince = a.leaderSince();
        VoteRequest renewal = a.tick(ms(at + 100));
        assertNotNull(renewal);
        assertEquals(a.term(), renewal.term());
        a.onVote(
                ms(at + 110),
                new VoteResponse(
                        0, renewal.term(), renewal.round() - 1, "b", true, renewal.term()));
        assertFalse(a.isLeader(ms(at + 320)));
        a.onVote(ms(at + 110), c.handleVoteRequest(ms(at + 110), renewal));
        assertTrue(a.isLeader(ms(at + 320)));
        assertEquals(leaderSince, a.leaderSince());
        assertEquals(new ProcessIdentity("a", 0), c.knownLeader(ms(at + 120)));
    }

    @Test
    void newLeaderGrantsNoLeaseUntilThoseOfEarlierLeadersAreOver() {
        LeaseIssuer issuer = new LeaseIssuer(a, leaseParameters);
        LeaseRequest leaseRequest = new LeaseRequest(NODE, new ProcessIdentity("b", 0), 1, 1, 8);
        assertEquals(0, issuer.grant(ms(910), leaseRequest).amount());
        long at = runCandidacy(a, 910, b);
        long electedAt = at;
        for (; at < electedAt + 310; at += 90) {
            assertEquals(0, issuer.grant(ms(at), leaseRequest).amount());
            runCandidacy(a, at + 20, b, c);
        }
        assertEquals(1, issuer.grant(ms(at), leaseRequest).amount());
        assertEquals(
                3,
                issuer.grant(ms(at), new LeaseRequest(NODE, new ProcessIdentity("c", 0), 1, 4, 8))
                        .amount());
        assertEquals(
                0,
                issuer.grant(
                                ms(at + 400),
                                new LeaseRequest(NODE, new ProcessIdentity("c", 0), 2, 4, 8))
                        .amount());
    }
}
