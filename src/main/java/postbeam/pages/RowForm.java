package postbeam.pages;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.setup.Json;
import postbeam.slices.KeyRange;

/**
 * Asks and rows as they travel between routers and data nodes, and rows as clients get them, in
 * JSON. An ask:
 * {"order":[{"by":NAME,"descending":B,"missing":"first"}],"asks":[[FROM,TO,ROWS,MARK]],"marks":[[[SORT..],KEY,SEQ]]},
 * MARK being a place in marks or -1. What a part gives:
 * {"rows":[[[SORT..],KEY,SEQ,TEXT]],"next":[[SORT..],KEY,SEQ]}, without next where it has no more.
 */
public final class RowForm {
    private RowForm() {}

    /** What a data node is asked. */
    public record Asked(Order order, List<Ask> asks) {}

    // ---- asks

    public static byte[] asked(Order order, List<Ask> asks) {
        Map<Mark, Integer> marks = new LinkedHashMap<>();
        asks.forEach(
                ask -> {
                    if (ask.after() != null) {
                        marks.putIfAbsent(ask.after(), marks.size());
                    }
                });
        return written(
                json -> {
                    json.writeStartObject();
                    json.writeArrayFieldStart("order");
                    for (SortKey key : order.keys()) {
                        json.writeStartObject();
                        json.writeStringField("by", key.by());
                        json.writeBooleanField("descending", key.descending());
                        json.writeStringField("missing", key.missingFirst() ? "first" : "last");
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                    json.writeArrayFieldStart("asks");
                    for (Ask ask : asks) {
                        json.writeStartArray();
                        json.writeNumber(ask.keys().from());
                        json.writeNumber(ask.keys().to());
                        json.writeNumber(ask.rows());
                        json.writeNumber(ask.after() == null ? -1 : marks.get(ask.after()));
                        json.writeEndArray();
                    }
                    json.writeEndArray();
                    json.writeArrayFieldStart("marks");
                    for (Mark mark : marks.keySet()) {
                        json.writeStartArray();
                        write(json, mark);
                        json.writeEndArray();
                    }
                    json.writeEndArray();
                    json.writeEndObject();
                });
    }

    /** What {@link #asked} wrote; an IOException says what it is not. */
    public static Asked asked(byte[] bytes) throws IOException {
        Map<String, Object> told = Json.object(bytes);
        Order order = order(Json.member(told, "order", List.class));
        List<Mark> marks = new ArrayList<>();
        for (Object mark : Json.member(told, "marks", List.class)) {
            marks.add(mark(list(mark, 3)));
        }
        List<Ask> asks = new ArrayList<>();
        for (Object one : Json.member(told, "asks", List.class)) {
            List<?> ask = list(one, 4);
            int mark = (int) whole(ask.get(3));
            if (mark >= marks.size()) {
                throw new IOException("an ask without its mark");
            }
            asks.add(
                    new Ask(
                            keys(whole(ask.get(0)), whole(ask.get(1))),
                            mark < 0 ? null : marks.get(mark),
                            (int) whole(ask.get(2))));
        }
        return new Asked(order, asks);
    }

    /** From a list of objects, as clients and asks have it. */
    public static Order order(List<?> told) throws IOException {
        if (told.isEmpty() || told.size() > Order.KEYS_MOST) {
            throw new IOException(
                    "1 to " + Order.KEYS_MOST + " sort keys can be used, not " + told.size());
        }
        List<SortKey> keys = new ArrayList<>();
        for (Object one : told) {
            if (!(one instanceof Map<?, ?> key)
                    || !(key.get("by") instanceof String by)
                    || by.isEmpty()
                    || by.length() > Mark.TEXT_MOST) {
                throw new IOException("a sort key has no name in \"by\", or too long a one");
            }
            Object missing = key.containsKey("missing") ? key.get("missing") : "last";
            Object descending = key.containsKey("descending") ? key.get("descending") : false;
            if (!"first".equals(missing) && !"last".equals(missing)
                    || !(descending instanceof Boolean)) {
                throw new IOException(
                        "\"missing\" is \"first\" or \"last\", \"descending\" true or false");
            }
            keys.add(new SortKey(by, (Boolean) descending, "first".equals(missing)));
        }
        return new Order(keys);
    }

    // ---- rows

    public static byte[] partial(Partial partial) {
        return written(
                json -> {
                    json.writeStartObject();
                    rows(json, partial.rows());
                    if (partial.next() != null) {
                        json.writeArrayFieldStart("next");
                        write(json, partial.next());
                        json.writeEndArray();
                    }
                    json.writeEndObject();
                });
    }

    /** What {@link #partial} wrote of these keys; an IOException says what it is not. */
    public static Partial partial(KeyRange keys, byte[] bytes) throws IOException {
        Map<String, Object> told = Json.object(bytes);
        List<Row> rows = new ArrayList<>();
        for (Object one : Json.member(told, "rows", List.class)) {
            List<?> row = list(one, 4);
            if (!(row.get(3) instanceof String text)) {
                throw new IOException("a row without its text");
            }
            rows.add(new Row(mark(row), text));
        }
        return new Partial(
                keys, rows, told.containsKey("next") ? mark(list(told.get("next"), 3)) : null);
    }

    /**
     * Writes the rows as a member of the object that is open: alike for like rows, from any router.
     */
    public static void rows(JsonGenerator json, List<Row> rows) throws IOException {
        json.writeArrayFieldStart("rows");
        for (Row row : rows) {
            json.writeStartArray();
            write(json, row.at());
            json.writeString(row.text());
            json.writeEndArray();
        }
        json.writeEndArray();
    }

    private static void write(JsonGenerator json, Mark mark) throws IOException {
        json.writeStartArray();
        for (Object value : mark.sort()) {
            Json.write(json, value);
        }
        json.writeEndArray();
        json.writeNumber(mark.key());
        json.writeNumber(mark.sequence());
    }

    private static Mark mark(List<?> row) throws IOException {
        if (!(row.get(0) instanceof List<?> told)) {
            throw new IOException("a row without its sort values");
        }
        List<Object> sort = new ArrayList<>();
        for (Object value : told) {
            sort.add(value == null || value instanceof String ? value : (Object) whole(value));
        }
        return new Mark(sort, whole(row.get(1)), whole(row.get(2)));
    }

    private static List<?> list(Object value, int size) throws IOException {
        if (!(value instanceof List<?> list) || list.size() != size) {
            throw new IOException("something else than a list of " + size);
        }
        return list;
    }

    private static KeyRange keys(long from, long to) throws IOException {
        try {
            return new KeyRange(from, to);
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static long whole(Object value) throws IOException {
        if (!(value instanceof Number) || value instanceof Double || value instanceof BigInteger) {
            throw new IOException("a value is no whole number of 64 bits");
        }
        return ((Number) value).longValue();
    }

    private interface Writing {
        void to(JsonGenerator json) throws IOException;
    }

    private static byte[] written(Writing writing) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = Json.FACTORY.createGenerator(bytes)) {
            // Nodes that count characters where bytes are meant read it alike.
            json.enable(JsonWriteFeature.ESCAPE_NON_ASCII.mappedFeature());
            writing.to(json);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException("writing to memory", e);
        }
        return bytes.toByteArray();
    }
}
