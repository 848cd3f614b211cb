package postbeam.clients;

import com.fasterxml.jackson.core.JsonGenerator;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postbeam.dispatch.ClientRequest;
import postbeam.dispatch.QueryAction;
import postbeam.json.Json;
import postbeam.pages.PageRequest;

/** The query and the answer in the clients' form. */
final class QueryCodec {
    private static final HttpString REQUEST_ID = new HttpString("Req-Id");
    private static final HttpString TENANT = new HttpString("Req-Owner");
    private static final HttpString DEADLINE = new HttpString("Req-Deadline-Ms");
    private static final HttpString RETRY = new HttpString("Req-Retry");
    private static final HttpString LAYOUT = new HttpString("Req-Layout");

    /** Characters: an id travels in each frame. */
    private static final int MAX_ID_LENGTH = 64;

    /** Milliseconds: a day; no client waits so long. */
    private static final long MAX_TIMEOUT_MILLIS = 86_400_000;

    /** Of a whole: what is lost where portions are written with few digits. */
    private static final double WEIGHT_SUM_TOLERANCE = 0.005;

    private QueryCodec() {}

    /** An IOException says what can't be used. */
    static ClientRequest decode(
            HttpServerExchange exchange,
            byte[] body,
            String vertical,
            Set<String> owners,
            int shards,
            Duration usualWait,
            int pageRows)
            throws IOException {
        String id = header(exchange, REQUEST_ID);
        if (id == null
                || id.length() > MAX_ID_LENGTH
                || !id.chars().allMatch(c -> c > ' ' && c < 127 && c != '.')) {
            throw new IOException("Req-Id is missing or can't be used");
        }
        String owner = header(exchange, TENANT);
        if (!owners.isEmpty() && !owners.contains(owner)) {
            throw new IOException("Req-Owner is missing or unknown");
        }
        Map<String, Object> query = Json.parseObject(body);
        PageRequest page =
                pageRows > 0 && query.containsKey("page")
                        ? PageQueryCodec.decode(query, pageRows)
                        : null;
        List<ClientRequest.RequestedShard> parts =
                page != null && page.cursor() != null ? List.of() : decodeParts(query, shards);
        byte[] text =
                Json.member(query, "predicate", String.class).getBytes(StandardCharsets.UTF_8);
        return new ClientRequest(
                id,
                vertical,
                owner,
                decodeTimeout(header(exchange, DEADLINE), usualWait),
                parts,
                text,
                decodeLayoutVersion(header(exchange, LAYOUT)),
                "1".equals(exchange.getRequestHeaders().getFirst(RETRY)),
                page);
    }

    private static List<ClientRequest.RequestedShard> decodeParts(
            Map<String, Object> query, int shards) throws IOException {
        Set<Integer> seen = new HashSet<>();
        List<ClientRequest.RequestedShard> parts = new ArrayList<>();
        for (Object range : Json.member(query, "ranges", List.class)) {
            if (!(range instanceof Map<?, ?> part)) {
                throw new IOException("ranges holds something else than objects");
            }
            int shard = Json.member(part, "range", Integer.class);
            double weight = Json.member(part, "portion", Number.class).doubleValue();
            if (shard < 0
                    || shard >= shards
                    || !seen.add(shard)
                    || !(weight > 0 && weight <= 1 + WEIGHT_SUM_TOLERANCE)) {
                throw new IOException("range or portion can't be used: " + shard + ", " + weight);
            }
            parts.add(
                    new ClientRequest.RequestedShard(
                            shard,
                            weight,
                            part.get("price") instanceof Integer micros && micros > 0
                                    ? Duration.ofNanos(micros * 1000L)
                                    : null));
        }
        double sum = parts.stream().mapToDouble(ClientRequest.RequestedShard::weight).sum();
        if (Math.abs(sum - 1) > WEIGHT_SUM_TOLERANCE) {
            throw new IOException("the portions of ranges add up to " + sum + ", not 1");
        }
        return parts;
    }

    /** The version by which slices are named; 0 where none is told. */
    private static long decodeLayoutVersion(String header) throws IOException {
        try {
            long version = header == null ? 0 : Long.parseLong(header);
            if (version >= 0) {
                return version;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw new IOException("Req-Layout can't be used");
    }

    private static Duration decodeTimeout(String header, Duration usual) throws IOException {
        if (header == null && usual != null) {
            return usual;
        }
        try {
            long millis = Long.parseLong(String.valueOf(header));
            if (millis > 0 && millis <= MAX_TIMEOUT_MILLIS) {
                return Duration.ofMillis(millis);
            }
        } catch (NumberFormatException e) {
            // Told below, as a number that can't be used is.
        }
        throw new IOException("Req-Deadline-Ms is missing or can't be used");
    }

    /** Null where it is missing; which of two was meant nobody can tell. */
    private static String header(HttpServerExchange exchange, HttpString name) throws IOException {
        HeaderValues values = exchange.getRequestHeaders().get(name);
        if (values != null && values.size() > 1) {
            throw new IOException(name + " stands there twice");
        }
        return values == null ? null : values.getFirst();
    }

    /** Which keys the value is for, and which of the named slices they lie in. */
    private static void encode(JsonGenerator json, QueryAction.KeyCoverage cover)
            throws IOException {
        json.writeNumberField("from", cover.from());
        json.writeNumberField("to", cover.to());
        json.writeArrayFieldStart("named");
        for (int slice : cover.sliceNumbers()) {
            json.writeNumber(slice);
        }
        json.writeEndArray();
    }

    static byte[] encode(QueryAction.Answer answer) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = Json.FACTORY.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeBooleanField("total", answer.complete());
            if (answer.layoutVersion() > 0) {
                json.writeNumberField("layout", answer.layoutVersion());
            }
            json.writeArrayFieldStart("answers");
            for (QueryAction.ShardValue value : answer.values()) {
                json.writeStartObject();
                json.writeNumberField("range", value.shard());
                if (value.coverage() != null) {
                    encode(json, value.coverage());
                }
                if (value.payload() != null) {
                    json.writeFieldName("blob");
                    json.writeUTF8String(value.payload(), 0, value.payload().length);
                }
                json.writeEndObject();
            }
            json.writeEndArray();
            if (answer.page() != null) {
                PageQueryCodec.encode(json, answer.page());
            }
            json.writeEndObject();
        }
        return bytes.toByteArray();
    }
}
