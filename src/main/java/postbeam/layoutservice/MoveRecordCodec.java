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
import postbeam.slices.TargetLayout;

/**
 * Maps records of the move journal to JSON, one object per record; the member "kind" is the kind of
 * record.
 */
public final class MoveRecordCodec {
    /** The states of a move as they are stored and shown to operators. */
    static final WireNames<MoveState> STATE_NAMES =
            WireNames.of(
                    MoveState.class,
                    "unknown move state",
                    entry(MoveState.PLANNED, "PLANNED"),
                    entry(MoveState.COPYING, "COPYING"),
                    entry(MoveState.REPLICATING, "HOLDING_BOTH"),
                    entry(MoveState.FENCED, "FENCED"),
                    entry(MoveState.CUT_OVER, "CUT_OVER"),
                    entry(MoveState.COMPLETED, "FORGOTTEN"),
                    entry(MoveState.ABANDONING, "ABANDONING"),
                    entry(MoveState.ABANDONED, "ABANDONED"));

    /** The term of records that are written without one. */
    private static final long NO_TERM = 0;

    private MoveRecordCodec() {}

    // ---- writing

    /** Encodes a record without a term. */
    public static byte[] write(JournalRecord record) {
        return write(record, NO_TERM);
    }

    /**
     * Encodes a record with the term of the process that writes it; 0 where terms are not in use.
     */
    public static byte[] write(JournalRecord record, long term) {
        return Json.encode(
                json -> {
                    json.writeStartObject();
                    if (term > NO_TERM) {
                        json.writeNumberField("term", term);
                    }
                    writeMembers(json, record);
                    json.writeEndObject();
                });
    }

    private static void writeMembers(JsonGenerator json, JournalRecord record) throws IOException {
        if (record instanceof MigrationRecord migration) {
            MigrationRecordCodec.writeMembers(json, migration);
        } else if (record instanceof JournalRecord.TermStarted started) {
            json.writeStringField("kind", "office");
            json.writeNumberField("office", started.term());
        } else if (record instanceof JournalRecord.Snapshot snapshot) {
            writeSnapshot(json, snapshot);
        } else if (record instanceof JournalRecord.Planned planned) {
            writePlanned(json, planned);
        } else if (record instanceof JournalRecord.Advanced advanced) {
            writeStart(json, "advanced", advanced.id(), advanced.at());
            json.writeStringField("state", STATE_NAMES.of(advanced.state()));
        } else if (record instanceof JournalRecord.CutOver cutOver) {
            writeStart(json, "cutOver", cutOver.id(), cutOver.at());
            json.writeNumberField("version", cutOver.version());
        } else if (record instanceof JournalRecord.AbandonRequested abandon) {
            writeStart(json, "abandoning", abandon.id(), abandon.at());
            json.writeStringField("why", abandon.reason());
        } else if (record instanceof JournalRecord.RolledBack rolledBack) {
            writeStart(json, "back", rolledBack.id(), rolledBack.at());
            json.writeNumberField("version", rolledBack.version());
        } else if (record instanceof JournalRecord.PendingDrop drop) {
            json.writeStringField("kind", "owed");
            json.writeFieldName("loss");
            writeOldHolder(json, drop.oldHolder());
            json.writeBooleanField("owed", drop.pending());
        } else if (record instanceof JournalRecord.TargetSet target) {
            json.writeStringField("kind", "aimed");
            if (target.target() != null) {
                json.writeFieldName("target");
                LayoutChangeCodec.write(json, target.target());
            }
        }
    }

    private static void writeStart(JsonGenerator json, String kind, long id, Duration at)
            throws IOException {
        json.writeStringField("kind", kind);
        json.writeNumberField("move", id);
        json.writeNumberField("at_ms", at.toMillis());
    }

    private static void writePlanned(JsonGenerator json, JournalRecord.Planned planned)
            throws IOException {
        writeStart(json, "planned", planned.id(), planned.at());
        json.writeFieldName("change");
        LayoutChangeCodec.write(json, planned.change());
        JsonFields.writeIntegers(json, "births", planned.newSlices());
        JsonFields.writeOptionalText(json, "source", planned.source());
    }

