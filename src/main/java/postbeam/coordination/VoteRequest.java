package postbeam.coordination;

/**
 * A candidate's request for votes.
 *
 * @param round tells a candidate's requests of one term from each other
 */
public record VoteRequest(int stripe, long term, long round, ProcessIdentity candidate) {}
