package postbeam.clients;

import com.fasterxml.jackson.core.JsonGenerator;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
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

/** Decodes requests of the client protocol and encodes its responses. */
final class QueryCodec {
    private static final HttpString REQUEST_ID = new HttpString("Req-Id");
    private static final HttpString TENANT = new HttpString("Req-Owner");
    private static final HttpString DEADLINE = new HttpString("Req-Deadline-Ms");
    private static final HttpString RETRY = new HttpString("Req-Retry");
    private static final HttpString LAYOUT = new HttpString("Req-Layout");

    /** Limit in characters, as each frame to a data node includes the id. */
    private static final int MAX_ID_LENGTH = 64;

    /** One day; no client waits longer. */
    private static final long MAX_TIMEOUT_MILLIS = 86_400_000;

    /** Tolerance for the sum of weights, which clients may send rounded to a few digits. */
    private static final double WEIGHT_SUM_TOLERANCE = 0.005;

    private static final int NANOS_PER_MICRO = 1000;

    private final Map<String, Duration> defaultTimeouts;
    private final Set<String> tenants;
    private final int shardCount;

    /** 0 if ordered pages are disabled. */
    private int maxPageRows;

    QueryCodec(Map<String, Duration> defaultTimeouts, Set<String> tenants, int shardCount) {
        this.defaultTimeouts = defaultTimeouts;
        this.tenants = tenants;
        this.shardCount = shardCount;
    }

    /** Enables ordered pages of at most this number of rows. Call before the first request. */
    void enablePages(int maxRows) {
        maxPageRows = maxRows;
    }

    boolean hasQueryClass(String name) {
        return defaultTimeouts.containsKey(name);
    }

    // ---- requests

    /**
     * Decodes a query.
     *
     * @throws IOException if the request is invalid; the message is sent to the client
     */
    ClientRequest decode(HttpServerExchange exchange, byte[] body, String queryClass)
            throws IOException {
        String id = decodeId(exchange);
        String tenant = decodeTenant(exchange);
        Map<String, Object> query = Json.parseObject(body);
        PageRequest page =
                maxPageRows > 0 && query.containsKey("page")
                        ? PageQueryCodec.decode(query, maxPageRows)
                        : null;
        boolean followUpPage = page != null && page.cursor() != null;
        List<ClientRequest.RequestedShard> requestedShards =
                followUpPage ? List.of() : decodeRequestedShards(query);
        byte[] payload =
                Json.member(query, "predicate", String.class).getBytes(StandardCharsets.UTF_8);
        Duration timeout =
                decodeTimeout(header(exchange, DEADLINE), defaultTimeouts.get(queryClass));
        long layout = decodeLayoutVersion(header(exchange, LAYOUT));
        boolean retry = "1".equals(exchange.getRequestHeaders().getFirst(RETRY));
        return new ClientRequest(
                id, queryClass, tenant, timeout, requestedShards, payload, layout, retry, page);
    }

    private static String decodeId(HttpServerExchange exchange) throws BadRequestException {
        String id = header(exchange, REQUEST_ID);
        if (id == null
                || id.length() > MAX_ID_LENGTH
                || !id.chars().allMatch(QueryCodec::isAllowedInId)) {
            throw new BadRequestException("Req-Id is missing or can't be used");
        }
        return id;
    }

    /** Ids must not contain a dot, which separates the request id from the shard in attempt ids. */
    private static boolean isAllowedInId(int character) {
        return character > ' ' && character < 127 && character != '.';
    }

    private String decodeTenant(HttpServerExchange exchange) throws BadRequestException {
        String tenant = header(exchange, TENANT);
        if (!tenants.isEmpty() && !tenants.contains(tenant)) {
            throw new BadRequestException("Req-Owner is missing or unknown");
        }
        return tenant;
    }