    private static void writeSnapshot(JsonGenerator json, JournalRecord.Snapshot snapshot)
            throws IOException {
        json.writeStringField("kind", "whole");
        json.writeFieldName("layout");
        LayoutCodec.write(json, snapshot.layout());
        json.writeNumberField("lastVersion", snapshot.lastVersion());
        json.writeNumberField("lastMove", snapshot.lastMove());
        json.writeNumberField("lastSlice", snapshot.lastSlice());
        json.writeArrayFieldStart("moves");
        for (JournalRecord.MoveSnapshot move : snapshot.moves()) {
            writeMove(json, move);
        }
        json.writeEndArray();
        writeOldHolders(json, "owed", snapshot.pendingDrops());
        if (snapshot.target() != null) {
            json.writeFieldName("target");
            LayoutChangeCodec.write(json, snapshot.target());
        }
    }

    private static void writeMove(JsonGenerator json, JournalRecord.MoveSnapshot move)
            throws IOException {
        json.writeStartObject();
        json.writeNumberField("move", move.id());
        json.writeFieldName("change");
        LayoutChangeCodec.write(json, move.change());
        JsonFields.writeIntegers(json, "births", move.newSlices());
        json.writeArrayFieldStart("gains");
        for (Move.Destination destination : move.destinations()) {
            writeDestination(json, destination);
        }
        json.writeEndArray();
        writeOldHolders(json, "losses", move.oldHolders());
        json.writeNumberField("planned_ms", move.plannedAt().toMillis());
        json.writeStringField("state", STATE_NAMES.of(move.state()));
        json.writeNumberField("since_ms", move.stateSince().toMillis());
        JsonFields.writeOptionalText(json, "why", move.abandonReason());
        json.writeBooleanField("turnsBack", move.reverseWhenDone());
        json.writeBooleanField("fenced", move.mayBeFenced());
        json.writeEndObject();
    }

    private static void writeDestination(JsonGenerator json, Move.Destination destination)
            throws IOException {
        json.writeStartObject();
        json.writeStringField("node", destination.node());
        json.writeNumberField("slice", destination.slice());
        JsonFields.writeKeyRange(json, destination.keys());
        json.writeStringField("source", destination.source());
        json.writeEndObject();
    }

    private static void writeOldHolders(
            JsonGenerator json, String name, List<Move.OldHolder> holders) throws IOException {
        json.writeArrayFieldStart(name);
        for (Move.OldHolder holder : holders) {
            writeOldHolder(json, holder);
        }
        json.writeEndArray();
    }

    private static void writeOldHolder(JsonGenerator json, Move.OldHolder holder)
            throws IOException {
        json.writeStartObject();
        json.writeStringField("node", holder.node());
        json.writeNumberField("slice", holder.slice());
        JsonFields.writeKeyRange(json, holder.keys());
        json.writeEndObject();
    }

    // ---- reading

    /** Returns the term that a record was written in; 0 if the record has none. */
    public static long term(Map<String, Object> object) {
        return object.get("term") instanceof Number term ? term.longValue() : NO_TERM;
    }

    /**
     * Reads a record that {@link #write(JournalRecord)} has written; ignores its term.
     *
     * @throws IOException the bytes are not a record of a known kind
     */
    public static JournalRecord read(byte[] bytes) throws IOException {
        return read(Json.parseObject(bytes));
    }

