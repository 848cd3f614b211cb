package postbeam.layoutservice;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import postbeam.json.Json;
import postbeam.slices.Holder;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.LayoutChange;
import postbeam.slices.RetiredSlice;
import postbeam.slices.Slice;
import postbeam.slices.TargetLayout;

/**
 * Layouts, changes and targets in JSON; an IOException says what can't be used. Times are
 * milliseconds since 1970.
 */
public final class LayoutCodec {
    private LayoutCodec() {}

    /** Writes something to a generator. */
    interface JsonWriter {
        void writeTo(JsonGenerator json) throws IOException;
    }

    static byte[] toBytes(JsonWriter writing) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = Json.FACTORY.createGenerator(bytes)) {
            writing.writeTo(json);
        } catch (IOException e) {
            throw new IllegalStateException("memory can't be written to", e);
        }
        return bytes.toByteArray();
    }

    // ---- layouts

    public static byte[] write(Layout layout) {
        return toBytes(json -> write(json, layout));
    }

    static void write(JsonGenerator json, Layout layout) throws IOException {
        json.writeStartObject();
        json.writeNumberField("version", layout.version);
        json.writeNumberField("oldest", layout.oldestVersion);
        json.writeArrayFieldStart("slices");
        for (Slice slice : layout.slices()) {
            json.writeStartObject();
            json.writeNumberField("slice", slice.number());
            write(json, slice.keys());
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
        json.writeEndArray();
        json.writeArrayFieldStart("retired");
        for (RetiredSlice old : layout.retiredSlices()) {
            json.writeStartObject();
            json.writeNumberField("slice", old.number());
            write(json, old.keys());
            json.writeNumberField("born", old.createdVersion());
            json.writeNumberField("died", old.retiredVersion());
            writeInts(json, "children", old.children());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    static void write(JsonGenerator json, KeyRange keys) throws IOException {
        json.writeNumberField("from", keys.from());
        json.writeNumberField("to", keys.to());
    }

    static void writeInts(JsonGenerator json, String name, List<Integer> numbers)
            throws IOException {
        json.writeArrayFieldStart(name);
        for (int number : numbers) {
            json.writeNumber(number);
        }
        json.writeEndArray();
    }

    public static Layout read(Map<String, Object> object) throws IOException {
        List<Slice> slices = new ArrayList<>();
        for (Map<?, ?> slice : readObjects(object, "slices")) {
            List<Holder> holders = new ArrayList<>();
            for (Map<?, ?> holder : readObjects(slice, "holders")) {
                holders.add(
                        new Holder(
                                Json.member(holder, "node", String.class),
                                Duration.ofMillis(readLong(holder, "took_ms"))));
            }
            slices.add(
                    new Slice(
                            (int) readLong(slice, "slice"),
                            readKeys(slice),
                            readLong(slice, "born"),
                            holders));
        }
        List<RetiredSlice> retired = new ArrayList<>();
        for (Map<?, ?> old : readObjects(object, "retired")) {
            retired.add(
                    new RetiredSlice(
                            (int) readLong(old, "slice"),
                            readKeys(old),
                            readLong(old, "born"),
                            readLong(old, "died"),
                            readInts(old, "children")));
        }
        try {
            return Layout.validated(
                    readLong(object, "version"), readLong(object, "oldest"), slices, retired);
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    static long readLong(Map<?, ?> object, String name) throws IOException {
        return Json.member(object, name, Number.class).longValue();
    }

    static KeyRange readKeys(Map<?, ?> object) throws IOException {
        try {
            return new KeyRange(readLong(object, "from"), readLong(object, "to"));
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    static List<Integer> readInts(Map<?, ?> object, String name) throws IOException {
        List<Integer> ints = new ArrayList<>();
        for (Object one : Json.member(object, name, List.class)) {
            if (!(one instanceof Integer number)) {
                throw new IOException(name + " holds something else than whole numbers");
            }
            ints.add(number);
        }
        return ints;
    }

    static List<Map<?, ?>> readObjects(Map<?, ?> object, String name) throws IOException {
        List<Map<?, ?>> objects = new ArrayList<>();
        for (Object one : Json.member(object, name, List.class)) {
            if (!(one instanceof Map<?, ?> map)) {
                throw new IOException(name + " holds something else than objects");
            }
            objects.add(map);
        }
        return objects;
    }

    static List<String> readStrings(Map<?, ?> object, String name) throws IOException {
        List<String> texts = new ArrayList<>();
        for (Object one : Json.member(object, name, List.class)) {
            if (!(one instanceof String text)) {
                throw new IOException(name + " holds something else than strings");
            }
            texts.add(text);
        }
        return texts;
    }

    // ---- changes

    static void write(JsonGenerator json, LayoutChange change) throws IOException {
        json.writeStartObject();
        if (change instanceof LayoutChange.Split split) {
            json.writeNumberField("split", split.slice());
            json.writeArrayFieldStart("at");
            for (long cut : split.cuts()) {
                json.writeNumber(cut);
            }
            json.writeEndArray();
        } else if (change instanceof LayoutChange.Merge merge) {
            writeInts(json, "merge", merge.slices());
        } else if (change instanceof LayoutChange.Transfer move) {
            json.writeNumberField("move", move.slice());
            if (move.from() != null) {
                json.writeStringField("off", move.from());
            }
            if (move.to() != null) {
                json.writeStringField("onto", move.to());
            }
        }
        json.writeEndObject();
    }

    /** {"split": 3, "at": [KEY]}, {"merge": [3, 4]} or {"move": 3, "off": "n1", "onto": "n2"}. */
    static LayoutChange readChange(Map<?, ?> object) throws IOException {
        if (object.containsKey("split")) {
            List<Long> cuts = new ArrayList<>();
            for (Object cut : Json.member(object, "at", List.class)) {
                if (!(cut instanceof Number key)) {
                    throw new IOException("at holds something else than keys");
                }
                cuts.add(key.longValue());
            }
            return new LayoutChange.Split((int) readLong(object, "split"), cuts);
        }
        if (object.containsKey("merge")) {
            return new LayoutChange.Merge(readInts(object, "merge"));
        }
        if (object.containsKey("move")) {
            String from =
                    object.containsKey("off") ? Json.member(object, "off", String.class) : null;
            String to =
                    object.containsKey("onto") ? Json.member(object, "onto", String.class) : null;
            if (from == null && to == null) {
                throw new IOException("a move needs off, onto or both");
            }
            return new LayoutChange.Transfer((int) readLong(object, "move"), from, to);
        }
        throw new IOException("a change needs split, merge or move");
    }

    // ---- targets

    static void write(JsonGenerator json, TargetLayout targetLayout) throws IOException {
        json.writeStartObject();
        json.writeArrayFieldStart("slices");
        for (TargetLayout.DesiredSlice wanted : targetLayout.slices()) {
            json.writeStartObject();
            write(json, wanted.keys());
            json.writeArrayFieldStart("nodes");
            for (String node : wanted.nodes()) {
                json.writeString(node);
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    /** {"slices": [{"from": KEY, "to": KEY, "nodes": ["n1", "n2"]}]}. */
    static TargetLayout readTarget(Map<?, ?> object) throws IOException {
        List<TargetLayout.DesiredSlice> wanted = new ArrayList<>();
        for (Map<?, ?> slice : readObjects(object, "slices")) {
            wanted.add(new TargetLayout.DesiredSlice(readKeys(slice), readStrings(slice, "nodes")));
        }
        if (wanted.isEmpty()) {
            throw new IOException("slices is empty");
        }
        return new TargetLayout(wanted);
    }
}
