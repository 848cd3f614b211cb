package postbeam.peers;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
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

/** What routers tell each other, in JSON; an IOException says what can't be read. */
final class PeerMessageCodec {
    /**
     * Items of each kind in a message: ballots of all stripes, and as many asks as a keeper is
     * asked at once.
     */
    private static final int MAX_ITEMS = 1024;

    /** Letters of a name. */
    private static final int MAX_NAME_LENGTH = 256;

    /** What one router asks another. */
    record PeerRequest(
            String digest,
            ProcessIdentity sender,
            List<VoteRequest> voteRequests,
            Map<Integer, List<LeaseRequest>> leaseRequests) {}

    /** And is answered. */
    record PeerResponse(
            ProcessIdentity sender,
            List<VoteResponse> votes,
            Map<Integer, List<LeaseGrant>> grants) {}

    private PeerMessageCodec() {}

    static byte[] encode(PeerRequest asks) throws IOException {
        List<Object> leases = new ArrayList<>();
        asks.leaseRequests()
                .forEach(
                        (stripe, all) ->
                                all.forEach(
                                        ask ->
                                                leases.add(
                                                        List.of(
                                                                stripe,
                                                                ask.node().node(),
                                                                ask.node().incarnation(),
                                                                ask.number(),
                                                                ask.requested(),
                                                                ask.nodeBudget()))));
        return toJson(
                Map.of(
                        "digest",
                        asks.digest(),
                        "from",
                        asks.sender().name(),
                        "run",
                        asks.sender().incarnation(),
                        "ballots",
                        asks.voteRequests().stream()
                                .map(one -> List.of(one.stripe(), one.term(), one.round()))
                                .toList(),
                        "leases",
                        leases));
    }

    static PeerRequest decodeRequest(byte[] body) throws IOException {
        Map<String, Object> object = Json.parseObject(body);
        ProcessIdentity from = readIdentity(object);
        List<VoteRequest> ballots = new ArrayList<>();
        for (List<?> one : readTuples(object, "ballots", 3)) {
            ballots.add(
                    new VoteRequest(
                            (int) readLong(one.get(0)),
                            readLong(one.get(1)),
                            readLong(one.get(2)),
                            from));
        }
        Map<Integer, List<LeaseRequest>> leases = new LinkedHashMap<>();
        for (List<?> one : readTuples(object, "leases", 6)) {
            leases.computeIfAbsent((int) readLong(one.get(0)), key -> new ArrayList<>())
                    .add(
                            new LeaseRequest(
                                    new NodeIncarnation(readName(one.get(1)), readLong(one.get(2))),
                                    from,
                                    readLong(one.get(3)),
                                    readDouble(one.get(4)),
                                    readDouble(one.get(5))));
        }
        return new PeerRequest(readName(object.get("digest")), from, ballots, leases);
    }

    static byte[] encode(PeerResponse answers) throws IOException {
        List<Object> grants = new ArrayList<>();
        answers.grants()
                .forEach(
                        (stripe, all) ->
                                all.forEach(
                                        grant ->
                                                grants.add(
                                                        List.of(
                                                                stripe,
                                                                grant.node().node(),
                                                                grant.node().incarnation(),
                                                                grant.number(),
                                                                grant.amount()))));
        return toJson(
                Map.of(
                        "from",
                        answers.sender().name(),
                        "run",
                        answers.sender().incarnation(),
                        "votes",
                        answers.votes().stream()
                                .map(
                                        one ->
                                                List.of(
                                                        one.stripe(),
                                                        one.term(),
                                                        one.round(),
                                                        one.granted() ? 1 : 0,
                                                        one.highestTerm()))
                                .toList(),
                        "grants",
                        grants));
    }

    /** Grants are for the router that asked. */
    static PeerResponse decodeResponse(byte[] body, ProcessIdentity asker) throws IOException {
        Map<String, Object> object = Json.parseObject(body);
        ProcessIdentity from = readIdentity(object);
        List<VoteResponse> votes = new ArrayList<>();
        for (List<?> one : readTuples(object, "votes", 5)) {
            votes.add(
                    new VoteResponse(
                            (int) readLong(one.get(0)),
                            readLong(one.get(1)),
                            readLong(one.get(2)),
                            from.name(),
                            readLong(one.get(3)) == 1,
                            readLong(one.get(4))));
        }
        Map<Integer, List<LeaseGrant>> grants = new LinkedHashMap<>();
        for (List<?> one : readTuples(object, "grants", 5)) {
            grants.computeIfAbsent((int) readLong(one.get(0)), key -> new ArrayList<>())
                    .add(
                            new LeaseGrant(
                                    new NodeIncarnation(readName(one.get(1)), readLong(one.get(2))),
                                    asker,
                                    readLong(one.get(3)),
                                    readDouble(one.get(4))));
        }
        return new PeerResponse(from, votes, grants);
    }

    static byte[] toJson(Object value) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = Json.FACTORY.createGenerator(bytes)) {
            Json.write(json, value);
        }
        return bytes.toByteArray();
    }

    private static ProcessIdentity readIdentity(Map<String, Object> object) throws IOException {
        return new ProcessIdentity(readName(object.get("from")), readLong(object.get("run")));
    }

    private static List<List<?>> readTuples(Map<String, Object> object, String name, int size)
            throws IOException {
        List<List<?>> all = new ArrayList<>();
        for (Object one : Json.member(object, name, List.class)) {
            if (!(one instanceof List<?> list) || list.size() != size || all.size() >= MAX_ITEMS) {
                throw new IOException(name + " are not so many lists of " + size);
            }
            all.add(list);
        }
        return all;
    }

    static String readName(Object value) throws IOException {
        if (value instanceof String text && text.length() <= MAX_NAME_LENGTH) {
            return text;
        }
        throw new IOException("a name is missing or too long");
    }

    static long readLong(Object value) throws IOException {
        if (value instanceof Integer || value instanceof Long) {
            return ((Number) value).longValue();
        }
        throw new IOException("a whole number is missing");
    }

    static double readDouble(Object value) throws IOException {
        if (value instanceof Number number
                && number.doubleValue() >= 0
                && number.doubleValue() < 1e15) {
            return number.doubleValue();
        }
        throw new IOException("a number is missing or out of range");
    }
}
