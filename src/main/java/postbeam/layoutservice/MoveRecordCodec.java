package postbeam.layoutservice;

import static java.util.Map.entry;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import postbeam.json.Json;
import postbeam.migration.MigrationRecord;
import postbeam.slices.JournalRecord;
import postbeam.slices.Move;
import postbeam.slices.MoveState;

/** The records of the log of moves in JSON, one object each, named by "kind". */
public final class MoveRecordCodec {
    static final WireNames<MoveState> STATE_NAMES =
            WireNames.of(
                    MoveState.class,
                    "a move in an unknown state",
                    entry(MoveState.PLANNED, "PLANNED"),
                    entry(MoveState.COPYING, "COPYING"),
                    entry(MoveState.REPLICATING, "HOLDING_BOTH"),
                    entry(MoveState.FENCED, "FENCED"),
                    entry(MoveState.CUT_OVER, "CUT_OVER"),
                    entry(MoveState.COMPLETED, "FORGOTTEN"),
                    entry(MoveState.ABANDONING, "ABANDONING"),
                    entry(MoveState.ABANDONED, "ABANDONED"));

    private MoveRecordCodec() {}

    public static byte[] write(JournalRecord record) {
        return write(record, 0);
    }

    /** With the term of who writes it; 0 where terms are not kept. */
    public static byte[] write(JournalRecord record, long term) {
        return LayoutCodec.toBytes(json -> write(json, record, term));
    }

    /** The term that a record was written in; 0 where none was kept. */
    public static long term(Map<String, Object> object) {
        return object.get("term") instanceof Number term ? term.longValue() : 0;
    }

    private static void write(JsonGenerator json, JournalRecord record, long term)
            throws IOException {
        json.writeStartObject();
        if (term > 0) {
            json.writeNumberField("term", term);
        }
        if (record instanceof MigrationRecord noted) {
            MigrationRecordCodec.write(json, noted);
        } else if (record instanceof JournalRecord.TermStarted office) {
            json.writeStringField("kind", "office");
            json.writeNumberField("office", office.term());
        } else if (record instanceof JournalRecord.Snapshot whole) {
            json.writeStringField("kind", "whole");
            json.writeFieldName("layout");
            LayoutCodec.write(json, whole.layout());
            json.writeNumberField("lastVersion", whole.lastVersion());
            json.writeNumberField("lastMove", whole.lastMove());
            json.writeNumberField("lastSlice", whole.lastSlice());
            json.writeArrayFieldStart("moves");
            for (JournalRecord.MoveSnapshot move : whole.moves()) {
                write(json, move);
            }
            json.writeEndArray();
            json.writeArrayFieldStart("owed");
            for (Move.OldHolder loss : whole.pendingDrops()) {
                write(json, loss);
            }
            json.writeEndArray();
            if (whole.target() != null) {
                json.writeFieldName("target");
                LayoutCodec.write(json, whole.target());
            }
        } else if (record instanceof JournalRecord.Planned planned) {
            start(json, "planned", planned.id(), planned.at());
            json.writeFieldName("change");
            LayoutCodec.write(json, planned.change());
            LayoutCodec.writeInts(json, "births", planned.newSlices());
            if (planned.source() != null) {
                json.writeStringField("source", planned.source());
            }
        } else if (record instanceof JournalRecord.Advanced advanced) {
            start(json, "advanced", advanced.id(), advanced.at());
            json.writeStringField("state", STATE_NAMES.of(advanced.state()));
        } else if (record instanceof JournalRecord.CutOver cut) {
            start(json, "cutOver", cut.id(), cut.at());
            json.writeNumberField("version", cut.version());
        } else if (record instanceof JournalRecord.AbandonRequested abandoning) {
            start(json, "abandoning", abandoning.id(), abandoning.at());
            json.writeStringField("why", abandoning.reason());
        } else if (record instanceof JournalRecord.RolledBack back) {
            start(json, "back", back.id(), back.at());
            json.writeNumberField("version", back.version());
        } else if (record instanceof JournalRecord.PendingDrop owed) {
            json.writeStringField("kind", "owed");
            json.writeFieldName("loss");
            write(json, owed.oldHolder());
            json.writeBooleanField("owed", owed.pending());
        } else if (record instanceof JournalRecord.TargetSet aimed) {
            json.writeStringField("kind", "aimed");
            if (aimed.target() != null) {
                json.writeFieldName("target");
                LayoutCodec.write(json, aimed.target());
            }
        }
        json.writeEndObject();
    }

    private static void write(JsonGenerator json, Move.OldHolder loss) throws IOException {
        json.writeStartObject();
        json.writeStringField("node", loss.node());
        json.writeNumberField("slice", loss.slice());
        LayoutCodec.write(json, loss.keys());
        json.writeEndObject();
    }

    private static List<Move.OldHolder> losses(Map<?, ?> object, String name) throws IOException {
        List<Move.OldHolder> losses = new ArrayList<>();
        for (Map<?, ?> loss : LayoutCodec.readObjects(object, name)) {
            losses.add(loss(loss));
        }
        return losses;
    }

    private static Move.OldHolder loss(Map<?, ?> loss) throws IOException {
        return new Move.OldHolder(
                Json.member(loss, "node", String.class),
                (int) LayoutCodec.readLong(loss, "slice"),
                LayoutCodec.readKeys(loss));
    }

    private static void start(JsonGenerator json, String kind, long id, Duration at)
            throws IOException {
        json.writeStringField("kind", kind);
        json.writeNumberField("move", id);
        json.writeNumberField("at_ms", at.toMillis());
    }

