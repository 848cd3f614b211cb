package postbeam.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and nulls. */
public final class Json {
    /** Maximum nesting depth; the deepest document here, the settings, has five levels. */
    private static final int MAX_DEPTH = 32;

    /** Limits the nesting depth, so that a document from a peer can't exhaust the stack. */
    public static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                    .build();

    /** Writes one JSON value. */
    public interface Writer {
        /** Writes the value to the generator, which the caller closes. */
        void write(JsonGenerator json) throws IOException;
    }

    private Json() {}

    /**
     * Creates a parser for a document in UTF-8, the only encoding that RFC 8259 allows. Given the
     * bytes, the library would accept overlong forms and code points beyond U+10FFFF, and would
     * guess other encodings. A parser of malformed UTF-8 throws {@link CharacterCodingException}.
     */
    public static JsonParser createParser(byte[] bytes) throws IOException {
        return createParser(new ByteArrayInputStream(bytes));
    }

    private static JsonParser createParser(InputStream bytes) throws IOException {
        // Unlike a reader that is given the charset, one with a decoder rejects malformed input.
        return FACTORY.createParser(
                new InputStreamReader(bytes, StandardCharsets.UTF_8.newDecoder()));
    }

    /**
     * Parses a document that consists of one object.
     *
     * @throws IOException if it is malformed or not an object; the message says why
     */
    public static Map<String, Object> parseObject(byte[] bytes) throws IOException {
        return parseObject(new ByteArrayInputStream(bytes));
    }

    /**
     * Parses a document that consists of one object, and closes the stream.
     *
     * @throws IOException if it is malformed or not an object; the message says why
     */
    public static Map<String, Object> parseObject(InputStream bytes) throws IOException {
        return parseObject(bytes, JsonTreeReader::readObject);
    }

    /**
     * Parses a document that consists of one object, and closes the stream. The elements of one of
     * its lists are passed on one by one, so that a long list is never in memory as a tree.
     *
     * @param listName name of the object's member whose elements are passed on; the list is empty
     *     in the returned object
     * @param elements receives each element of the list, in order
     * @throws IOException if the document is malformed or not an object, or an element is rejected;
     *     the message says why
     */
    public static Map<String, Object> parseObject(
            InputStream bytes, String listName, JsonTreeReader.ElementConsumer elements)
            throws IOException {
        return parseObject(bytes, reader -> reader.readObject(listName, elements));
    }

    /** Reads the rest of an object whose start has been read. */
    private interface ObjectReader {
        Map<String, Object> read(JsonTreeReader reader) throws IOException;
    }

    private static Map<String, Object> parseObject(InputStream bytes, ObjectReader objectReader)
            throws IOException {
        try (JsonParser parser = createParser(bytes)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedJsonException("not a JSON object");
            }
            Map<String, Object> object = objectReader.read(new JsonTreeReader(parser));
            if (parser.nextToken() != null) {
                throw new MalformedJsonException("something follows the JSON object");
            }
            return object;
        } catch (CharacterCodingException e) {
            throw new MalformedJsonException("the JSON document is not valid UTF-8", e);
        }
    }

    /** Encodes the JSON value that the writer produces, in UTF-8. */
    public static byte[] encode(Writer writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = FACTORY.createGenerator(bytes)) {
            writer.write(json);
        } catch (IOException e) {
            throw new UncheckedIOException("encoding JSON in memory failed", e);
        }
        return bytes.toByteArray();
    }

    /** Writes a tree as {@link #parseObject} returns it. */
    public static void write(JsonGenerator json, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            json.writeStartObject();
            for (Map.Entry<?, ?> member : map.entrySet()) {
                json.writeFieldName(String.valueOf(member.getKey()));
                write(json, member.getValue());
            }
            json.writeEndObject();
        } else if (value instanceof List<?> list) {
            json.writeStartArray();
            for (Object element : list) {
                write(json, element);
            }
            json.writeEndArray();
        } else if (value instanceof Boolean bool) {
            json.writeBoolean(bool);
        } else if (value instanceof Number number) {
            json.writeNumber(number.toString());
        } else if (value == null) {
            json.writeNull();
        } else {
            json.writeString(value.toString());
        }
    }

    /**
     * Returns a required member.
     *
     * @throws MalformedJsonException if it is missing or not of this type; the message names the
     *     member
     */
    public static <T> T member(Map<?, ?> object, String name, Class<T> type)
            throws MalformedJsonException {
        Object value = object.get(name);
        if (!type.isInstance(value)) {
            throw new MalformedJsonException(
                    name + (value == null ? " is missing" : " is of the wrong kind"));
        }
        return type.cast(value);
    }
}
