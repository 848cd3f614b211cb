package postbeam.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads one object from a parser into maps, lists, strings, numbers, booleans and nulls. Members
 * keep the order of the document. Rejects repeated members and strings that are not valid Unicode,
 * for which RFC 8259 leaves open what a receiver reads.
 */
public final class JsonTreeReader {
    /** Receives the position of each member and list element. */
    public interface PositionListener {
        /**
         * Called before the value is read.
         *
         * @param pointer path of the value in the form {@code /a/0/b}; names are not escaped
         * @param line line in the document, from 1
         */
        void valueAt(String pointer, int line);
    }

    /** Receives the elements of a list one by one. */
    public interface ElementConsumer {
        /**
         * Accepts the next element.
         *
         * @throws IOException if the element can't be used; the message says why
         */
        void accept(Object element) throws IOException;
    }

    /** Limit for the part of a name that a message quotes. */
    private static final int MAX_QUOTED_CHARS = 100;

    private final JsonParser parser;

    /**
     * Listener for the positions of values; null if positions are not needed, in which case no
     * pointers are built.
     */
    private final PositionListener listener;

    /** Creates a reader that reports no positions. */
    public JsonTreeReader(JsonParser parser) {
        this(parser, null);
    }

    /** Creates a reader that reports the position of each value to the listener. */
    public JsonTreeReader(JsonParser parser, PositionListener listener) {
        this.parser = parser;
        this.listener = listener;
    }

    /** Reads the rest of the object whose start is the parser's current token. */
    public Map<String, Object> readObject() throws IOException {
        return readMembers("", null, null);
    }

    /**
     * Reads the rest of the object whose start is the parser's current token. The elements of the
     * list with this name are passed on; the list is empty in the returned object.
     */
    Map<String, Object> readObject(String listName, ElementConsumer elements) throws IOException {
        return readMembers("", listName, elements);
    }

    /**
     * Reads the members of an object.
     *
     * @param listName name of the list whose elements are passed on; null to keep all lists
     */
    private Map<String, Object> readMembers(
            String pointer, String listName, ElementConsumer elements) throws IOException {
        Map<String, Object> members = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = checkUnicode(parser.currentName());
            if (members.containsKey(name)) {
                throw new MalformedJsonException("a member is repeated: " + quote(name));
            }
            String memberPointer = child(pointer, name);
            reportPosition(memberPointer);
            if (parser.nextToken() == JsonToken.START_ARRAY && name.equals(listName)) {
                readElements(memberPointer, elements);
                members.put(name, List.of());
            } else {
                members.put(name, readValue(memberPointer));
            }
        }
        return members;
    }

    private void readElements(String pointer, ElementConsumer elements) throws IOException {
        int index = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            String elementPointer = child(pointer, index++);
            reportPosition(elementPointer);
            elements.accept(readValue(elementPointer));
        }
    }

    private List<Object> readList(String pointer) throws IOException {
        List<Object> list = new ArrayList<>();
        readElements(pointer, list::add);
        return list;
    }

    private Object readValue(String pointer) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readMembers(pointer, null, null);
            case START_ARRAY -> readList(pointer);
            case VALUE_STRING -> checkUnicode(parser.getText());
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }

    /**
     * Returns the text if it is valid Unicode. An escape may stand for a surrogate without its
     * partner, which no UTF-8 can encode: another character would be sent on in its place.
     */
    private static String checkUnicode(String text) throws MalformedJsonException {
        int index = 0;
        while (index < text.length()) {
            int codePoint = text.codePointAt(index);
            // A surrogate of a pair is part of a code point beyond the range of surrogates.
            if (Character.getType(codePoint) == Character.SURROGATE) {
                throw new MalformedJsonException(
                        String.format("a string holds the unpaired surrogate U+%04X", codePoint));
            }
            index += Character.charCount(codePoint);
        }
        return text;
    }

    private static String quote(String name) {
        return name.substring(0, Math.min(name.length(), MAX_QUOTED_CHARS))
                .replaceAll("\\p{Cc}", "?");
    }

    private String child(String pointer, Object nameOrIndex) {
        return listener == null ? pointer : pointer + "/" + nameOrIndex;
    }

    private void reportPosition(String pointer) {
        if (listener != null) {
            listener.valueAt(pointer, parser.currentLocation().getLineNr());
        }
    }
}
