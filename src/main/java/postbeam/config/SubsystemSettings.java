package postbeam.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import postbeam.json.JsonTreeReader;
import postbeam.json.MalformedJsonException;

/**
 * Reads the JSON5 settings file of the subsystems that the platform's configuration file does not
 * cover. The file is optional: it is read only if the command line names it.
 */
public final class SubsystemSettings {
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
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build();

    private SubsystemSettings() {}

    /**
     * Reads a file and validates it by the schema.
     *
     * @throws IOException with the file, line and key of the first problem, and the reason
     */
    public static InstanceSettings read(Path file) throws IOException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new IOException(
                    file + " can't be read (" + e.getClass().getSimpleName() + ")", e);
        }
        return parse(file.toString(), text);
    }

    /** Parses and validates the text of a file; messages have the given file name. */
    static InstanceSettings parse(String file, String text) throws IOException {
        Map<String, Integer> lines = new LinkedHashMap<>();
        Map<String, Object> settings = parseObject(file, text, lines);
        new SettingsSchema(file, lines).validate(settings);
        return new InstanceSettings(settings, "");
    }

    /** Parses the object, and puts the line of each value into the map, by JSON pointer. */
    private static Map<String, Object> parseObject(
            String file, String text, Map<String, Integer> lines) throws IOException {
        try (JsonParser parser = JSON5.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException(file + ": line 1: the settings must be an object");
            }
            Map<String, Object> settings = readObject(file, parser, lines);
            if (parser.nextToken() != null) {
                throw malformed(
                        file,
                        parser.currentLocation().getLineNr(),
                        "unexpected content after the object",
                        null);
            }
            return settings;
        } catch (JsonProcessingException e) {
            throw malformed(file, e.getLocation().getLineNr(), e.getOriginalMessage(), e);
        }
    }

    private static Map<String, Object> readObject(
            String file, JsonParser parser, Map<String, Integer> lines) throws IOException {
        try {
            return new JsonTreeReader(parser, lines::put).readObject();
        } catch (MalformedJsonException e) {
            throw malformed(file, parser.currentLocation().getLineNr(), e.getMessage(), e);
        }
    }

    private static IOException malformed(String file, int line, String problem, Throwable cause) {
        return new IOException(file + ": line " + line + ": " + problem, cause);
    }
}