    static JournalRecord read(Map<String, Object> object) throws IOException {
        String kind = JsonFields.text(object, "kind");
        return switch (kind) {
            case "whole" -> readSnapshot(object);
            case "planned" -> readPlanned(object);
            case "advanced" ->
                    new JournalRecord.Advanced(moveId(object), state(object), at(object));
            case "cutOver" ->
                    new JournalRecord.CutOver(moveId(object), version(object), at(object));
            case "abandoning" ->
                    new JournalRecord.AbandonRequested(
                            moveId(object), JsonFields.text(object, "why"), at(object));
            case "back" ->
                    new JournalRecord.RolledBack(moveId(object), version(object), at(object));
            case "owed" ->
                    new JournalRecord.PendingDrop(
                            readOldHolder(JsonFields.object(object, "loss")),
                            JsonFields.flag(object, "owed"));
            case "aimed" -> new JournalRecord.TargetSet(readOptionalTarget(object));
            case "office" -> new JournalRecord.TermStarted(JsonFields.number(object, "office"));
            case "migration" -> MigrationRecordCodec.read(object);
            default -> throw new IOException("unknown kind of journal record: " + kind);
        };
    }

    private static long moveId(Map<?, ?> object) throws IOException {
        return JsonFields.number(object, "move");
    }

    private static long version(Map<?, ?> object) throws IOException {
        return JsonFields.number(object, "version");
    }

    private static Duration at(Map<?, ?> object) throws IOException {
        return JsonFields.millis(object, "at_ms");
    }

    private static MoveState state(Map<?, ?> object) throws IOException {
        return STATE_NAMES.constant(JsonFields.text(object, "state"));
    }

    private static JournalRecord readPlanned(Map<?, ?> object) throws IOException {
        return new JournalRecord.Planned(
                moveId(object),
                LayoutChangeCodec.readChange(JsonFields.object(object, "change")),
                JsonFields.integers(object, "births"),
                JsonFields.optionalText(object, "source"),
                at(object));
    }

    private static JournalRecord readSnapshot(Map<?, ?> object) throws IOException {
        List<JournalRecord.MoveSnapshot> moves = new ArrayList<>();
        for (Map<?, ?> move : JsonFields.objects(object, "moves")) {
            moves.add(readMove(move));
        }
        return new JournalRecord.Snapshot(
                LayoutCodec.read(JsonFields.object(object, "layout")),
                JsonFields.number(object, "lastVersion"),
                JsonFields.number(object, "lastMove"),
                JsonFields.integer(object, "lastSlice"),
                moves,
                readOptionalTarget(object),
                readOldHolders(object, "owed"));
    }

    /** Reads the target layout; null if the record has none. */
    private static TargetLayout readOptionalTarget(Map<?, ?> object) throws IOException {
        return object.containsKey("target")
                ? LayoutChangeCodec.readTarget(JsonFields.object(object, "target"))
                : null;
    }

    private static JournalRecord.MoveSnapshot readMove(Map<?, ?> move) throws IOException {
        List<Move.Destination> destinations = new ArrayList<>();
        for (Map<?, ?> destination : JsonFields.objects(move, "gains")) {
            destinations.add(readDestination(destination));
        }
        return new JournalRecord.MoveSnapshot(
                moveId(move),
                LayoutChangeCodec.readChange(JsonFields.object(move, "change")),
                JsonFields.integers(move, "births"),
                destinations,
                readOldHolders(move, "losses"),
                JsonFields.millis(move, "planned_ms"),
                state(move),
                JsonFields.millis(move, "since_ms"),
                move.get("why") instanceof String why ? why : null,
                JsonFields.flag(move, "turnsBack"),
                JsonFields.flag(move, "fenced"));
    }

    private static Move.Destination readDestination(Map<?, ?> destination) throws IOException {
        return new Move.Destination(
                JsonFields.text(destination, "node"),
                JsonFields.integer(destination, "slice"),
                JsonFields.keyRange(destination),
                JsonFields.text(destination, "source"));
    }

    private static List<Move.OldHolder> readOldHolders(Map<?, ?> object, String name)
            throws IOException {
        List<Move.OldHolder> holders = new ArrayList<>();
        for (Map<?, ?> holder : JsonFields.objects(object, name)) {
            holders.add(readOldHolder(holder));
        }
        return holders;
    }

    private static Move.OldHolder readOldHolder(Map<?, ?> holder) throws IOException {
        return new Move.OldHolder(
                JsonFields.text(holder, "node"),
                JsonFields.integer(holder, "slice"),
                JsonFields.keyRange(holder));
    }
}
