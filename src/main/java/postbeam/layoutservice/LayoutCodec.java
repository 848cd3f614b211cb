package postbeam.layoutservice;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import postbeam.json.Json;
import postbeam.slices.Holder;
import postbeam.slices.Layout;
import postbeam.slices.RetiredSlice;
import postbeam.slices.Slice;

/**
 * Maps layouts to the JSON in which they are published and stored. Times are in milliseconds since
 * 1970.
 */
public final class LayoutCodec {
    private LayoutCodec() {}

    /** Encodes the layout as one JSON object. */
    public static byte[] write(Layout layout) {
        return Json.encode(json -> write(json, layout));
    }

    static void write(JsonGenerator json, Layout layout) throws IOException {
        json.writeStartObject();
        json.writeNumberField("version", layout.version);
        json.writeNumberField("oldest", layout.oldestVersion);
        json.writeArrayFieldStart("slices");
        for (Slice slice : layout.slices()) {
            writeSlice(json, slice);
        }
        json.writeEndArray();
        json.writeArrayFieldStart("retired");
        for (RetiredSlice slice : layout.retiredSlices()) {
            writeRetired(json, slice);
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    private static void writeSlice(JsonGenerator json, Slice slice) throws IOException {
        json.writeStartObject();
        json.writeNumberField("slice", slice.number());
        JsonFields.writeKeyRange(json, slice.keys());
        json.writeNumberField("born", slice.createdVersion());
        json.writeArrayFieldStart("holders");
        for (Holder holder : slice.holders()) {
            json.writeStartObject();
            json.writeStringField("node", holder.node());
            json.writeNumberField("took_ms", holder.acquiredAt().toMillis());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    private static void writeRetired(JsonGenerator json, RetiredSlice slice) throws IOException {
        json.writeStartObject();
        json.writeNumberField("slice", slice.number());
        JsonFields.writeKeyRange(json, slice.keys());
        json.writeNumberField("born", slice.createdVersion());
        json.writeNumberField("died", slice.retiredVersion());
        JsonFields.writeIntegers(json, "children", slice.children());
        json.writeEndObject();
    }

    /**
     * Reads a layout that {@link #write} has written.
     *
     * @throws IOException a member is missing or of the wrong type, or the slices do not form a
     *     valid layout
     */
    public static Layout read(Map<?, ?> object) throws IOException {
        List<Slice> slices = new ArrayList<>();
        for (Map<?, ?> slice : JsonFields.objects(object, "slices")) {
            slices.add(readSlice(slice));
        }
        List<RetiredSlice> retired = new ArrayList<>();
        for (Map<?, ?> slice : JsonFields.objects(object, "retired")) {
            retired.add(readRetired(slice));
        }
        try {
            return Layout.validated(
                    JsonFields.number(object, "version"),
                    JsonFields.number(object, "oldest"),
                    slices,
                    retired);
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static Slice readSlice(Map<?, ?> slice) throws IOException {
        List<Holder> holders = new ArrayList<>();
        for (Map<?, ?> holder : JsonFields.objects(slice, "holders")) {
            holders.add(
                    new Holder(
                            JsonFields.text(holder, "node"), JsonFields.millis(holder, "took_ms")));
        }
        return new Slice(
                JsonFields.integer(slice, "slice"),
                JsonFields.keyRange(slice),
                JsonFields.number(slice, "born"),
                holders);
    }

    private static RetiredSlice readRetired(Map<?, ?> slice) throws IOException {
        return new RetiredSlice(
                JsonFields.integer(slice, "slice"),
                JsonFields.keyRange(slice),
                JsonFields.number(slice, "born"),
                JsonFields.number(slice, "died"),
                JsonFields.integers(slice, "children"));
    }
}
