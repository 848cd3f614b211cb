package postbeam.layouts;

import static java.util.Map.entry;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import postbeam.migration.Noted;
import postbeam.setup.Json;
import postbeam.slices.Logged;
import postbeam.slices.Move;
import postbeam.slices.MoveState;

/** The records of the log of moves in JSON, one object each, named by "kind". */
public final class RecordForm {
    static final WireNames<MoveState> STATES =
            WireNames.of(
                    MoveState.class,
                    "a move in an unknown state",
                    entry(MoveState.PLANNED, "PLANNED"),
                    entry(MoveState.COPYING, "COPYING"),
                    entry(MoveState.HOLDING_BOTH, "HOLDING_BOTH"),
                    entry(MoveState.FENCED, "FENCED"),
                    entry(MoveState.CUT_OVER, "CUT_OVER"),
                    entry(MoveState.FORGOTTEN, "FORGOTTEN"),
                    entry(MoveState.ABANDONING, "ABANDONING"),
                    entry(MoveState.ABANDONED, "ABANDONED"));

    private RecordForm() {}

    public static byte[] write(Logged record) {
        return write(record, 0);
    }

    /** With the term of who writes it; 0 where terms are not kept. */
    public static byte[] write(Logged record, long term) {
        return LayoutForm.bytes(json -> write(json, record, term));
    }

    /** The term that a record was written in; 0 where none was kept. */
    public static long term(Map<String, Object> object) {
        return object.get("term") instanceof Number term ? term.longValue() : 0;
    }

    private static void write(JsonGenerator json, Logged record, long term) throws IOException {
        json.writeStartObject();
        if (term > 0) {
            json.writeNumberField("term", term);
        }
        if (record instanceof Noted noted) {
            NotedForm.write(json, noted);
        } else if (record instanceof Logged.Office office) {
            json.writeStringField("kind", "office");
            json.writeNumberField("office", office.term());
        } else if (record instanceof Logged.Whole whole) {
            json.writeStringField("kind", "whole");
            json.writeFieldName("layout");
            LayoutForm.write(json, whole.layout());
            json.writeNumberField("lastVersion", whole.lastVersion());
            json.writeNumberField("lastMove", whole.lastMove());
            json.writeNumberField("lastSlice", whole.lastSlice());
            json.writeArrayFieldStart("moves");
            for (Logged.Standing move : whole.moves()) {
                write(json, move);
            }
            json.writeEndArray();
            json.writeArrayFieldStart("owed");
            for (Move.Loss loss : whole.owed()) {
                write(json, loss);
            }
            json.writeEndArray();
            if (whole.target() != null) {
                json.writeFieldName("target");
                LayoutForm.write(json, whole.target());
            }
        } else if (record instanceof Logged.Planned planned) {
            start(json, "planned", planned.id(), planned.at());
            json.writeFieldName("change");
            LayoutForm.write(json, planned.change());
            LayoutForm.writeInts(json, "births", planned.births());
            if (planned.source() != null) {
                json.writeStringField("source", planned.source());
            }
        } else if (record instanceof Logged.Advanced advanced) {
            start(json, "advanced", advanced.id(), advanced.at());
            json.writeStringField("state", STATES.of(advanced.state()));
        } else if (record instanceof Logged.CutOver cut) {
            start(json, "cutOver", cut.id(), cut.at());
            json.writeNumberField("version", cut.version());
        } else if (record instanceof Logged.Abandoning abandoning) {
            start(json, "abandoning", abandoning.id(), abandoning.at());
            json.writeStringField("why", abandoning.why());
        } else if (record instanceof Logged.Back back) {
            start(json, "back", back.id(), back.at());
            json.writeNumberField("version", back.version());
        } else if (record instanceof Logged.Owed owed) {
            json.writeStringField("kind", "owed");
            json.writeFieldName("loss");
            write(json, owed.loss());
            json.writeBooleanField("owed", owed.owed());
        } else if (record instanceof Logged.Aimed aimed) {
            json.writeStringField("kind", "aimed");
            if (aimed.target() != null) {
                json.writeFieldName("target");
                LayoutForm.write(json, aimed.target());
            }
        }
        json.writeEndObject();
    }

    private static void write(JsonGenerator json, Move.Loss loss) throws IOException {
        json.writeStartObject();
        json.writeStringField("node", loss.node());
        json.writeNumberField("slice", loss.slice());
        LayoutForm.write(json, loss.keys());
        json.writeEndObject();
    }

    private static List<Move.Loss> losses(Map<?, ?> object, String name) throws IOException {
        List<Move.Loss> losses = new ArrayList<>();
        for (Map<?, ?> loss : LayoutForm.objects(object, name)) {
            losses.add(loss(loss));
        }
        return losses;
    }

    private static Move.Loss loss(Map<?, ?> loss) throws IOException {
        return new Move.Loss(
                Json.member(loss, "node", String.class),
                (int) LayoutForm.number(loss, "slice"),
                LayoutForm.keys(loss));
    }

