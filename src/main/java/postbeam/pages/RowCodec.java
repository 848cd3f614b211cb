package postbeam.pages;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postbeam.json.Json;
import postbeam.slices.KeyRange;

/**
 * Encodes and decodes the JSON of fetch requests and answers between routers and data nodes, and
 * writes the rows of pages for clients.
 *
 * <p>A fetch request:
 * {"order":[{"by":FIELD,"descending":BOOLEAN,"missing":"first"}],"asks":[[FROM,TO,ROWS,POSITION]],
 * "marks":[[[VALUE..],KEY,SEQUENCE]]}, where POSITION is an index in marks, or -1 to start from the
 * first row.
 *
 * <p>An answer: {"rows":[[[VALUE..],KEY,SEQUENCE,TEXT]],"next":[[VALUE..],KEY,SEQUENCE]}, without
 * the member next if the node has no more rows.
 */
public final class RowCodec {
    private static final int FIRST_ROW = -1;
    private static final int FETCH_MEMBERS = 4;
    private static final int POSITION_MEMBERS = 3;
    private static final int ROW_MEMBERS = 4;

    /** A router's request to a data node for rows of several key ranges in one sort order. */
    public record FetchRequest(SortOrder sortOrder, List<RowFetch> fetches) {}

    private interface JsonWriter {
        void writeTo(JsonGenerator json) throws IOException;
    }

    private RowCodec() {}

    // ---- fetch requests

    /** Encodes a request to a data node. */
    public static byte[] encodeFetchRequest(SortOrder order, List<RowFetch> fetches) {
        Map<RowPosition, Integer> positions = new LinkedHashMap<>();
        for (RowFetch fetch : fetches) {
            if (fetch.after() != null) {
                positions.putIfAbsent(fetch.after(), positions.size());
            }
        }
        return toBytes(
                json -> {
                    json.writeStartObject();
                    writeOrder(json, order);
                    json.writeArrayFieldStart("asks");
                    for (RowFetch fetch : fetches) {
                        writeFetch(
                                json,
                                fetch,
                                fetch.after() == null ? FIRST_ROW : positions.get(fetch.after()));
                    }
                    json.writeEndArray();
                    json.writeArrayFieldStart("marks");
                    for (RowPosition position : positions.keySet()) {
                        json.writeStartArray();
                        writePosition(json, position);
                        json.writeEndArray();
                    }
                    json.writeEndArray();
                    json.writeEndObject();
                });
    }

