package postbeam.migration;

/**
 * Identifies the verified state that an operator approves by passing a checkpoint.
 *
 * @param layoutVersion version of the layout in force when the checkpoint was opened
 * @param digest SHA-256 over the verified moves, in hexadecimal digits
 */
public record Checkpoint(long layoutVersion, String digest) {}
