package postbeam.slices;

import java.time.Duration;

/**
 * What a client asks of one slice by the number it knows: its share of the answer and, where a
 * guess came, its work.
 */
public record SliceRequest(int slice, double weight, Duration work) {}
