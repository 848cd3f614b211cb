package postbeam.shared;

import java.time.Duration;

/**
 * What all routers must agree on for keepers; the letters are those of docs/together.md.
 *
 * @param office o: how long an office lasts, from when its holder asked for votes
 * @param longest O: the longest that any router of this fleet was ever set to; a voter without
 *     memory waits so long
 * @param drift d: what two clocks may differ by over the longest span here
 */
public record OfficeTerms(Duration office, Duration longest, Duration drift) {
    public OfficeTerms {
        if (office.isNegative()
                || office.isZero()
                || longest.compareTo(office) < 0
                || drift.isNegative()) {
            throw new IllegalArgumentException(
                    "terms of office can't be used: office "
                            + office
                            + ", longest "
                            + longest
                            + ", drift "
                            + drift);
        }
    }

    /** How long a vote binds who gave it. */
    Duration promise() {
        return office.plus(drift);
    }

    /** When a keeper asks for its office anew: two asks may be lost. */
    Duration renew() {
        return office.dividedBy(3);
    }
}
