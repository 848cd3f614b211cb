package postbeam.layoutservice;

import static java.util.Map.entry;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import postbeam.json.Json;
import postbeam.migration.Checkpoint;
import postbeam.migration.MigrationRecord;
import postbeam.migration.MigrationState;
import postbeam.migration.PauseReason;
import postbeam.migration.RangeDigest;
import postbeam.migration.SliceTransfer;

/**
 * The records of migrations in JSON, one object each, and an operator's plan of one; an IOException
 * says what is wrong.
 */
final class MigrationRecordCodec {
    static final WireNames<MigrationState> STATE_NAMES =
            WireNames.of(
                    MigrationState.class,
                    "an unknown Stage",
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
    static final WireNames<PauseReason> PAUSE_REASON_NAMES =
            WireNames.of(
                    PauseReason.class,
                    "an unknown Cause",
                    entry(PauseReason.OPERATOR, "OPERATOR"),
                    entry(PauseReason.TARGET_WARMING_UP, "TARGET_COLD"),
                    entry(PauseReason.TOO_FEW_READY_REPLICAS, "SHARD_THIN"),
                    entry(PauseReason.UTILITY_DROPPED, "UTILITY_FELL"),
                    entry(PauseReason.STALLED, "STARVED"),
                    entry(PauseReason.DIGEST_MISMATCH, "DIFFERS"),
                    entry(PauseReason.MOVE_FAILED, "MOVE_FAILED"));

    private MigrationRecordCodec() {}

    static void write(JsonGenerator json, MigrationRecord noted) throws IOException {
        json.writeStringField("kind", "migration");
        json.writeNumberField("migration", noted.id());
        if (noted instanceof MigrationRecord.Created one) {
            start(json, "opened", one.at());
            json.writeStringField("member", one.member());
            transfers(json, one.transfers());
            json.writeNumberField("version", one.layoutVersion());
            json.writeNumberField("utility", one.utility());
        } else if (noted instanceof MigrationRecord.StateEntered one) {
            start(json, "entered", one.at());
            json.writeStringField("stage", STATE_NAMES.of(one.state()));
        } else if (noted instanceof MigrationRecord.MoveVerified one) {
            json.writeStringField("what", "verified");
            json.writeNumberField("move", one.moveId());
            json.writeStringField("digest", one.digest());
        } else if (noted instanceof MigrationRecord.CheckpointOpened one) {
            start(json, "opening", one.at());
            checkpoint(json, new Checkpoint(one.layoutVersion(), one.digest()));
        } else if (noted instanceof MigrationRecord.CheckpointPassed one) {
            start(json, "passed", one.at());
        } else if (noted instanceof MigrationRecord.Paused one) {
            start(json, "paused", one.at());
            json.writeStringField("cause", PAUSE_REASON_NAMES.of(one.reason()));
            json.writeStringField("why", one.detail());
        } else if (noted instanceof MigrationRecord.Resumed one) {
            start(json, "resumed", one.at());
        } else if (noted instanceof MigrationRecord.RollbackStarted one) {
            start(json, "rollingBack", one.at());
            json.writeStringField("why", one.reason());
        } else if (noted instanceof MigrationRecord.Snapshot one) {
            start(json, "standing", one.since());
            json.writeStringField("member", one.member());
            transfers(json, one.transfers());
            json.writeNumberField("version", one.initialLayoutVersion());
            json.writeNumberField("utility", one.initialUtility());
            json.writeStringField("stage", STATE_NAMES.of(one.state()));
            json.writeNumberField("openings", one.checkpointsOpened());
            if (one.pauseReason() != null) {
                json.writeStringField("cause", PAUSE_REASON_NAMES.of(one.pauseReason()));
                json.writeStringField("pausedWhy", one.pauseDetail());
            }
            if (one.rollbackReason() != null) {
                json.writeStringField("rollbackWhy", one.rollbackReason());
            }
            checkpoint(json, "open", one.openCheckpoint());
            checkpoint(json, "passed", one.passedCheckpoint());
            json.writeArrayFieldStart("verified");
            for (Map.Entry<Long, String> verified : one.verifiedDigests().entrySet()) {
                json.writeStartObject();
                json.writeNumberField("move", verified.getKey());
                json.writeStringField("digest", verified.getValue());
                json.writeEndObject();
            }
            json.writeEndArray();
        }
    }

    private static void start(JsonGenerator json, String what, Duration at) throws IOException {
        json.writeStringField("what", what);
        json.writeNumberField("at_ms", at.toMillis());
    }

    private static void transfers(JsonGenerator json, List<SliceTransfer> hops) throws IOException {
        json.writeArrayFieldStart("hops");
        for (SliceTransfer hop : hops) {
            json.writeStartObject();
            json.writeNumberField("move", hop.slice());
            json.writeStringField("off", hop.source());
            json.writeStringField("onto", hop.target());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    static void checkpoint(JsonGenerator json, String name, Checkpoint one) throws IOException {
        if (one != null) {
            json.writeObjectFieldStart(name);
            checkpoint(json, one);
            json.writeEndObject();
        }
    }

    private static void checkpoint(JsonGenerator json, Checkpoint one) throws IOException {
        json.writeNumberField("version", one.layoutVersion());
        json.writeStringField("digest", one.digest());
    }

    static MigrationRecord read(Map<String, Object> object) throws IOException {
        long id = LayoutCodec.readLong(object, "migration");
        String what = text(object, "what");
        return switch (what) {
            case "opened" ->
                    new MigrationRecord.Created(
                            id,
                            text(object, "member"),
                            transfers(object),
                            LayoutCodec.readLong(object, "version"),
                            Json.member(object, "utility", Number.class).doubleValue(),
                            at(object));
            case "entered" ->
                    new MigrationRecord.StateEntered(
                            id, STATE_NAMES.constant(text(object, "stage")), at(object));
            case "verified" ->
                    new MigrationRecord.MoveVerified(
                            id, LayoutCodec.readLong(object, "move"), text(object, "digest"));
            case "opening" ->
                    new MigrationRecord.CheckpointOpened(
                            id,
                            LayoutCodec.readLong(object, "version"),
                            text(object, "digest"),
                            at(object));
            case "passed" -> new MigrationRecord.CheckpointPassed(id, at(object));
            case "paused" ->
                    new MigrationRecord.Paused(
                            id,
                            PAUSE_REASON_NAMES.constant(text(object, "cause")),
                            text(object, "why"),
                            at(object));
            case "resumed" -> new MigrationRecord.Resumed(id, at(object));
            case "rollingBack" ->
                    new MigrationRecord.RollbackStarted(id, text(object, "why"), at(object));
            case "standing" -> standing(id, object);
            default -> throw new IOException("a migration's record of an unknown kind: " + what);
        };
    }

    private static MigrationRecord standing(long id, Map<String, Object> object)
            throws IOException {
        Map<Long, String> verified = new TreeMap<>();
        for (Map<?, ?> one : LayoutCodec.readObjects(object, "verified")) {
            verified.put(LayoutCodec.readLong(one, "move"), text(one, "digest"));
        }
        return new MigrationRecord.Snapshot(
                id,
                text(object, "member"),
                transfers(object),
                LayoutCodec.readLong(object, "version"),
                Json.member(object, "utility", Number.class).doubleValue(),
                STATE_NAMES.constant(text(object, "stage")),
                at(object),
                object.containsKey("cause")
                        ? PAUSE_REASON_NAMES.constant(text(object, "cause"))
                        : null,
                object.containsKey("pausedWhy") ? text(object, "pausedWhy") : null,
                verified,
                (int) LayoutCodec.readLong(object, "openings"),
                checkpoint(object, "open"),
                checkpoint(object, "passed"),
                object.containsKey("rollbackWhy") ? text(object, "rollbackWhy") : null);
    }

    private static Checkpoint checkpoint(Map<?, ?> object, String name) throws IOException {
        if (!object.containsKey(name)) {
            return null;
        }
        Map<?, ?> one = Json.member(object, name, Map.class);
        return new Checkpoint(LayoutCodec.readLong(one, "version"), text(one, "digest"));
    }

    /** {"hops": [{"move": 3, "off": "n1", "onto": "n2"}]}. */
    static List<SliceTransfer> transfers(Map<?, ?> object) throws IOException {
        List<SliceTransfer> hops = new ArrayList<>();
        for (Map<?, ?> hop : LayoutCodec.readObjects(object, "hops")) {
            hops.add(
                    new SliceTransfer(
                            (int) LayoutCodec.readLong(hop, "move"),
                            text(hop, "off"),
                            text(hop, "onto")));
        }
        return hops;
    }

    /**
     * {"open": 0, "mark": 7, "rows": 2, "bytes": 20, "digest": "...", "from": KEY, "to": KEY} in an
     * array "said".
     */
    static List<RangeDigest> digests(Map<String, Object> object) throws IOException {
        List<RangeDigest> said = new ArrayList<>();
        for (Map<?, ?> one : LayoutCodec.readObjects(object, "said")) {
            said.add(
                    new RangeDigest(
                            LayoutCodec.readKeys(one),
                            (int) LayoutCodec.readLong(one, "open"),
                            LayoutCodec.readLong(one, "mark"),
                            LayoutCodec.readLong(one, "rows"),
                            LayoutCodec.readLong(one, "bytes"),
                            text(one, "digest")));
        }
        return said;
    }

    private static String text(Map<?, ?> object, String name) throws IOException {
        return Json.member(object, name, String.class);
    }

    private static Duration at(Map<?, ?> object) throws IOException {
        return Duration.ofMillis(LayoutCodec.readLong(object, "at_ms"));
    }
}
