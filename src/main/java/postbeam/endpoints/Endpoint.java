package postbeam.endpoints;

import postbeam.model.Readiness;

/**
 * A line of a data-node list as told; the start is on the teller's clock in microseconds, 0 for
 * long ago.
 */
public record Endpoint(
        String name, String zone, int cell, long startedMicros, Readiness readiness) {}
