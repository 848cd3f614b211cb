package postbeam.slices;

import java.time.Duration;

/**
 * What a client asks of one slice.
 *
 * @param slice the slice's number by the layout version that the client knows
 * @param weight its share of the answer
 * @param estimatedWork the client's estimate of its work; null where there is none
 */
public record SliceRequest(int slice, double weight, Duration estimatedWork) {}
