package postbeam.slices;

import java.time.Duration;

/**
 * A data node that holds a slice.
 *
 * @param acquiredAt when it took the slice over, since 1970; zero where that is not known or long
 *     ago
 */
public record Holder(String node, Duration acquiredAt) {}
