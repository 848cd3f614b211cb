package postbeam.coordination;

/** A data node in one incarnation: what it was before its start says nothing of it now. */
public record NodeIncarnation(String node, long incarnation) {}
