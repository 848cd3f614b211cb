package postbeam.migration;

/**
 * What an operator passes a checkpoint for.
 *
 * @param layoutVersion of the layout in force when it was opened
 * @param digest over what was verified, in hexadecimal digits
 */
public record Checkpoint(long layoutVersion, String digest) {}