    private static void start(JsonGenerator json, String kind, long id, Duration at)
            throws IOException {
        json.writeStringField("kind", kind);
        json.writeNumberField("move", id);
        json.writeNumberField("at_ms", at.toMillis());
    }

    private static void write(JsonGenerator json, Logged.Standing move) throws IOException {
        json.writeStartObject();
        json.writeNumberField("move", move.id());
        json.writeFieldName("change");
        LayoutForm.write(json, move.change());
        LayoutForm.writeInts(json, "births", move.births());
        json.writeArrayFieldStart("gains");
        for (Move.Gain gain : move.gains()) {
            json.writeStartObject();
            json.writeStringField("node", gain.node());
            json.writeNumberField("slice", gain.slice());
            LayoutForm.write(json, gain.keys());
            json.writeStringField("source", gain.source());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeArrayFieldStart("losses");
        for (Move.Loss loss : move.losses()) {
            write(json, loss);
        }
        json.writeEndArray();
        json.writeNumberField("planned_ms", move.plannedAt().toMillis());
        json.writeStringField("state", STATES.of(move.state()));
        json.writeNumberField("since_ms", move.since().toMillis());
        if (move.why() != null) {
            json.writeStringField("why", move.why());
        }
        json.writeBooleanField("turnsBack", move.turnsBack());
        json.writeBooleanField("fenced", move.fenced());
        json.writeEndObject();
    }

    /** An IOException says what can't be used of it. */
    public static Logged read(byte[] bytes) throws IOException {
        return read(Json.object(bytes));
    }

    static Logged read(Map<String, Object> object) throws IOException {
        String kind = Json.member(object, "kind", String.class);
        return switch (kind) {
            case "whole" -> whole(object);
            case "planned" ->
                    new Logged.Planned(
                            LayoutForm.number(object, "move"),
                            LayoutForm.change(Json.member(object, "change", Map.class)),
                            LayoutForm.ints(object, "births"),
                            object.containsKey("source")
                                    ? Json.member(object, "source", String.class)
                                    : null,
                            at(object));
            case "advanced" ->
                    new Logged.Advanced(
                            LayoutForm.number(object, "move"), state(object), at(object));
            case "cutOver" ->
                    new Logged.CutOver(
                            LayoutForm.number(object, "move"),
                            LayoutForm.number(object, "version"),
                            at(object));
            case "abandoning" ->
                    new Logged.Abandoning(
                            LayoutForm.number(object, "move"),
                            Json.member(object, "why", String.class),
                            at(object));
            case "back" ->
                    new Logged.Back(
                            LayoutForm.number(object, "move"),
                            LayoutForm.number(object, "version"),
                            at(object));
            case "owed" ->
                    new Logged.Owed(
                            loss(Json.member(object, "loss", Map.class)),
                            Json.member(object, "owed", Boolean.class));
            case "aimed" ->
                    new Logged.Aimed(
                            object.containsKey("target")
                                    ? LayoutForm.target(Json.member(object, "target", Map.class))
                                    : null);
            case "office" -> new Logged.Office(LayoutForm.number(object, "office"));
            case "migration" -> NotedForm.read(object);
            default -> throw new IOException("a record of an unknown kind: " + kind);
        };
    }

    private static Duration at(Map<?, ?> object) throws IOException {
        return Duration.ofMillis(LayoutForm.number(object, "at_ms"));
    }

    private static MoveState state(Map<?, ?> object) throws IOException {
        return STATES.constant(Json.member(object, "state", String.class));
    }

    @SuppressWarnings("unchecked")
    private static Logged whole(Map<String, Object> object) throws IOException {
        List<Logged.Standing> moves = new ArrayList<>();
        for (Map<?, ?> move : LayoutForm.objects(object, "moves")) {
            List<Move.Gain> gains = new ArrayList<>();
            for (Map<?, ?> gain : LayoutForm.objects(move, "gains")) {
                gains.add(
                        new Move.Gain(
                                Json.member(gain, "node", String.class),
                                (int) LayoutForm.number(gain, "slice"),
                                LayoutForm.keys(gain),
                                Json.member(gain, "source", String.class)));
            }
            moves.add(
                    new Logged.Standing(
                            LayoutForm.number(move, "move"),
                            LayoutForm.change(Json.member(move, "change", Map.class)),
                            LayoutForm.ints(move, "births"),
                            gains,
                            losses(move, "losses"),
                            Duration.ofMillis(LayoutForm.number(move, "planned_ms")),
                            state(move),
                            Duration.ofMillis(LayoutForm.number(move, "since_ms")),
                            move.get("why") instanceof String why ? why : null,
                            Json.member(move, "turnsBack", Boolean.class),
                            Json.member(move, "fenced", Boolean.class)));
        }
        return new Logged.Whole(
                LayoutForm.read(Json.member(object, "layout", Map.class)),
                LayoutForm.number(object, "lastVersion"),
                LayoutForm.number(object, "lastMove"),
                (int) LayoutForm.number(object, "lastSlice"),
                moves,
                object.containsKey("target")
                        ? LayoutForm.target(Json.member(object, "target", Map.class))
                        : null,
                losses(object, "owed"));
    }
}
