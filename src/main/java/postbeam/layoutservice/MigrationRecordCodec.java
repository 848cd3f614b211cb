package postbeam.layoutservice;

import static java.util.Map.entry;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import postbeam.migration.Checkpoint;
import postbeam.migration.MigrationRecord;
import postbeam.migration.MigrationState;
import postbeam.migration.PauseReason;
import postbeam.migration.RangeDigest;
import postbeam.migration.SliceTransfer;

/**
 * Maps records of migrations to JSON, one object per record; the member "what" is the kind of
 * record. Also reads the transfers of an operator's migration request and the digests in responses
 * of data nodes.
 */
final class MigrationRecordCodec {
    /** The states of a migration as they are stored and shown to operators. */
    static final WireNames<MigrationState> STATE_NAMES =
            WireNames.of(
                    MigrationState.class,
                    "unknown migration state",
                    entry(MigrationState.PLANNED, "PLANNED"),
                    entry(MigrationState.COPYING, "COPYING"),
                    entry(MigrationState.CAUGHT_UP, "CAUGHT_UP"),
                    entry(MigrationState.VERIFYING, "VERIFYING"),
                    entry(MigrationState.SWITCH_CHECKPOINT, "CHECKPOINT"),
                    entry(MigrationState.SWITCHING, "SWITCHING"),
                    entry(MigrationState.OBSERVING, "WATCHED"),
                    entry(MigrationState.RETIREMENT_CHECKPOINT, "LAST_CHECKPOINT"),
                    entry(MigrationState.RETIRING, "RETIRING"),
                    entry(MigrationState.RETIRED, "RETIRED"),
                    entry(MigrationState.ROLLING_BACK, "ROLLING_BACK"),
                    entry(MigrationState.ROLLED_BACK, "ROLLED_BACK"));

    /** The reasons for a pause as they are stored and shown to operators. */
    static final WireNames<PauseReason> PAUSE_REASON_NAMES =
            WireNames.of(
                    PauseReason.class,
                    "unknown pause reason",
                    entry(PauseReason.OPERATOR, "OPERATOR"),
                    entry(PauseReason.TARGET_WARMING_UP, "TARGET_COLD"),
                    entry(PauseReason.TOO_FEW_READY_REPLICAS, "SHARD_THIN"),
                    entry(PauseReason.UTILITY_DROPPED, "UTILITY_FELL"),
                    entry(PauseReason.STALLED, "STARVED"),
                    entry(PauseReason.DIGEST_MISMATCH, "DIFFERS"),
                    entry(PauseReason.MOVE_FAILED, "MOVE_FAILED"));

    private MigrationRecordCodec() {}

    // ---- writing

    /** Writes the members of a record into the JSON object that is already open. */
    static void writeMembers(JsonGenerator json, MigrationRecord record) throws IOException {
        json.writeStringField("kind", "migration");
        json.writeNumberField("migration", record.id());
        if (record instanceof MigrationRecord.Created created) {
            writeCreated(json, created);
        } else if (record instanceof MigrationRecord.StateEntered entered) {
            writeStart(json, "entered", entered.at());
            json.writeStringField("stage", STATE_NAMES.of(entered.state()));
        } else if (record instanceof MigrationRecord.MoveVerified verified) {
            json.writeStringField("what", "verified");
            writeVerified(json, verified.moveId(), verified.digest());
        } else if (record instanceof MigrationRecord.CheckpointOpened opened) {
            writeStart(json, "opening", opened.at());
            writeMembers(json, new Checkpoint(opened.layoutVersion(), opened.digest()));
        } else if (record instanceof MigrationRecord.CheckpointPassed passed) {
            writeStart(json, "passed", passed.at());
        } else if (record instanceof MigrationRecord.Paused paused) {
            writeStart(json, "paused", paused.at());
            json.writeStringField("cause", PAUSE_REASON_NAMES.of(paused.reason()));
            json.writeStringField("why", paused.detail());
        } else if (record instanceof MigrationRecord.Resumed resumed) {
            writeStart(json, "resumed", resumed.at());
        } else if (record instanceof MigrationRecord.RollbackStarted rollback) {
            writeStart(json, "rollingBack", rollback.at());
            json.writeStringField("why", rollback.reason());
        } else if (record instanceof MigrationRecord.Snapshot snapshot) {
            writeSnapshot(json, snapshot);
        }
    }

