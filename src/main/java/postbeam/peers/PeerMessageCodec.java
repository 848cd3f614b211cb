package postbeam.peers;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.coordination.LeaseGrant;
import postbeam.coordination.LeaseRequest;
import postbeam.coordination.NodeIncarnation;
import postbeam.coordination.ProcessIdentity;
import postbeam.coordination.VoteRequest;
import postbeam.coordination.VoteResponse;
import postbeam.json.Json;

/**
 * Encodes and decodes the messages between routers, which are JSON objects. The names of their
 * members are those of the protocol in docs/together.md; vote requests, votes, lease requests and
 * grants are arrays with elements in a fixed order. Decoding throws an IOException that states the
 * expected form of what can't be decoded.
 */
final class PeerMessageCodec {
    /**
     * Elements in each array of a message. They suffice for 16 stripes, each of which sends at most
     * one vote request and 64 lease requests at a time.
     */
    private static final int MAX_ITEMS = 1024;

    private static final int MAX_NAME_LENGTH = 256;
    private static final double MAX_NUMBER = 1e15;

    private static final String DIGEST = "digest";
    private static final String SENDER_NAME = "from";
    private static final String SENDER_INCARNATION = "run";
    private static final String VOTE_REQUESTS = "ballots";
    private static final int VOTE_REQUEST_SIZE = 3;
    private static final String LEASE_REQUESTS = "leases";
    private static final int LEASE_REQUEST_SIZE = 6;
    private static final String VOTES = "votes";
    private static final int VOTE_SIZE = 5;
    private static final String GRANTS = "grants";
    private static final int GRANT_SIZE = 5;

    /**
     * The vote and lease requests of one router to another.
     *
     * @param digest the sender's {@link FleetConfig#digest}
     * @param leaseRequests by stripe
     */
    record PeerRequest(
            String digest,
            ProcessIdentity sender,
            List<VoteRequest> voteRequests,
            Map<Integer, List<LeaseRequest>> leaseRequests) {}

    /**
     * The response to a {@link PeerRequest}.
     *
     * @param grants by stripe
     */
    record PeerResponse(
            ProcessIdentity sender,
            List<VoteResponse> votes,
            Map<Integer, List<LeaseGrant>> grants) {}

    private PeerMessageCodec() {}

    static byte[] encode(PeerRequest request) {
        List<Object> voteRequests = new ArrayList<>();
        for (VoteRequest vote : request.voteRequests()) {
            voteRequests.add(List.of(vote.stripe(), vote.term(), vote.round()));
        }
        List<Object> leaseRequests = new ArrayList<>();
        request.leaseRequests()
                .forEach(
                        (stripe, leases) ->
                                leases.forEach(lease -> leaseRequests.add(encode(stripe, lease))));
        return toJson(
                Map.of(
                        DIGEST, request.digest(),
                        SENDER_NAME, request.sender().name(),
                        SENDER_INCARNATION, request.sender().incarnation(),
                        VOTE_REQUESTS, voteRequests,
                        LEASE_REQUESTS, leaseRequests));
    }

    private static List<Object> encode(int stripe, LeaseRequest lease) {
        return List.of(
                stripe,
                lease.node().name(),
                lease.node().incarnation(),
                lease.requestNumber(),
                lease.requestedAmount(),
                lease.nodeBudget());
    }

    static PeerRequest decodeRequest(byte[] body) throws IOException {
        Map<String, Object> message = Json.parseObject(body);
        ProcessIdentity sender = readSender(message);
        List<VoteRequest> voteRequests = new ArrayList<>();
        for (List<?> vote : readTuples(message, VOTE_REQUESTS, VOTE_REQUEST_SIZE)) {
            int stripe = readStripe(vote.get(0));
            long term = readLong(vote.get(1));
            voteRequests.add(new VoteRequest(stripe, term, readLong(vote.get(2)), sender));
        }
        Map<Integer, List<LeaseRequest>> leaseRequests = new LinkedHashMap<>();
        for (List<?> lease : readTuples(message, LEASE_REQUESTS, LEASE_REQUEST_SIZE)) {
            leaseRequests
                    .computeIfAbsent(readStripe(lease.get(0)), stripe -> new ArrayList<>())
                    .add(
                            new LeaseRequest(
                                    readNode(lease),
                                    sender,
                                    readLong(lease.get(3)),
                                    readDouble(lease.get(4)),
                                    readDouble(lease.get(5))));
        }
        return new PeerRequest(readName(message.get(DIGEST)), sender, voteRequests, leaseRequests);
    }

