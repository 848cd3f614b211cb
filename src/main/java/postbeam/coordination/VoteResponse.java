package postbeam.coordination;

/**
 * The response to a {@link VoteRequest}, with the stripe, term and round of the request.
 *
 * @param voter name of the responding router
 * @param highestTerm the highest term that the voter has voted in
 */
public record VoteResponse(
        int stripe, long term, long round, String voter, boolean granted, long highestTerm) {}
