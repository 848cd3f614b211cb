package postbeam.layouts;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import postbeam.setup.Json;
import postbeam.slices.Change;
import postbeam.slices.Holder;
import postbeam.slices.KeyRange;
import postbeam.slices.Layout;
import postbeam.slices.Retired;
import postbeam.slices.Slice;
import postbeam.slices.Target;

/**
 * Layouts, changes and targets in JSON; an IOException says what can't be used. Times are
 * milliseconds since 1970.
 */
public final class LayoutForm {
    private LayoutForm() {}

    /** Writes something to a generator. */
    interface Writing {
        void to(JsonGenerator json) throws IOException;
    }

    static byte[] bytes(Writing writing) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = Json.FACTORY.createGenerator(bytes)) {
            writing.to(json);
        } catch (IOException e) {
            throw new IllegalStateException("memory can't be written to", e);
        }
        return bytes.toByteArray();
    }

    // ---- layouts

    public static byte[] write(Layout layout) {
        return bytes(json -> write(json, layout));
    }

    static void write(JsonGenerator json, Layout layout) throws IOException {
        json.writeStartObject();
        json.writeNumberField("version", layout.version);
        json.writeNumberField("oldest", layout.oldest);
        json.writeArrayFieldStart("slices");
        for (Slice slice : layout.slices()) {
            json.writeStartObject();
            json.writeNumberField("slice", slice.number());
            write(json, slice.keys());
            json.writeNumberField("born", slice.bornIn());
            json.writeArrayFieldStart("holders");
            for (Holder holder : slice.holders()) {
                json.writeStartObject();
                json.writeStringField("node", holder.node());
                json.writeNumberField("took_ms", holder.tookAt().toMillis());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeArrayFieldStart("retired");
        for (Retired old : layout.retired()) {
            json.writeStartObject();
            json.writeNumberField("slice", old.number());
            write(json, old.keys());
            json.writeNumberField("born", old.bornIn());
            json.writeNumberField("died", old.diedIn());
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
        for (Map<?, ?> slice : objects(object, "slices")) {
            List<Holder> holders = new ArrayList<>();
            for (Map<?, ?> holder : objects(slice, "holders")) {
                holders.add(
                        new Holder(
                                Json.member(holder, "node", String.class),
                                Duration.ofMillis(number(holder, "took_ms"))));
            }
            slices.add(
                    new Slice(
                            (int) number(slice, "slice"),
                            keys(slice),
                            number(slice, "born"),
                            holders));
        }
        List<Retired> retired = new ArrayList<>();
        for (Map<?, ?> old : objects(object, "retired")) {
            retired.add(
                    new Retired(
                            (int) number(old, "slice"),
                            keys(old),
                            number(old, "born"),
                            number(old, "died"),
                            ints(old, "children")));
        }
        try {
            return Layout.checked(
                    number(object, "version"), number(object, "oldest"), slices, retired);
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    static long number(Map<?, ?> object, String name) throws IOException {
        return Json.member(object, name, Number.class).longValue();
    }

    static KeyRange keys(Map<?, ?> object) throws IOException {
        try {
            return new KeyRange(number(object, "from"), number(object, "to"));
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    static List<Integer> ints(Map<?, ?> object, String name) throws IOException {
        List<Integer> ints = new ArrayList<>();
        for (Object one : Json.member(object, name, List.class)) {
            if (!(one instanceof Integer number)) {
                throw new IOException(name + " holds something else than whole numbers");
            }
            ints.add(number);
        }
        return ints;
    }

    static List<Map<?, ?>> objects(Map<?, ?> object, String name) throws IOException {
        List<Map<?, ?>> objects = new ArrayList<>();
        for (Object one : Json.member(object, name, List.class)) {
            if (!(one instanceof Map<?, ?> map)) {
                throw new IOException(name + " holds something else than objects");
            }
            objects.add(map);
        }
        return objects;
    }

    static List<String> texts(Map<?, ?> object, String name) throws IOException {
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

    static void write(JsonGenerator json, Change change) throws IOException {
        json.writeStartObject();
        if (change instanceof Change.Split split) {
            json.writeNumberField("split", split.slice());
            json.writeArrayFieldStart("at");
            for (long cut : split.cuts()) {
                json.writeNumber(cut);
            }
            json.writeEndArray();
        } else if (change instanceof Change.Merge merge) {
            writeInts(json, "merge", merge.slices());
        } else if (change instanceof Change.Move move) {
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
    static Change change(Map<?, ?> object) throws IOException {
        if (object.containsKey("split")) {
            List<Long> cuts = new ArrayList<>();
            for (Object cut : Json.member(object, "at", List.class)) {
                if (!(cut instanceof Number key)) {
                    throw new IOException("at holds something else than keys");
                }
                cuts.add(key.longValue());
            }
            return new Change.Split((int) number(object, "split"), cuts);
        }
        if (object.containsKey("merge")) {
            return new Change.Merge(ints(object, "merge"));
        }
        if (object.containsKey("move")) {
            String from =
                    object.containsKey("off") ? Json.member(object, "off", String.class) : null;
            String to =
                    object.containsKey("onto") ? Json.member(object, "onto", String.class) : null;
            if (from == null && to == null) {
                throw new IOException("a move needs off, onto or both");
            }
            return new Change.Move((int) number(object, "move"), from, to);
        }
        throw new IOException("a change needs split, merge or move");
    }

    // ---- targets

    static void write(JsonGenerator json, Target target) throws IOException {
        json.writeStartObject();
        json.writeArrayFieldStart("slices");
        for (Target.Wanted wanted : target.slices()) {
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
    static Target target(Map<?, ?> object) throws IOException {
        List<Target.Wanted> wanted = new ArrayList<>();
        for (Map<?, ?> slice : objects(object, "slices")) {
            wanted.add(new Target.Wanted(keys(slice), texts(slice, "nodes")));
        }
        if (wanted.isEmpty()) {
            throw new IOException("slices is empty");
        }
        return new Target(wanted);
    }
}
