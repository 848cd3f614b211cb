package postbeam.shared;

/**
 * Asks for a vote: for a stripe and term; the round tells one ask of a candidate from its others.
 */
public record Ballot(int stripe, long term, long round, Who candidate) {}
