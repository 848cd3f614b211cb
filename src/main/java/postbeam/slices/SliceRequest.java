package postbeam.slices;

import java.time.Duration;

/**
 * A client's request for one slice.
 *
 * @param slice the slice's number in the layout version that the client uses
 * @param weight its share of the answer's weight
 * @param estimatedWork the client's estimate of a node's work; null if there is none
 */
public record SliceRequest(int slice, double weight, Duration estimatedWork) {}
