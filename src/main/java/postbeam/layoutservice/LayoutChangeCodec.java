package postbeam.layoutservice;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import postbeam.slices.LayoutChange;
import postbeam.slices.TargetLayout;

/** Maps layout changes and target layouts to the JSON of operator requests and journal records. */
final class LayoutChangeCodec {
    private LayoutChangeCodec() {}

    // ---- changes

    static void write(JsonGenerator json, LayoutChange change) throws IOException {
        json.writeStartObject();
        if (change instanceof LayoutChange.Split split) {
            writeSplit(json, split);
        } else if (change instanceof LayoutChange.Merge merge) {
            JsonFields.writeIntegers(json, "merge", merge.slices());
        } else if (change instanceof LayoutChange.Transfer transfer) {
            writeTransfer(json, transfer);
        }
        json.writeEndObject();
    }

    private static void writeSplit(JsonGenerator json, LayoutChange.Split split)
            throws IOException {
        json.writeNumberField("split", split.slice());
        json.writeArrayFieldStart("at");
        for (long cut : split.cuts()) {
            json.writeNumber(cut);
        }
        json.writeEndArray();
    }

    private static void writeTransfer(JsonGenerator json, LayoutChange.Transfer transfer)
            throws IOException {
        json.writeNumberField("move", transfer.slice());
        JsonFields.writeOptionalText(json, "off", transfer.from());
        JsonFields.writeOptionalText(json, "onto", transfer.to());
        if (transfer.fromIsDead()) {
            json.writeBooleanField("dead", true);
        }
    }

    /**
     * Reads {@code {"split": 3, "at": [KEY]}}, {@code {"merge": [3, 4]}} or {@code {"move": 3,
     * "off": "n1", "onto": "n2"}}, the last one with {@code "dead": true} if n1 is dead.
     *
     * @throws IOException the object has none of these forms
     */
    static LayoutChange readChange(Map<?, ?> object) throws IOException {
        if (object.containsKey("split")) {
            List<Long> cuts = JsonFields.keys(object, "at");
            return new LayoutChange.Split(JsonFields.integer(object, "split"), cuts);
        }
        if (object.containsKey("merge")) {
            return new LayoutChange.Merge(JsonFields.integers(object, "merge"));
        }
        if (object.containsKey("move")) {
            return readTransfer(object);
        }
        throw new IOException("a change must have a member split, merge or move");
    }

    private static LayoutChange readTransfer(Map<?, ?> object) throws IOException {
        String from = JsonFields.optionalText(object, "off");
        String to = JsonFields.optionalText(object, "onto");
        if (from == null && to == null) {
            throw new IOException("a change with move must also have off, onto or both");
        }
        boolean fromIsDead = object.containsKey("dead") && JsonFields.flag(object, "dead");
        if (from == null && fromIsDead) {
            throw new IOException("a change with dead must also have off");
        }
        return new LayoutChange.Transfer(JsonFields.integer(object, "move"), from, to, fromIsDead);
    }

    // ---- targets

    static void write(JsonGenerator json, TargetLayout target) throws IOException {
        json.writeStartObject();
        json.writeArrayFieldStart("slices");
        for (TargetLayout.DesiredSlice slice : target.slices()) {
            json.writeStartObject();
            JsonFields.writeKeyRange(json, slice.keys());
            JsonFields.writeTexts(json, "nodes", slice.nodes());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    /**
     * Reads {@code {"slices": [{"from": KEY, "to": KEY, "nodes": ["n1", "n2"]}]}}.
     *
     * @throws IOException the object does not have this form, or has no slice
     */
    static TargetLayout readTarget(Map<?, ?> object) throws IOException {
        List<TargetLayout.DesiredSlice> slices = new ArrayList<>();
        for (Map<?, ?> slice : JsonFields.objects(object, "slices")) {
            slices.add(
                    new TargetLayout.DesiredSlice(
                            JsonFields.keyRange(slice), JsonFields.texts(slice, "nodes")));
        }
        if (slices.isEmpty()) {
            throw new IOException("slices must not be empty");
        }
        return new TargetLayout(slices);
    }
}
