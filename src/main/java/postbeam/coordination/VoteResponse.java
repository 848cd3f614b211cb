package postbeam.coordination;

/**
 * Answers a {@link VoteRequest}, whose stripe, term and round it repeats.
 *
 * @param voter the router's name
 * @param highestTerm the highest that the voter has voted in
 */
public record VoteResponse(
        int stripe, long term, long round, String voter, boolean granted, long highestTerm) {}
