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
import postbeam.json.Json;
import postbeam.slices.KeyRange;

/**
 * Asks and rows as they travel between routers and data nodes, and rows as clients get them, in
 * JSON. An ask:
 * {"order":[{"by":NAME,"descending":B,"missing":"first"}],"asks":[[FROM,TO,ROWS,MARK]],"marks":[[[SORT..],KEY,SEQ]]},
 * MARK being a place in marks or -1. What a part gives:
 * {"rows":[[[SORT..],KEY,SEQ,TEXT]],"next":[[SORT..],KEY,SEQ]}, without next where it has no more.
 */
public final class RowCodec {
    private RowCodec() {}

    /** What a data node is asked. */
    public record FetchRequest(SortOrder sortOrder, List<RowFetch> fetches) {}

    // ---- asks

    public static byte[] fetchRequest(SortOrder order, List<RowFetch> asks) {
        Map<RowPosition, Integer> marks = new LinkedHashMap<>();
        asks.forEach(
                ask -> {
                    if (ask.after() != null) {
                        marks.putIfAbsent(ask.after(), marks.size());
                    }
                });
        return toBytes(
                json -> {
                    json.writeStartObject();
                    json.writeArrayFieldStart("order");
                    for (SortKey key : order.keys()) {
                        json.writeStartObject();
                        json.writeStringField("by", key.field());
                        json.writeBooleanField("descending", key.descending());
                        json.writeStringField("missing", key.missingFirst() ? "first" : "last");
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                    json.writeArrayFieldStart("asks");
                    for (RowFetch ask : asks) {
                        json.writeStartArray();
                        json.writeNumber(ask.range().from());
                        json.writeNumber(ask.range().to());
                        json.writeNumber(ask.maxRows());
                        json.writeNumber(ask.after() == null ? -1 : marks.get(ask.after()));
                        json.writeEndArray();
                    }
                    json.writeEndArray();
                    json.writeArrayFieldStart("marks");
                    for (RowPosition mark : marks.keySet()) {
                        json.writeStartArray();
                        writePosition(json, mark);
                        json.writeEndArray();
                    }
                    json.writeEndArray();
                    json.writeEndObject();
                });
    }

    /** What {@link #fetchRequest} wrote; an IOException says what it is not. */
    public static FetchRequest fetchRequest(byte[] bytes) throws IOException {
        Map<String, Object> told = Json.parseObject(bytes);
        SortOrder order = readOrder(Json.member(told, "order", List.class));
        List<RowPosition> marks = new ArrayList<>();
        for (Object mark : Json.member(told, "marks", List.class)) {
            marks.add(readPosition(listOf(mark, 3)));
        }
        List<RowFetch> asks = new ArrayList<>();
        for (Object one : Json.member(told, "asks", List.class)) {
            List<?> ask = listOf(one, 4);
            int mark = (int) wholeNumber(ask.get(3));
            if (mark >= marks.size()) {
                throw new IOException("an ask without its mark");
            }
            asks.add(
                    new RowFetch(
                            rangeOf(wholeNumber(ask.get(0)), wholeNumber(ask.get(1))),
                            mark < 0 ? null : marks.get(mark),
                            (int) wholeNumber(ask.get(2))));
        }
        return new FetchRequest(order, asks);
    }

    /** From a list of objects, as clients and asks have it. */
    public static SortOrder readOrder(List<?> told) throws IOException {
        if (told.isEmpty() || told.size() > SortOrder.MAX_KEYS) {
            throw new IOException(
                    "1 to " + SortOrder.MAX_KEYS + " sort keys can be used, not " + told.size());
        }
        List<SortKey> keys = new ArrayList<>();
        for (Object one : told) {
            if (!(one instanceof Map<?, ?> key)
                    || !(key.get("by") instanceof String by)
                    || by.isEmpty()
                    || by.length() > RowPosition.MAX_TEXT_BYTES) {
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
        return new SortOrder(keys);
    }

    // ---- rows

    public static byte[] partialPage(PartialPage partial) {
        return toBytes(
                json -> {
                    json.writeStartObject();
                    writeRows(json, partial.rows());
                    if (partial.nextPosition() != null) {
                        json.writeArrayFieldStart("next");
                        writePosition(json, partial.nextPosition());
                        json.writeEndArray();
                    }
                    json.writeEndObject();
                });
    }

    /** What {@link #partialPage} wrote of these keys; an IOException says what it is not. */
    public static PartialPage partialPage(KeyRange keys, byte[] bytes) throws IOException {
        Map<String, Object> told = Json.parseObject(bytes);
        List<Row> rows = new ArrayList<>();
        for (Object one : Json.member(told, "rows", List.class)) {
            List<?> row = listOf(one, 4);
            if (!(row.get(3) instanceof String text)) {
                throw new IOException("a row without its text");
            }
            rows.add(new Row(readPosition(row), text));
        }
        return new PartialPage(
                keys,
                rows,
                told.containsKey("next") ? readPosition(listOf(told.get("next"), 3)) : null);
    }

    /**
     * Writes the rows as a member of the object that is open: alike for like rows, from any router.
     */
    public static void writeRows(JsonGenerator json, List<Row> rows) throws IOException {
        json.writeArrayFieldStart("rows");
        for (Row row : rows) {
            json.writeStartArray();
            writePosition(json, row.position());
            json.writeString(row.text());
            json.writeEndArray();
        }
        json.writeEndArray();
    }

    private static void writePosition(JsonGenerator json, RowPosition mark) throws IOException {
        json.writeStartArray();
        for (Object value : mark.sortValues()) {
            Json.write(json, value);
        }
        json.writeEndArray();
        json.writeNumber(mark.key());
        json.writeNumber(mark.sequence());
    }

    private static RowPosition readPosition(List<?> row) throws IOException {
        if (!(row.get(0) instanceof List<?> told)) {
            throw new IOException("a row without its sort values");
        }
        List<Object> sort = new ArrayList<>();
        for (Object value : told) {
            sort.add(
                    value == null || value instanceof String ? value : (Object) wholeNumber(value));
        }
        return new RowPosition(sort, wholeNumber(row.get(1)), wholeNumber(row.get(2)));
    }

    private static List<?> listOf(Object value, int size) throws IOException {
        if (!(value instanceof List<?> list) || list.size() != size) {
            throw new IOException("something else than a list of " + size);
        }
        return list;
    }

    private static KeyRange rangeOf(long from, long to) throws IOException {
        try {
            return new KeyRange(from, to);
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static long wholeNumber(Object value) throws IOException {
        if (!(value instanceof Number) || value instanceof Double || value instanceof BigInteger) {
            throw new IOException("a value is no whole number of 64 bits");
        }
        return ((Number) value).longValue();
    }

    private interface JsonWriter {
        void to(JsonGenerator json) throws IOException;
    }

    private static byte[] toBytes(JsonWriter writing) {
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
