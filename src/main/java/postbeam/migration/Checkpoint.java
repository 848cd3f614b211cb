package postbeam.migration;

/**
 * What a checkpoint was opened for: a version of the layout and a digest over what was verified.
 */
public record Checkpoint(long layoutVersion, String digest) {}
