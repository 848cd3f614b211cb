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
 * The routers of a fleet and the parameters that must be the same on all of them.
 *
 * @param name the name of this router
 * @param routers host and port of each router by name, including this one
 * @param stripeCount number of stripes that the data nodes are divided into, each with a leader
 */
public record FleetConfig(
        String name,
        Map<String, String> routers,
        int stripeCount,
        LeaseParameters leaseParameters,
        ElectionTimeouts electionTimeouts,
        SlowStartRamp slowStartRamp) {
    private static final int DIGEST_BYTES = 8;

    /** The names of all routers in the order that elections use, which is alphabetical. */
    List<String> members() {
        return List.copyOf(new TreeMap<>(routers).keySet());
    }

    /**
     * Hexadecimal digest of all that must be the same on all routers. Each request has it, and a
     * router rejects requests with another digest.
     */
    String digest() {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(digestedText().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(
                    "this Java platform lacks SHA-256, which every Java platform must provide", e);
        }
    }

    /**
     * The text that the digest is computed from. Routers of different versions compare their
     * digests, so the text stays the same when types or components are renamed.
     */
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