    private static void writeStart(JsonGenerator json, String kind, Duration at)
            throws IOException {
        json.writeStringField("what", kind);
        json.writeNumberField("at_ms", at.toMillis());
    }

    private static void writeCreated(JsonGenerator json, MigrationRecord.Created created)
            throws IOException {
        writeStart(json, "opened", created.at());
        json.writeStringField("member", created.member());
        writeTransfers(json, created.transfers());
        json.writeNumberField("version", created.layoutVersion());
        json.writeNumberField("utility", created.utility());
    }

    private static void writeSnapshot(JsonGenerator json, MigrationRecord.Snapshot snapshot)
            throws IOException {
        writeStart(json, "standing", snapshot.since());
        json.writeStringField("member", snapshot.member());
        writeTransfers(json, snapshot.transfers());
        json.writeNumberField("version", snapshot.initialLayoutVersion());
        json.writeNumberField("utility", snapshot.initialUtility());
        json.writeStringField("stage", STATE_NAMES.of(snapshot.state()));
        json.writeNumberField("openings", snapshot.checkpointsOpened());
        if (snapshot.pauseReason() != null) {
            json.writeStringField("cause", PAUSE_REASON_NAMES.of(snapshot.pauseReason()));
            json.writeStringField("pausedWhy", snapshot.pauseDetail());
        }
        JsonFields.writeOptionalText(json, "rollbackWhy", snapshot.rollbackReason());
        writeCheckpoint(json, "open", snapshot.openCheckpoint());
        writeCheckpoint(json, "passed", snapshot.passedCheckpoint());
        json.writeArrayFieldStart("verified");
        for (Map.Entry<Long, String> verified : snapshot.verifiedDigests().entrySet()) {
            json.writeStartObject();
            writeVerified(json, verified.getKey(), verified.getValue());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeVerified(JsonGenerator json, long move, String digest)
            throws IOException {
        json.writeNumberField("move", move);
        json.writeStringField("digest", digest);
    }

    private static void writeTransfers(JsonGenerator json, List<SliceTransfer> transfers)
            throws IOException {
        json.writeArrayFieldStart("hops");
        for (SliceTransfer transfer : transfers) {
            json.writeStartObject();
            json.writeNumberField("move", transfer.slice());
            json.writeStringField("off", transfer.source());
            json.writeStringField("onto", transfer.target());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    /** Writes a checkpoint as a member; omits the member if the checkpoint is null. */
    static void writeCheckpoint(JsonGenerator json, String name, Checkpoint checkpoint)
            throws IOException {
        if (checkpoint != null) {
            json.writeObjectFieldStart(name);
            writeMembers(json, checkpoint);
            json.writeEndObject();
        }
    }

    private static void writeMembers(JsonGenerator json, Checkpoint checkpoint) throws IOException {
        json.writeNumberField("version", checkpoint.layoutVersion());
        json.writeStringField("digest", checkpoint.digest());
    }

    // ---- reading

    /**
     * Reads a record that {@link #writeMembers} has written.
     *
     * @throws IOException the object is not a migration record of a known kind
     */
    static MigrationRecord read(Map<?, ?> object) throws IOException {
        long id = JsonFields.number(object, "migration");
        String kind = JsonFields.text(object, "what");
        return switch (kind) {
            case "opened" -> readCreated(id, object);
            case "entered" -> new MigrationRecord.StateEntered(id, state(object), at(object));
            case "verified" ->
                    new MigrationRecord.MoveVerified(
                            id, JsonFields.number(object, "move"), digest(object));
            case "opening" ->
                    new MigrationRecord.CheckpointOpened(
                            id, version(object), digest(object), at(object));
            case "passed" -> new MigrationRecord.CheckpointPassed(id, at(object));
            case "paused" ->
                    new MigrationRecord.Paused(
                            id, pauseReason(object), JsonFields.text(object, "why"), at(object));
            case "resumed" -> new MigrationRecord.Resumed(id, at(object));
            case "rollingBack" ->
                    new MigrationRecord.RollbackStarted(
                            id, JsonFields.text(object, "why"), at(object));
            case "standing" -> readSnapshot(id, object);
            default -> throw new IOException("unknown kind of migration record: " + kind);
        };
    }

    private static MigrationRecord readCreated(long id, Map<?, ?> object) throws IOException {
        return new MigrationRecord.Created(
                id,
                JsonFields.text(object, "member"),
                readTransfers(object),
                version(object),
                JsonFields.decimal(object, "utility"),
                at(object));
    }

    private static MigrationRecord readSnapshot(long id, Map<?, ?> object) throws IOException {
        Map<Long, String> verified = new TreeMap<>();
        for (Map<?, ?> element : JsonFields.objects(object, "verified")) {
            verified.put(JsonFields.number(element, "move"), digest(element));
        }
        return new MigrationRecord.Snapshot(
                id,
                JsonFields.text(object, "member"),
                readTransfers(object),
                version(object),
                JsonFields.decimal(object, "utility"),
                state(object),
                at(object),
                object.containsKey("cause") ? pauseReason(object) : null,
                JsonFields.optionalText(object, "pausedWhy"),
                verified,
                JsonFields.integer(object, "openings"),
                readCheckpoint(object, "open"),
                readCheckpoint(object, "passed"),
                JsonFields.optionalText(object, "rollbackWhy"));
    }

    /** Returns null if the member is absent. */
    private static Checkpoint readCheckpoint(Map<?, ?> object, String name) throws IOException {
        if (!object.containsKey(name)) {
            return null;
        }
        Map<?, ?> checkpoint = JsonFields.object(object, name);
        return new Checkpoint(version(checkpoint), digest(checkpoint));
    }

    /** Reads {@code {"hops": [{"move": 3, "off": "n1", "onto": "n2"}]}}. */
    static List<SliceTransfer> readTransfers(Map<?, ?> object) throws IOException {
        List<SliceTransfer> transfers = new ArrayList<>();
        for (Map<?, ?> transfer : JsonFields.objects(object, "hops")) {
            transfers.add(
                    new SliceTransfer(
                            JsonFields.integer(transfer, "move"),
                            JsonFields.text(transfer, "off"),
                            JsonFields.text(transfer, "onto")));
        }
        return transfers;
    }

    /**
     * Reads the array "said" of objects {@code {"open": 0, "mark": 7, "rows": 2, "bytes": 20,
     * "digest": "...", "from": KEY, "to": KEY}}.
     */
    static List<RangeDigest> readDigests(Map<?, ?> object) throws IOException {
        List<RangeDigest> digests = new ArrayList<>();
        for (Map<?, ?> element : JsonFields.objects(object, "said")) {
            digests.add(
                    new RangeDigest(
                            JsonFields.keyRange(element),
                            JsonFields.integer(element, "open"),
                            JsonFields.number(element, "mark"),
                            JsonFields.number(element, "rows"),
                            JsonFields.number(element, "bytes"),
                            digest(element)));
        }
        return digests;
    }

    private static MigrationState state(Map<?, ?> object) throws IOException {
        return STATE_NAMES.constant(JsonFields.text(object, "stage"));
    }

    private static PauseReason pauseReason(Map<?, ?> object) throws IOException {
        return PAUSE_REASON_NAMES.constant(JsonFields.text(object, "cause"));
    }

    private static long version(Map<?, ?> object) throws IOException {
        return JsonFields.number(object, "version");
    }

    private static String digest(Map<?, ?> object) throws IOException {
        return JsonFields.text(object, "digest");
    }

    private static Duration at(Map<?, ?> object) throws IOException {
        return JsonFields.millis(object, "at_ms");
    }
}
