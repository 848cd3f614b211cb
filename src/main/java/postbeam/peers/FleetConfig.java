package postbeam.peers;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import postbeam.coordination.ElectionTimeouts;
import postbeam.coordination.LeaseParameters;
import postbeam.coordination.SlowStartRamp;

/**
 * The routers of a fleet and what all of them agree on.
 *
 * @param name this router's
 * @param routers host and port of each router by name, this one among them
 * @param stripeCount of the data nodes, each with a leader
 */
public record FleetConfig(
        String name,
        Map<String, String> routers,
        int stripeCount,
        LeaseParameters leaseParameters,
        ElectionTimeouts electionTimeouts,
        SlowStartRamp slowStartRamp) {
    private static final int DIGEST_BYTES = 8;

    /** The names of all routers in the order that elections use. */
    List<String> members() {
        return List.copyOf(new TreeMap<>(routers).keySet());
    }

    /** Tells whether two routers agree: in each message, in hexadecimal digits. */
    String digest() {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(digestedText().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java has SHA-256", e);
        }
    }

    /** All versions must write the same text, whatever the types are called. */
    private String digestedText() {
        LeaseParameters leases = leaseParameters;
        ElectionTimeouts election = electionTimeouts;
        SlowStartRamp ramp = slowStartRamp;
        return members()
                + " "
                + stripeCount
                + " LeaseTerms[use="
                + leases.leaseDuration()
                + ", window="
                + leases.window()
                + ", drift="
                + leases.maxClockDrift()
                + ", reserved="
                + leases.reservedFraction()
                + ", underWay="
                + leases.inFlightFraction()
                + ", shares="
                + leases.maxRouters()
                + ", callMost="
                + leases.maxAttemptWork()
                + "] OfficeTerms[office="
                + election.leaderLease()
                + ", longest="
                + election.maxLeaderLease()
                + ", drift="
                + election.maxClockDrift()
                + "] Ramp[first="
                + ramp.initial()
                + ", risesTo="
                + ramp.peakFactor()
                + ", length="
                + ramp.duration()
                + ", window="
                + ramp.window()
                + "]";
    }
}
