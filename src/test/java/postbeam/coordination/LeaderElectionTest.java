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

    private long win(LeaderElection candidate, long from, LeaderElection... voters) {
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
    void majorityOfAllMembersElectsALeaderWhoseLeaseCountsFromItsRequest() {
        long at = win(a, 910);
        assertFalse(a.isLeader(ms(at)), "one of three");
        at = win(a, at + 100, b);
        assertTrue(a.isLeader(ms(at)));
        assertTrue(a.isLeader(ms(at - 1 + 299)));
        assertFalse(a.isLeader(ms(at - 1 + 300)));
    }

    @Test
    void voteBindsTheVoterUntilTheLeaseIsPast() {
        long at = win(a, 910, b);
        VoteRequest other = new VoteRequest(0, 9, 1, new ProcessIdentity("c", 0));
        assertFalse(b.handleVoteRequest(ms(at + 309), other).granted());
        assertTrue(b.handleVoteRequest(ms(at + 310), other).granted());
        assertFalse(
                b.handleVoteRequest(
                                ms(at + 311), new VoteRequest(0, 9, 1, new ProcessIdentity("a", 0)))
                        .granted(),
                "once in a term");
        assertFalse(
                b.handleVoteRequest(
                                ms(at + 700), new VoteRequest(0, 8, 1, new ProcessIdentity("a", 0)))
                        .granted(),
                "no older term");
        assertFalse(
                b.handleVoteRequest(
                                ms(at + 700),
                                new VoteRequest(0, 10, 1, new ProcessIdentity("stranger", 0)))
                        .granted());
    }

    @Test
    void restartedVoterWaitsForTheLongestLease() {
        VoteRequest request = new VoteRequest(0, 1, 1, new ProcessIdentity("a", 0));
        LeaderElection again = election("b", 1000);
        assertFalse(again.handleVoteRequest(ms(1909), request).granted());
        assertNull(again.tick(ms(1909)));
        assertTrue(again.handleVoteRequest(ms(1910), request).granted());
    }

    @Test
    void leaseIsRenewedWithoutAGapAndOtherRoundsVotesAreIgnored() {
        long at = win(a, 910, b);
        Duration since = a.leaderSince();
        VoteRequest anew = a.tick(ms(at + 100));
        assertNotNull(anew);
        assertEquals(a.term(), anew.term());
        a.onVote(
                ms(at + 110),
                new VoteResponse(0, anew.term(), anew.round() - 1, "b", true, anew.term()));
        assertFalse(a.isLeader(ms(at + 320)));
        a.onVote(ms(at + 110), c.handleVoteRequest(ms(at + 110), anew));
        assertTrue(a.isLeader(ms(at + 320)));
        assertEquals(since, a.leaderSince());
        assertEquals(new ProcessIdentity("a", 0), c.knownLeader(ms(at + 120)));
    }

    @Test
    void newLeaderGrantsNothingUntilItsPredecessorsLeasesArePast() {
        LeaseIssuer issuer = new LeaseIssuer(a, leaseParameters);
        LeaseRequest leaseRequest = new LeaseRequest(NODE, new ProcessIdentity("b", 0), 1, 1, 8);
        assertEquals(0, issuer.grant(ms(910), leaseRequest).amount());
        long at = win(a, 910, b);
        long won = at;
        for (; at < won + 310; at += 90) {
            assertEquals(0, issuer.grant(ms(at), leaseRequest).amount());
            win(a, at + 20, b, c);
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