    private static void writeOrder(JsonGenerator json, SortOrder order) throws IOException {
        json.writeArrayFieldStart("order");
        for (SortKey key : order.keys()) {
            json.writeStartObject();
            json.writeStringField("by", key.field());
            json.writeBooleanField("descending", key.descending());
            json.writeStringField("missing", key.missingFirst() ? "first" : "last");
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeFetch(JsonGenerator json, RowFetch fetch, int position)
            throws IOException {
        json.writeStartArray();
        json.writeNumber(fetch.range().from());
        json.writeNumber(fetch.range().to());
        json.writeNumber(fetch.maxRows());
        json.writeNumber(position);
        json.writeEndArray();
    }

    /**
     * Decodes a request that {@link #encodeFetchRequest} encoded.
     *
     * @throws IOException if the bytes are no such request; the message tells why
     */
    public static FetchRequest decodeFetchRequest(byte[] bytes) throws IOException {
        Map<String, Object> request = Json.parseObject(bytes);
        SortOrder order = readOrder(Json.member(request, "order", List.class));
        List<RowPosition> positions = new ArrayList<>();
        for (Object position : Json.member(request, "marks", List.class)) {
            positions.add(readPosition(listOf(position, POSITION_MEMBERS)));
        }
        List<RowFetch> fetches = new ArrayList<>();
        for (Object fetch : Json.member(request, "asks", List.class)) {
            fetches.add(readFetch(listOf(fetch, FETCH_MEMBERS), positions));
        }
        return new FetchRequest(order, fetches);
    }

    private static RowFetch readFetch(List<?> fetch, List<RowPosition> positions)
            throws IOException {
        int position = (int) wholeNumber(fetch.get(3));
        if (position >= positions.size()) {
            throw new IOException(
                    "a fetch refers to position "
                            + position
                            + ", but \"marks\" has "
                            + positions.size()
                            + " positions");
        }
        KeyRange range = rangeOf(wholeNumber(fetch.get(0)), wholeNumber(fetch.get(1)));
        RowPosition after = position < 0 ? null : positions.get(position);
        return new RowFetch(range, after, (int) wholeNumber(fetch.get(2)));
    }

    /**
     * Reads a sort order from a parsed JSON list of objects, the form that client requests and
     * fetch requests share.
     *
     * @throws IOException if the list is no valid sort order; the message tells why and may be sent
     *     to a client
     */
    public static SortOrder readOrder(List<?> list) throws IOException {
        if (list.isEmpty() || list.size() > SortOrder.MAX_KEYS) {
            throw new IOException(
                    "1 to " + SortOrder.MAX_KEYS + " sort keys can be used, not " + list.size());
        }
        List<SortKey> keys = new ArrayList<>();
        for (Object key : list) {
            keys.add(readSortKey(key));
        }
        return new SortOrder(keys);
    }

    private static SortKey readSortKey(Object object) throws IOException {
        if (!(object instanceof Map<?, ?> key)
                || !(key.get("by") instanceof String field)
                || field.isEmpty()
                || field.length() > RowPosition.MAX_TEXT_BYTES) {
            throw new IOException("a sort key has no name in \"by\", or too long a one");
        }
        Object missing = key.containsKey("missing") ? key.get("missing") : "last";
        Object direction = key.containsKey("descending") ? key.get("descending") : false;
        boolean missingFirst = "first".equals(missing);
        if ((!missingFirst && !"last".equals(missing))
                || !(direction instanceof Boolean descending)) {
            throw new IOException(
                    "\"missing\" is \"first\" or \"last\", \"descending\" true or false");
        }
        return new SortKey(field, descending, missingFirst);
    }

    // ---- answers

    /** Encodes a data node's answer. */
    public static byte[] encodePartialPage(PartialPage answer) {
        return toBytes(
                json -> {
                    json.writeStartObject();
                    writeRows(json, answer.rows());
                    if (answer.nextPosition() != null) {
                        json.writeArrayFieldStart("next");
                        writePosition(json, answer.nextPosition());
                        json.writeEndArray();
                    }
                    json.writeEndObject();
                });
    }

    /**
     * Decodes an answer that {@link #encodePartialPage} encoded.
     *
     * @param range the keys that the answer covers, which are not part of the encoded form
     * @throws IOException if the bytes are no such answer; the message tells why
     */
    public static PartialPage decodePartialPage(KeyRange range, byte[] bytes) throws IOException {
        Map<String, Object> answer = Json.parseObject(bytes);
        List<Row> rows = new ArrayList<>();
        for (Object element : Json.member(answer, "rows", List.class)) {
            List<?> row = listOf(element, ROW_MEMBERS);
            if (!(row.get(3) instanceof String text)) {
                throw new IOException(
                        "the last element of a row must be a string, but is not for row "
                                + rows.size()
                                + " (counted from 0)");
            }
            rows.add(new Row(readPosition(row), text));
        }
        RowPosition next =
                answer.containsKey("next")
                        ? readPosition(listOf(answer.get("next"), POSITION_MEMBERS))
                        : null;
        return new PartialPage(range, rows, next);
    }

    /**
     * Writes the rows as member "rows" of the current JSON object. Equal rows give equal bytes on
     * every router.
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

    // ---- elements of both forms

    private static void writePosition(JsonGenerator json, RowPosition position) throws IOException {
        json.writeStartArray();
        for (Object value : position.sortValues()) {
            Json.write(json, value);
        }
        json.writeEndArray();
        json.writeNumber(position.key());
        json.writeNumber(position.sequence());
    }

    private static RowPosition readPosition(List<?> list) throws IOException {
        if (!(list.get(0) instanceof List<?> values)) {
            throw new IOException(
                    "the first element of a row or position must be an array of sort values");
        }
        List<Object> sortValues = new ArrayList<>();
        for (Object value : values) {
            sortValues.add(
                    value == null || value instanceof String ? value : (Object) wholeNumber(value));
        }
        return new RowPosition(sortValues, wholeNumber(list.get(1)), wholeNumber(list.get(2)));
    }

    private static List<?> listOf(Object value, int size) throws IOException {
        if (!(value instanceof List<?> list) || list.size() != size) {
            throw new IOException(
                    "a row, position, fetch or other tuple must be an array of "
                            + size
                            + " elements, not "
                            + (value instanceof List<?> other
                                    ? "of " + other.size()
                                    : value == null
                                            ? "null"
                                            : "a value of type "
                                                    + value.getClass().getSimpleName()));
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
        if (!(value instanceof Number number)
                || value instanceof Double
                || value instanceof BigInteger) {
            throw new IOException(
                    "a key, sequence number, position, row limit or numeric sort value must be an"
                            + " integer of at most 64 bits, not "
                            + (value == null
                                    ? "null"
                                    : "a value of type " + value.getClass().getSimpleName()));
        }
        return number.longValue();
    }

    private static byte[] toBytes(JsonWriter writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = Json.FACTORY.createGenerator(bytes)) {
            // ASCII output has as many characters as bytes, for data nodes that count characters.
            json.enable(JsonWriteFeature.ESCAPE_NON_ASCII.mappedFeature());
            writer.writeTo(json);
        } catch (IOException e) {
            throw new UncheckedIOException("could not write JSON to memory", e);
        }
        return bytes.toByteArray();
    }
}
