package postbeam.config;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.apache.commons.text.similarity.LevenshteinDistance;
import postbeam.json.Json;

/**
 * Validates one settings file by the schema. A problem is reported with its line and key; for an
 * unknown key, the message suggests the known key with the most similar spelling.
 */
final class SettingsSchema {
    private static final String RESOURCE = "/postbeam/config/settings.schema.json";

    /** Maximum edit distance between an unknown key and a suggested one. */
    private static final int MAX_EDIT_DISTANCE = 4;

    private static final String PROPERTIES = "properties";

    private final String file;

    /** Line numbers of the file's values, by JSON pointer. */
    private final Map<String, Integer> lines;

    private final Schema schema;

    /** Creates a validator for a file; the lines are those of its values, by JSON pointer. */
    SettingsSchema(String file, Map<String, Integer> lines) throws IOException {
        this.file = file;
        this.lines = lines;
        this.schema = load();
    }

    private static Schema load() throws IOException {
        try (InputStream in = SettingsSchema.class.getResourceAsStream(RESOURCE)) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(text, InputFormat.JSON);
        }
    }

    /**
     * Validates the settings.
     *
     * @throws IOException with the first problem, and the number of further ones
     */
    void validate(Map<String, Object> settings) throws IOException {
        List<Error> errors = new ArrayList<>(schema.validate(toJson(settings), InputFormat.JSON));
        if (!errors.isEmpty()) {
            String others = errors.size() > 1 ? " (and " + (errors.size() - 1) + " more)" : "";
            throw new IOException(file + ": " + describe(errors.get(0)) + others);
        }
    }

    private static String toJson(Map<String, Object> settings) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = Json.FACTORY.createGenerator(text)) {
            Json.write(generator, settings);
        }
        return text.toString();
    }

    private String describe(Error error) {
        String pointer = error.getInstanceLocation().toString();
        String problem = error.getMessage();
        if ("additionalProperties".equals(error.getKeyword())) {
            problem = "unknown key" + suggestion(pointer, error.getProperty());
            pointer += "/" + error.getProperty();
        } else if ("required".equals(error.getKeyword())) {
            problem = "is missing";
            pointer += "/" + error.getProperty();
        }
        return "line " + lineOf(pointer) + ": " + displayName(pointer) + ": " + problem;
    }

    /** Returns the line of the value or, if it is missing, of the nearest enclosing value. */
    private int lineOf(String pointer) {
        String nearest = pointer;
        while (!nearest.isEmpty() && !lines.containsKey(nearest)) {
            nearest = nearest.substring(0, nearest.lastIndexOf('/'));
        }
        return lines.getOrDefault(nearest, 1);
    }

    private static String displayName(String pointer) {
        return pointer.isEmpty() ? "the settings" : pointer.substring(1).replace('/', '.');
    }

    /** Suggests the most similar known key of the object, as a clause; empty if none is similar. */
    private String suggestion(String pointer, String unknown) {
        JsonNode node = schema.getSchemaNode();
        for (String step : pointer.split("/", -1)) {
            node = step.isEmpty() ? node : node.path(PROPERTIES).path(step);
        }
        LevenshteinDistance distance = new LevenshteinDistance(MAX_EDIT_DISTANCE);
        String suggested = null;
        int minEdits = MAX_EDIT_DISTANCE + 1;
        for (Iterator<String> names = node.path(PROPERTIES).fieldNames(); names.hasNext(); ) {
            String known = names.next();
            int edits = distance.apply(known, unknown);
            if (edits >= 0 && edits < minEdits) {
                suggested = known;
                minEdits = edits;
            }
        }
        return suggested == null ? "" : "; did you mean " + suggested + "?";
    }
}