    private static void write(JsonGenerator json, JournalRecord.MoveSnapshot move)
            throws IOException {
        json.writeStartObject();
        json.writeNumberField("move", move.id());
        json.writeFieldName("change");
        LayoutCodec.write(json, move.change());
        LayoutCodec.writeInts(json, "births", move.newSlices());
        json.writeArrayFieldStart("gains");
        for (Move.Destination gain : move.destinations()) {
            json.writeStartObject();
            json.writeStringField("node", gain.node());
            json.writeNumberField("slice", gain.slice());
            LayoutCodec.write(json, gain.keys());
            json.writeStringField("source", gain.source());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeArrayFieldStart("losses");
        for (Move.OldHolder loss : move.oldHolders()) {
            write(json, loss);
        }
        json.writeEndArray();
        json.writeNumberField("planned_ms", move.plannedAt().toMillis());
        json.writeStringField("state", STATE_NAMES.of(move.state()));
        json.writeNumberField("since_ms", move.stateSince().toMillis());
        if (move.abandonReason() != null) {
            json.writeStringField("why", move.abandonReason());
        }
        json.writeBooleanField("turnsBack", move.reverseWhenDone());
        json.writeBooleanField("fenced", move.mayBeFenced());
        json.writeEndObject();
    }

    /** An IOException says what can't be used of it. */
    public static JournalRecord read(byte[] bytes) throws IOException {
        return read(Json.parseObject(bytes));
    }

    static JournalRecord read(Map<String, Object> object) throws IOException {
        String kind = Json.member(object, "kind", String.class);
        return switch (kind) {
            case "whole" -> whole(object);
            case "planned" ->
                    new JournalRecord.Planned(
                            LayoutCodec.readLong(object, "move"),
                            LayoutCodec.readChange(Json.member(object, "change", Map.class)),
                            LayoutCodec.readInts(object, "births"),
                            object.containsKey("source")
                                    ? Json.member(object, "source", String.class)
                                    : null,
                            at(object));
            case "advanced" ->
                    new JournalRecord.Advanced(
                            LayoutCodec.readLong(object, "move"), state(object), at(object));
            case "cutOver" ->
                    new JournalRecord.CutOver(
                            LayoutCodec.readLong(object, "move"),
                            LayoutCodec.readLong(object, "version"),
                            at(object));
            case "abandoning" ->
                    new JournalRecord.AbandonRequested(
                            LayoutCodec.readLong(object, "move"),
                            Json.member(object, "why", String.class),
                            at(object));
            case "back" ->
                    new JournalRecord.RolledBack(
                            LayoutCodec.readLong(object, "move"),
                            LayoutCodec.readLong(object, "version"),
                            at(object));
            case "owed" ->
                    new JournalRecord.PendingDrop(
                            loss(Json.member(object, "loss", Map.class)),
                            Json.member(object, "owed", Boolean.class));
            case "aimed" ->
                    new JournalRecord.TargetSet(
                            object.containsKey("target")
                                    ? LayoutCodec.readTarget(
                                            Json.member(object, "target", Map.class))
                                    : null);
            case "office" -> new JournalRecord.TermStarted(LayoutCodec.readLong(object, "office"));
            case "migration" -> MigrationRecordCodec.read(object);
            default -> throw new IOException("a record of an unknown kind: " + kind);
        };
    }

    private static Duration at(Map<?, ?> object) throws IOException {
        return Duration.ofMillis(LayoutCodec.readLong(object, "at_ms"));
    }

    private static MoveState state(Map<?, ?> object) throws IOException {
        return STATE_NAMES.constant(Json.member(object, "state", String.class));
    }

    @SuppressWarnings("unchecked")
    private static JournalRecord whole(Map<String, Object> object) throws IOException {
        List<JournalRecord.MoveSnapshot> moves = new ArrayList<>();
        for (Map<?, ?> move : LayoutCodec.readObjects(object, "moves")) {
            List<Move.Destination> gains = new ArrayList<>();
            for (Map<?, ?> gain : LayoutCodec.readObjects(move, "gains")) {
                gains.add(
                        new Move.Destination(
                                Json.member(gain, "node", String.class),
                                (int) LayoutCodec.readLong(gain, "slice"),
                                LayoutCodec.readKeys(gain),
                                Json.member(gain, "source", String.class)));
            }
            moves.add(
                    new JournalRecord.MoveSnapshot(
                            LayoutCodec.readLong(move, "move"),
                            LayoutCodec.readChange(Json.member(move, "change", Map.class)),
                            LayoutCodec.readInts(move, "births"),
                            gains,
                            losses(move, "losses"),
                            Duration.ofMillis(LayoutCodec.readLong(move, "planned_ms")),
                            state(move),
                            Duration.ofMillis(LayoutCodec.readLong(move, "since_ms")),
                            move.get("why") instanceof String why ? why : null,
                            Json.member(move, "turnsBack", Boolean.class),
                            Json.member(move, "fenced", Boolean.class)));
        }
        return new JournalRecord.Snapshot(
                LayoutCodec.read(Json.member(object, "layout", Map.class)),
                LayoutCodec.readLong(object, "lastVersion"),
                LayoutCodec.readLong(object, "lastMove"),
                (int) LayoutCodec.readLong(object, "lastSlice"),
                moves,
                object.containsKey("target")
                        ? LayoutCodec.readTarget(Json.member(object, "target", Map.class))
                        : null,
                losses(object, "owed"));
    }
}
