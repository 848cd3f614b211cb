package postbeam.endpoints;

import postbeam.model.Readiness;

/**
 * One data node of an endpoint list.
 *
 * @param name the same at all routers
 * @param zone name of its zone
 * @param cell from 0
 * @param startedMicros when it last started, on discovery's clock in microseconds; 0 for long ago
 * @param readiness whether it takes new attempts
 */
public record Endpoint(
        String name, String zone, int cell, long startedMicros, Readiness readiness) {}
