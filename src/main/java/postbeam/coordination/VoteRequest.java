package postbeam.coordination;

/**
 * A candidate's request for votes.
 *
 * @param round distinguishes the candidate's requests within one term
 */
public record VoteRequest(int stripe, long term, long round, ProcessIdentity candidate) {}
