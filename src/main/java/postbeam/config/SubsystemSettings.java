package postbeam.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.text.similarity.LevenshteinDistance;
import postbeam.json.Json;

/**
 * Our own settings, in JSON5, checked by a schema: what is wrong is told with its key, its line and
 * the reason, an unknown key with the nearest known one. Loaded only where a flag names the file.
 */
public final class SubsystemSettings {
    private static final String SCHEMA = "/postbeam/config/settings.schema.json";
    private static final JsonFactory JSON5 =
            JsonFactory.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_UNQUOTED_FIELD_NAMES)
                    .enable(JsonReadFeature.ALLOW_SINGLE_QUOTES)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(JsonReadFeature.ALLOW_LEADING_PLUS_SIGN_FOR_NUMBERS)
                    .enable(JsonReadFeature.ALLOW_LEADING_DECIMAL_POINT_FOR_NUMBERS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_DECIMAL_POINT_FOR_NUMBERS)
                    .enable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
                    .enable(JsonReadFeature.ALLOW_BACKSLASH_ESCAPING_ANY_CHARACTER)
                    .enable(com.fasterxml.jackson.core.StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build();

    /** Letters that an unknown key may differ from the one that is meant. */
    private static final int MAX_EDIT_DISTANCE = 4;

    private SubsystemSettings() {}

    /**
     * The settings by path; an IOException names the file, and the line and key of the first thing
     * wrong.
     */
    public static InstanceSettings read(Path file) throws IOException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new IOException(
                    file + " can't be read (" + e.getClass().getSimpleName() + ")", e);
        }
        return read(file.toString(), text);
    }

    static InstanceSettings read(String name, String text) throws IOException {
        Map<String, Integer> lines = new LinkedHashMap<>();
        Map<String, Object> told;
        try (JsonParser parser = JSON5.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException(name + ": line 1: not an object");
            }
            told = members(parser, "", lines);
            if (parser.nextToken() != null) {
                throw new IOException(
                        name
                                + ": line "
                                + parser.currentLocation().getLineNr()
                                + ": something follows the object");
            }
        } catch (JsonProcessingException e) {
            throw new IOException(
                    name + ": line " + e.getLocation().getLineNr() + ": " + e.getOriginalMessage(),
                    e);
        }
        validate(name, told, lines);
        return new InstanceSettings(told, "");
    }

    private static Map<String, Object> members(
            JsonParser parser, String path, Map<String, Integer> lines) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String key = path + "/" + parser.currentName();
            String member = parser.currentName();
            lines.put(key, parser.currentLocation().getLineNr());
            parser.nextToken();
            map.put(member, value(parser, key, lines));
        }
        return map;
    }

    private static Object value(JsonParser parser, String path, Map<String, Integer> lines)
            throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> members(parser, path, lines);
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    lines.put(path + "/" + list.size(), parser.currentLocation().getLineNr());
                    list.add(value(parser, path + "/" + list.size(), lines));
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

    private static void validate(String name, Map<String, Object> told, Map<String, Integer> lines)
            throws IOException {
        Schema schema;
        try (InputStream in = SubsystemSettings.class.getResourceAsStream(SCHEMA)) {
            schema =
                    SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                            .getSchema(
                                    new String(in.readAllBytes(), StandardCharsets.UTF_8),
                                    InputFormat.JSON);
        }
        StringWriter plain = new StringWriter();
        try (var json = Json.FACTORY.createGenerator(plain)) {
            Json.write(json, told);
        }
        List<Error> errors = new ArrayList<>(schema.validate(plain.toString(), InputFormat.JSON));
        if (!errors.isEmpty()) {
            Error first = errors.get(0);
            String path = first.getInstanceLocation().toString();
            String what = first.getMessage();
            if ("additionalProperties".equals(first.getKeyword())) {
                String unknown = first.getProperty();
                what = "unknown key" + suggestion(schema, path, unknown);
                path += "/" + unknown;
            } else if ("required".equals(first.getKeyword())) {
                path += "/" + first.getProperty();
                what = "is missing";
            }
            throw new IOException(
                    name
                            + ": "
                            + linePrefix(path, lines)
                            + displayName(path)
                            + ": "
                            + what
                            + (errors.size() > 1 ? " (and " + (errors.size() - 1) + " more)" : ""));
        }
    }

    /** The line of the key or, where it is missing, of what it is missing in. */
    private static String linePrefix(String path, Map<String, Integer> lines) {
        String near = path;
        while (!near.isEmpty() && !lines.containsKey(near)) {
            near = near.substring(0, near.lastIndexOf('/'));
        }
        return "line " + lines.getOrDefault(near, 1) + ": ";
    }

    private static String displayName(String path) {
        return path.isEmpty() ? "the settings" : path.substring(1).replace('/', '.');
    }

    /** The known key of that place that is spelt most alike. */
    private static String suggestion(Schema schema, String path, String unknown) {
        var at = schema.getSchemaNode();
        for (String step : path.split("/")) {
            at = step.isEmpty() ? at : at.path("properties").path(step);
        }
        String best = null;
        int least = MAX_EDIT_DISTANCE + 1;
        for (var names = at.path("properties").fieldNames(); names.hasNext(); ) {
            String known = names.next();
            int far = new LevenshteinDistance(MAX_EDIT_DISTANCE).apply(known, unknown);
            if (far >= 0 && far < least) {
                best = known;
                least = far;
            }
        }
        return best == null ? "" : "; " + best + " is known";
    }
}
