package postbeam.coordination;

/**
 * Asks for a vote: for a stripe and term; the round tells one ask of a candidate from its others.
 */
public record VoteRequest(int stripe, long term, long round, ProcessIdentity candidate) {}