    private List<ClientRequest.RequestedShard> decodeRequestedShards(Map<String, Object> query)
            throws IOException {
        Set<Integer> shardNumbers = new HashSet<>();
        List<ClientRequest.RequestedShard> requestedShards = new ArrayList<>();
        for (Object range : Json.member(query, "ranges", List.class)) {
            if (!(range instanceof Map<?, ?> members)) {
                throw new BadRequestException("ranges holds something else than objects");
            }
            ClientRequest.RequestedShard requestedShard = decodeRequestedShard(members);
            if (!shardNumbers.add(requestedShard.shard())) {
                throw invalidShardOrWeight(requestedShard.shard(), requestedShard.weight());
            }
            requestedShards.add(requestedShard);
        }
        double sum =
                requestedShards.stream().mapToDouble(ClientRequest.RequestedShard::weight).sum();
        if (Math.abs(sum - 1) > WEIGHT_SUM_TOLERANCE) {
            throw new BadRequestException("the portions of ranges add up to " + sum + ", not 1");
        }
        return requestedShards;
    }

    private ClientRequest.RequestedShard decodeRequestedShard(Map<?, ?> members)
            throws IOException {
        int shard = Json.member(members, "range", Integer.class);
        double weight = Json.member(members, "portion", Number.class).doubleValue();
        boolean weightFits = weight > 0 && weight <= 1 + WEIGHT_SUM_TOLERANCE;
        if (shard < 0 || shard >= shardCount || !weightFits) {
            throw invalidShardOrWeight(shard, weight);
        }
        Duration estimatedWork =
                members.get("price") instanceof Integer micros && micros > 0
                        ? Duration.ofNanos((long) micros * NANOS_PER_MICRO)
                        : null;
        return new ClientRequest.RequestedShard(shard, weight, estimatedWork);
    }

    private static BadRequestException invalidShardOrWeight(int shard, double weight) {
        return new BadRequestException("range or portion can't be used: " + shard + ", " + weight);
    }

    /** Returns the layout version that the slice numbers refer to; 0 if none is stated. */
    private static long decodeLayoutVersion(String header) throws BadRequestException {
        try {
            long version = header == null ? 0 : Long.parseLong(header);
            if (version >= 0) {
                return version;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a negative version.
        }
        throw new BadRequestException("Req-Layout can't be used");
    }

    private static Duration decodeTimeout(String header, Duration defaultTimeout)
            throws BadRequestException {
        if (header == null && defaultTimeout != null) {
            return defaultTimeout;
        }
        try {
            long millis = Long.parseLong(String.valueOf(header));
            if (millis > 0 && millis <= MAX_TIMEOUT_MILLIS) {
                return Duration.ofMillis(millis);
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number out of range.
        }
        throw new BadRequestException("Req-Deadline-Ms is missing or can't be used");
    }

    /**
     * Returns the value of a header; null if it is missing. Rejects repeated headers as ambiguous.
     */
    private static String header(HttpServerExchange exchange, HttpString name)
            throws BadRequestException {
        HeaderValues values = exchange.getRequestHeaders().get(name);
        if (values != null && values.size() > 1) {
            throw new BadRequestException(name + " stands there twice");
        }
        return values == null ? null : values.getFirst();
    }

    // ---- responses

    /** Encodes the response body of a query. */
    static byte[] encode(QueryAction.Answer answer) {
        return Json.encode(json -> encode(json, answer));
    }

    private static void encode(JsonGenerator json, QueryAction.Answer answer) throws IOException {
        json.writeStartObject();
        json.writeBooleanField("total", answer.complete());
        if (answer.layoutVersion() > 0) {
            json.writeNumberField("layout", answer.layoutVersion());
        }
        json.writeArrayFieldStart("answers");
        for (QueryAction.ShardValue value : answer.values()) {
            encode(json, value);
        }
        json.writeEndArray();
        if (answer.page() != null) {
            PageQueryCodec.encode(json, answer.page());
        }
        json.writeEndObject();
    }

    private static void encode(JsonGenerator json, QueryAction.ShardValue value)
            throws IOException {
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

    /** Encodes the key range of a value and the requested slices that the range overlaps. */
    private static void encode(JsonGenerator json, QueryAction.KeyCoverage coverage)
            throws IOException {
        json.writeNumberField("from", coverage.from());
        json.writeNumberField("to", coverage.to());
        json.writeArrayFieldStart("named");
        for (int slice : coverage.sliceNumbers()) {
            json.writeNumber(slice);
        }
        json.writeEndArray();
    }
}
