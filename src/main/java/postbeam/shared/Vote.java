package postbeam.shared;

/**
 * Answers a ballot: whether the vote is given, and the highest term that the voter has voted in.
 */
public record Vote(int stripe, long term, long round, String voter, boolean given, long highest) {}
