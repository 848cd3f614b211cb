package postbeam.coordination;

/**
 * Answers a ballot: whether the vote is given, and the highest term that the voter has voted in.
 */
public record VoteResponse(
        int stripe, long term, long round, String voter, boolean granted, long highestTerm) {}