    static byte[] encode(PeerResponse response) {
        List<Object> votes = new ArrayList<>();
        for (VoteResponse vote : response.votes()) {
            votes.add(
                    List.of(
                            vote.stripe(),
                            vote.term(),
                            vote.round(),
                            vote.granted() ? 1 : 0,
                            vote.highestTerm()));
        }
        List<Object> grants = new ArrayList<>();
        response.grants()
                .forEach(
                        (stripe, stripeGrants) ->
                                stripeGrants.forEach(grant -> grants.add(encode(stripe, grant))));
        return toJson(
                Map.of(
                        SENDER_NAME,
                        response.sender().name(),
                        SENDER_INCARNATION,
                        response.sender().incarnation(),
                        VOTES,
                        votes,
                        GRANTS,
                        grants));
    }

    private static List<Object> encode(int stripe, LeaseGrant grant) {
        return List.of(
                stripe,
                grant.node().name(),
                grant.node().incarnation(),
                grant.requestNumber(),
                grant.amount());
    }

    /**
     * Decodes a response.
     *
     * @param requester the process that sent the request, for which the grants are
     */
    static PeerResponse decodeResponse(byte[] body, ProcessIdentity requester) throws IOException {
        Map<String, Object> message = Json.parseObject(body);
        ProcessIdentity sender = readSender(message);
        List<VoteResponse> votes = new ArrayList<>();
        for (List<?> vote : readTuples(message, VOTES, VOTE_SIZE)) {
            votes.add(
                    new VoteResponse(
                            readStripe(vote.get(0)),
                            readLong(vote.get(1)),
                            readLong(vote.get(2)),
                            sender.name(),
                            readLong(vote.get(3)) == 1,
                            readLong(vote.get(4))));
        }
        Map<Integer, List<LeaseGrant>> grants = new LinkedHashMap<>();
        for (List<?> grant : readTuples(message, GRANTS, GRANT_SIZE)) {
            grants.computeIfAbsent(readStripe(grant.get(0)), stripe -> new ArrayList<>())
                    .add(
                            new LeaseGrant(
                                    readNode(grant),
                                    requester,
                                    readLong(grant.get(3)),
                                    readDouble(grant.get(4))));
        }
        return new PeerResponse(sender, votes, grants);
    }

    /** Reads the node from the second and third element of a lease request or a grant. */
    private static NodeIncarnation readNode(List<?> tuple) throws IOException {
        return new NodeIncarnation(readName(tuple.get(1)), readLong(tuple.get(2)));
    }

    static byte[] toJson(Object value) {
        return Json.encode(json -> Json.write(json, value));
    }

    private static ProcessIdentity readSender(Map<String, Object> message) throws IOException {
        return new ProcessIdentity(
                readName(message.get(SENDER_NAME)), readLong(message.get(SENDER_INCARNATION)));
    }

    private static List<List<?>> readTuples(Map<String, Object> message, String name, int size)
            throws IOException {
        List<List<?>> tuples = new ArrayList<>();
        for (Object item : Json.member(message, name, List.class)) {
            if (!(item instanceof List<?> tuple)
                    || tuple.size() != size
                    || tuples.size() >= MAX_ITEMS) {
                throw new IOException(
                        name
                                + " must have at most "
                                + MAX_ITEMS
                                + " elements, each an array of "
                                + size
                                + " values; element "
                                + tuples.size()
                                + " (counted from 0) breaks this rule");
            }
            tuples.add(tuple);
        }
        return tuples;
    }

    static String readName(Object value) throws IOException {
        if (value instanceof String text && text.length() <= MAX_NAME_LENGTH) {
            return text;
        }
        throw new IOException(
                "a name must be a string of at most "
                        + MAX_NAME_LENGTH
                        + " characters, not "
                        + (value instanceof String text
                                ? "one of " + text.length()
                                : value == null
                                        ? "null"
                                        : "a value of type " + value.getClass().getSimpleName()));
    }

    static long readLong(Object value) throws IOException {
        if (value instanceof Integer || value instanceof Long) {
            return ((Number) value).longValue();
        }
        throw new IOException(
                "a number must be an integer of at most 64 bits, not "
                        + (value == null
                                ? "null"
                                : "a value of type " + value.getClass().getSimpleName()));
    }

    /** Reads a stripe number; {@link PeerStripes} checks that the stripe exists. */
    private static int readStripe(Object value) throws IOException {
        long stripe = readLong(value);
        if (stripe < 0 || stripe > Integer.MAX_VALUE) {
            throw new IOException(
                    "a stripe number must be from 0 to " + Integer.MAX_VALUE + ", not " + stripe);
        }
        return (int) stripe;
    }

    static double readDouble(Object value) throws IOException {
        if (value instanceof Number number
                && number.doubleValue() >= 0
                && number.doubleValue() < MAX_NUMBER) {
            return number.doubleValue();
        }
        throw new IOException(
                "a number must be 0 or more and less than "
                        + MAX_NUMBER
                        + ", not "
                        + (value instanceof Number number
                                ? number.doubleValue()
                                : value == null
                                        ? "null"
                                        : "a value of type " + value.getClass().getSimpleName()));
    }
}
