package postbeam.shared;

/** A data node in one incarnation: what it was before its start says nothing of it now. */
public record NodeKey(String node, long incarnation) {}
