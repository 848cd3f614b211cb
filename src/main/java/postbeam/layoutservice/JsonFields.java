package postbeam.layoutservice;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import postbeam.json.Json;
import postbeam.slices.KeyRange;

/**
 * Reads and writes members of JSON objects for the codecs of this package. Each reader throws an
 * IOException that names the member if it is missing or of the wrong type.
 */
final class JsonFields {
    private JsonFields() {}

    // ---- reading

    static String text(Map<?, ?> object, String name) throws IOException {
        return Json.member(object, name, String.class);
    }

    /** Returns null if the member is absent. */
    static String optionalText(Map<?, ?> object, String name) throws IOException {
        return object.containsKey(name) ? text(object, name) : null;
    }

    static boolean flag(Map<?, ?> object, String name) throws IOException {
        return Json.member(object, name, Boolean.class);
    }

    static long number(Map<?, ?> object, String name) throws IOException {
        return wholeNumber(name, Json.member(object, name, Number.class));
    }

    private static long wholeNumber(String name, Number number) throws IOException {
        if (number instanceof Integer || number instanceof Long) {
            return number.longValue();
        }
        throw new IOException(name + " is not a 64-bit integer: " + number);
    }

    static int integer(Map<?, ?> object, String name) throws IOException {
        long number = number(object, name);
        if (number != (int) number) {
            throw new IOException(name + " is not a 32-bit integer: " + number);
        }
        return (int) number;
    }

    static double decimal(Map<?, ?> object, String name) throws IOException {
        return Json.member(object, name, Number.class).doubleValue();
    }

    static Duration millis(Map<?, ?> object, String name) throws IOException {
        return Duration.ofMillis(number(object, name));
    }

    static Map<?, ?> object(Map<?, ?> object, String name) throws IOException {
        return Json.member(object, name, Map.class);
    }

    static List<Integer> integers(Map<?, ?> object, String name) throws IOException {
        return list(object, name, Integer.class, "32-bit integers");
    }

    static List<String> texts(Map<?, ?> object, String name) throws IOException {
        return list(object, name, String.class, "strings");
    }

    /** Reads a list of keys; each is a 64-bit integer. */
    static List<Long> keys(Map<?, ?> object, String name) throws IOException {
        List<Long> keys = new ArrayList<>();
        for (Number key : list(object, name, Number.class, "numbers")) {
            keys.add(wholeNumber(name, key));
        }
        return keys;
    }

    static List<Map<?, ?>> objects(Map<?, ?> object, String name) throws IOException {
        List<Map<?, ?>> objects = new ArrayList<>();
        for (Map<?, ?> element : list(object, name, Map.class, "objects")) {
            objects.add(element);
        }
        return objects;
    }

    private static <T> List<T> list(
            Map<?, ?> object, String name, Class<T> elementType, String elementDescription)
            throws IOException {
        List<T> list = new ArrayList<>();
        for (Object element : Json.member(object, name, List.class)) {
            if (!elementType.isInstance(element)) {
                throw new IOException(
                        name
                                + " must contain only "
                                + elementDescription
                                + ", but element "
                                + list.size()
                                + " (counted from 0) is of another type");
            }
            list.add(elementType.cast(element));
        }
        return list;
    }

    /** Reads the range from the member "from" (inclusive) to the member "to" (exclusive). */
    static KeyRange keyRange(Map<?, ?> object) throws IOException {
        try {
            return new KeyRange(number(object, "from"), number(object, "to"));
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    // ---- writing

    static void writeKeyRange(JsonGenerator json, KeyRange keys) throws IOException {
        json.writeNumberField("from", keys.from());
        json.writeNumberField("to", keys.to());
    }

    static void writeIntegers(JsonGenerator json, String name, List<Integer> numbers)
            throws IOException {
        json.writeArrayFieldStart(name);
        for (int number : numbers) {
            json.writeNumber(number);
        }
        json.writeEndArray();
    }

    static void writeTexts(JsonGenerator json, String name, List<String> texts) throws IOException {
        json.writeArrayFieldStart(name);
        for (String text : texts) {
            json.writeString(text);
        }
        json.writeEndArray();
    }

    /** Omits the member if the text is null. */
    static void writeOptionalText(JsonGenerator json, String name, String text) throws IOException {
        if (text != null) {
            json.writeStringField(name, text);
        }
    }
}
