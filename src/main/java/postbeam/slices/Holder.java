package postbeam.slices;

import java.time.Duration;

/**
 * A data node that holds a slice; since 1970 when it took it over, zero where that is not known or
 * long ago.
 */
public record Holder(String node, Duration acquiredAt) {}
