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
import postbeam.pages.PageAsked;
import postbeam.router.Asked;
import postbeam.router.Step;
import postbeam.setup.Json;

/** The query and the answer in the clients' form. */
final class QueryForm {
    private static final HttpString ID = new HttpString("Req-Id");
    private static final HttpString OWNER = new HttpString("Req-Owner");
    private static final HttpString DEADLINE = new HttpString("Req-Deadline-Ms");
    private static final HttpString REPEAT = new HttpString("Req-Retry");
    private static final HttpString LAYOUT = new HttpString("Req-Layout");

    /** Characters: an id travels in each frame. */
    private static final int LONGEST_ID = 64;

    /** Milliseconds: a day; no client waits so long. */
    private static final long LONGEST_WAIT = 86_400_000;

    /** Of a whole: what is lost where portions are written with few digits. */
    private static final double ROUNDING = 0.005;

    private QueryForm() {}

    /** An IOException says what can't be used. */
    static Asked read(
            HttpServerExchange exchange,
            byte[] body,
            String vertical,
            Set<String> owners,
            int shards,
            Duration usualWait,
            int pageRows)
            throws IOException {
        String id = header(exchange, ID);
        if (id == null
                || id.length() > LONGEST_ID
                || !id.chars().allMatch(c -> c > ' ' && c < 127 && c != '.')) {
            throw new IOException("Req-Id is missing or can't be used");
        }
        String owner = header(exchange, OWNER);
        if (!owners.isEmpty() && !owners.contains(owner)) {
            throw new IOException("Req-Owner is missing or unknown");
        }
        Map<String, Object> query = Json.object(body);
        PageAsked page =
                pageRows > 0 && query.containsKey("page")
                        ? PageQueryForm.read(query, pageRows)
                        : null;
        List<Asked.AskedPart> parts =
                page != null && page.cursor() != null ? List.of() : parts(query, shards);
        byte[] text =
                Json.member(query, "predicate", String.class).getBytes(StandardCharsets.UTF_8);
        return new Asked(
                id,
                vertical,
                owner,
                wait(header(exchange, DEADLINE), usualWait),
                parts,
                text,
                layout(header(exchange, LAYOUT)),
                "1".equals(exchange.getRequestHeaders().getFirst(REPEAT)),
                page);
    }

    private static List<Asked.AskedPart> parts(Map<String, Object> query, int shards)
            throws IOException {
        Set<Integer> seen = new HashSet<>();
        List<Asked.AskedPart> parts = new ArrayList<>();
        for (Object range : Json.member(query, "ranges", List.class)) {
            if (!(range instanceof Map<?, ?> part)) {
                throw new IOException("ranges holds something else than objects");
            }
            int shard = Json.member(part, "range", Integer.class);
            double weight = Json.member(part, "portion", Number.class).doubleValue();
            if (shard < 0
                    || shard >= shards
                    || !seen.add(shard)
                    || !(weight > 0 && weight <= 1 + ROUNDING)) {
                throw new IOException("range or portion can't be used: " + shard + ", " + weight);
            }
            parts.add(
                    new Asked.AskedPart(
                            shard,
                            weight,
                            part.get("price") instanceof Integer micros && micros > 0
                                    ? Duration.ofNanos(micros * 1000L)
                                    : null));
        }
        double sum = parts.stream().mapToDouble(Asked.AskedPart::weight).sum();
        if (Math.abs(sum - 1) > ROUNDING) {
            throw new IOException("the portions of ranges add up to " + sum + ", not 1");
        }
        return parts;
    }

    /** The version by which slices are named; 0 where none is told. */
    private static long layout(String header) throws IOException {
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

    private static Duration wait(String header, Duration usual) throws IOException {
        if (header == null && usual != null) {
            return usual;
        }
        try {
            long millis = Long.parseLong(String.valueOf(header));
            if (millis > 0 && millis <= LONGEST_WAIT) {
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
    private static void write(JsonGenerator json, Step.Cover cover) throws IOException {
        json.writeNumberField("from", cover.from());
        json.writeNumberField("to", cover.to());
        json.writeArrayFieldStart("named");
        for (int slice : cover.named()) {
            json.writeNumber(slice);
        }
        json.writeEndArray();
    }

    static byte[] write(Step.Answer answer) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = Json.FACTORY.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeBooleanField("total", answer.whole());
            if (answer.layout() > 0) {
                json.writeNumberField("layout", answer.layout());
            }
            json.writeArrayFieldStart("answers");
            for (Step.Value value : answer.values()) {
                json.writeStartObject();
                json.writeNumberField("range", value.shard());
                if (value.cover() != null) {
                    write(json, value.cover());
                }
                if (value.text() != null) {
                    json.writeFieldName("blob");
                    json.writeUTF8String(value.text(), 0, value.text().length);
                }
                json.writeEndObject();
            }
            json.writeEndArray();
            if (answer.page() != null) {
                PageQueryForm.write(json, answer.page());
            }
            json.writeEndObject();
        }
        return bytes.toByteArray();
    }
}
