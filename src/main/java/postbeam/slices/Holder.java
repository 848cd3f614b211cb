package postbeam.slices;

import java.time.Duration;

/**
 * A data node that holds a slice.
 *
 * @param acquiredAt when it acquired the slice, since the Unix epoch; zero if that is unknown or
 *     long ago
 */
public record Holder(String node, Duration acquiredAt) {}
