package postbeam.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, numbers and truth values. */
public final class Json {
    /** Levels: the deepest form here, the settings, has five. */
    private static final int MAX_DEPTH = 32;

    public static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                    .build();

    private Json() {}

    /** The one object that the bytes hold. */
    public static Map<String, Object> parseObject(byte[] bytes) throws IOException {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not a JSON object");
            }
            Map<String, Object> read = members(parser);
            if (parser.nextToken() != null) {
                throw new IOException("something follows the JSON object");
            }
            return read;
        }
    }

    private static Map<String, Object> members(JsonParser parser) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            map.put(name, value(parser));
        }
        return map;
    }

    private static Object value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> members(parser);
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(parser));
                }
                yield list;
            }
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }

    /** Writes what {@link #parseObject} reads. */
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
            for (Object one : list) {
                write(json, one);
            }
            json.writeEndArray();
        } else if (value instanceof Boolean truth) {
            json.writeBoolean(truth);
        } else if (value instanceof Number number) {
            json.writeNumber(number.toString());
        } else if (value == null) {
            json.writeNull();
        } else {
            json.writeString(value.toString());
        }
    }

    /**
     * The member as a map, a list, a string or a number; an IOException names it where it is
     * something else.
     */
    public static <T> T member(Map<?, ?> object, String name, Class<T> kind) throws IOException {
        Object value = object.get(name);
        if (!kind.isInstance(value)) {
            throw new IOException(name + (value == null ? " is missing" : " is of the wrong kind"));
        }
        return kind.cast(value);
    }
}
