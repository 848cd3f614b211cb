package postbeam.endpoints;

import postbeam.model.Readiness;

/**
 * One data node of an endpoint list.
 *
 * @param name identifies the node at all routers
 * @param zone name of the node's zone
 * @param cell number of the node's cell, from 0
 * @param startedMicros when the node last started, in microseconds on discovery's clock; 0 if that
 *     is long ago
 * @param readiness whether the node accepts new attempts
 */
public record Endpoint(
        String name, String zone, int cell, long startedMicros, Readiness readiness) {}
