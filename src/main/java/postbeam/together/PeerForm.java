package postbeam.together;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.setup.Json;
import postbeam.shared.Ballot;
import postbeam.shared.LeaseAsk;
import postbeam.shared.LeaseGrant;
import postbeam.shared.NodeKey;
import postbeam.shared.Vote;
import postbeam.shared.Who;

/** What routers tell each other, in JSON; an IOException says what can't be read. */
final class PeerForm {
    /**
     * Items of each kind in a message: ballots of all stripes, and as many asks as a keeper is
     * asked at once.
     */
    private static final int ITEMS_MOST = 1024;

    /** Letters of a name. */
    private static final int NAME_MOST = 256;

    /** What one router asks another. */
    record Asks(
            String digest, Who from, List<Ballot> ballots, Map<Integer, List<LeaseAsk>> leases) {}

    /** And is answered. */
    record Answers(Who from, List<Vote> votes, Map<Integer, List<LeaseGrant>> grants) {}

    private PeerForm() {}

    static byte[] write(Asks asks) throws IOException {
        List<Object> leases = new ArrayList<>();
        asks.leases()
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
                                                                ask.wanted(),
                                                                ask.budget()))));
        return bytes(
                Map.of(
                        "digest",
                        asks.digest(),
                        "from",
                        asks.from().name(),
                        "run",
                        asks.from().incarnation(),
                        "ballots",
                        asks.ballots().stream()
                                .map(one -> List.of(one.stripe(), one.term(), one.round()))
                                .toList(),
                        "leases",
                        leases));
    }

    static Asks asks(byte[] body) throws IOException {
        Map<String, Object> object = Json.object(body);
        Who from = who(object);
        List<Ballot> ballots = new ArrayList<>();
        for (List<?> one : items(object, "ballots", 3)) {
            ballots.add(
                    new Ballot(
                            (int) whole(one.get(0)), whole(one.get(1)), whole(one.get(2)), from));
        }
        Map<Integer, List<LeaseAsk>> leases = new LinkedHashMap<>();
        for (List<?> one : items(object, "leases", 6)) {
            leases.computeIfAbsent((int) whole(one.get(0)), key -> new ArrayList<>())
                    .add(
                            new LeaseAsk(
                                    new NodeKey(name(one.get(1)), whole(one.get(2))),
                                    from,
                                    whole(one.get(3)),
                                    number(one.get(4)),
                                    number(one.get(5))));
        }
        return new Asks(name(object.get("digest")), from, ballots, leases);
    }

    static byte[] write(Answers answers) throws IOException {
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
        return bytes(
                Map.of(
                        "from",
                        answers.from().name(),
                        "run",
                        answers.from().incarnation(),
                        "votes",
                        answers.votes().stream()
                                .map(
                                        one ->
                                                List.of(
                                                        one.stripe(),
                                                        one.term(),
                                                        one.round(),
                                                        one.given() ? 1 : 0,
                                                        one.highest()))
                                .toList(),
                        "grants",
                        grants));
    }

    /** Grants are for the router that asked. */
    static Answers answers(byte[] body, Who asker) throws IOException {
        Map<String, Object> object = Json.object(body);
        Who from = who(object);
        List<Vote> votes = new ArrayList<>();
        for (List<?> one : items(object, "votes", 5)) {
            votes.add(
                    new Vote(
                            (int) whole(one.get(0)),
                            whole(one.get(1)),
                            whole(one.get(2)),
                            from.name(),
                            whole(one.get(3)) == 1,
                            whole(one.get(4))));
        }
        Map<Integer, List<LeaseGrant>> grants = new LinkedHashMap<>();
        for (List<?> one : items(object, "grants", 5)) {
            grants.computeIfAbsent((int) whole(one.get(0)), key -> new ArrayList<>())
                    .add(
                            new LeaseGrant(
                                    new NodeKey(name(one.get(1)), whole(one.get(2))),
                                    asker,
                                    whole(one.get(3)),
                                    number(one.get(4))));
        }
        return new Answers(from, votes, grants);
    }

    static byte[] bytes(Object value) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = Json.FACTORY.createGenerator(bytes)) {
            Json.write(json, value);
        }
        return bytes.toByteArray();
    }

    private static Who who(Map<String, Object> object) throws IOException {
        return new Who(name(object.get("from")), whole(object.get("run")));
    }

    private static List<List<?>> items(Map<String, Object> object, String name, int size)
            throws IOException {
        List<List<?>> all = new ArrayList<>();
        for (Object one : Json.member(object, name, List.class)) {
            if (!(one instanceof List<?> list) || list.size() != size || all.size() >= ITEMS_MOST) {
                throw new IOException(name + " are not so many lists of " + size);
            }
            all.add(list);
        }
        return all;
    }

    static String name(Object value) throws IOException {
        if (value instanceof String text && text.length() <= NAME_MOST) {
            return text;
        }
        throw new IOException("a name is missing or too long");
    }

    static long whole(Object value) throws IOException {
        if (value instanceof Integer || value instanceof Long) {
            return ((Number) value).longValue();
        }
        throw new IOException("a whole number is missing");
    }

    static double number(Object value) throws IOException {
        if (value instanceof Number number
                && number.doubleValue() >= 0
                && number.doubleValue() < 1e15) {
            return number.doubleValue();
        }
        throw new IOException("a number is missing or out of range");
    }
}
