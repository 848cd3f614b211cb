package postbeam.layouts;

import static java.util.Map.entry;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import postbeam.migration.Cause;
import postbeam.migration.Checkpoint;
import postbeam.migration.Hop;
import postbeam.migration.Noted;
import postbeam.migration.Said;
import postbeam.migration.Stage;
import postbeam.setup.Json;

/**
 * The records of migrations in JSON, one object each, and an operator's plan of one; an IOException
 * says what is wrong.
 */
final class NotedForm {
    static final WireNames<Stage> STAGES =
            WireNames.of(
                    Stage.class,
                    "an unknown Stage",
                    entry(Stage.PLANNED, "PLANNED"),
                    entry(Stage.COPYING, "COPYING"),
                    entry(Stage.CAUGHT_UP, "CAUGHT_UP"),
                    entry(Stage.VERIFYING, "VERIFYING"),
                    entry(Stage.CHECKPOINT, "CHECKPOINT"),
                    entry(Stage.SWITCHING, "SWITCHING"),
                    entry(Stage.WATCHED, "WATCHED"),
                    entry(Stage.LAST_CHECKPOINT, "LAST_CHECKPOINT"),
                    entry(Stage.RETIRING, "RETIRING"),
                    entry(Stage.RETIRED, "RETIRED"),
                    entry(Stage.ROLLING_BACK, "ROLLING_BACK"),
                    entry(Stage.ROLLED_BACK, "ROLLED_BACK"));
    static final WireNames<Cause> CAUSES =
            WireNames.of(
                    Cause.class,
                    "an unknown Cause",
                    entry(Cause.OPERATOR, "OPERATOR"),
                    entry(Cause.TARGET_COLD, "TARGET_COLD"),
                    entry(Cause.SHARD_THIN, "SHARD_THIN"),
                    entry(Cause.UTILITY_FELL, "UTILITY_FELL"),
                    entry(Cause.STARVED, "STARVED"),
                    entry(Cause.DIFFERS, "DIFFERS"),
                    entry(Cause.MOVE_FAILED, "MOVE_FAILED"));

    private NotedForm() {}

    static void write(JsonGenerator json, Noted noted) throws IOException {
        json.writeStringField("kind", "migration");
        json.writeNumberField("migration", noted.id());
        if (noted instanceof Noted.Opened one) {
            start(json, "opened", one.at());
            json.writeStringField("member", one.member());
            hops(json, one.hops());
            json.writeNumberField("version", one.version());
            json.writeNumberField("utility", one.utility());
        } else if (noted instanceof Noted.Entered one) {
            start(json, "entered", one.at());
            json.writeStringField("stage", STAGES.of(one.stage()));
        } else if (noted instanceof Noted.Verified one) {
            json.writeStringField("what", "verified");
            json.writeNumberField("move", one.move());
            json.writeStringField("digest", one.digest());
        } else if (noted instanceof Noted.Opening one) {
            start(json, "opening", one.at());
            checkpoint(json, new Checkpoint(one.version(), one.digest()));
        } else if (noted instanceof Noted.Passed one) {
            start(json, "passed", one.at());
        } else if (noted instanceof Noted.Paused one) {
            start(json, "paused", one.at());
            json.writeStringField("cause", CAUSES.of(one.cause()));
            json.writeStringField("why", one.why());
        } else if (noted instanceof Noted.Resumed one) {
            start(json, "resumed", one.at());
        } else if (noted instanceof Noted.RollingBack one) {
            start(json, "rollingBack", one.at());
            json.writeStringField("why", one.why());
        } else if (noted instanceof Noted.Standing one) {
            start(json, "standing", one.since());
            json.writeStringField("member", one.member());
            hops(json, one.hops());
            json.writeNumberField("version", one.version());
            json.writeNumberField("utility", one.utility());
            json.writeStringField("stage", STAGES.of(one.stage()));
            json.writeNumberField("openings", one.openings());
            if (one.cause() != null) {
                json.writeStringField("cause", CAUSES.of(one.cause()));
                json.writeStringField("pausedWhy", one.pausedWhy());
            }
            if (one.rollbackWhy() != null) {
                json.writeStringField("rollbackWhy", one.rollbackWhy());
            }
            checkpoint(json, "open", one.open());
            checkpoint(json, "passed", one.passed());
            json.writeArrayFieldStart("verified");
            for (Map.Entry<Long, String> verified : one.verified().entrySet()) {
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

    private static void hops(JsonGenerator json, List<Hop> hops) throws IOException {
        json.writeArrayFieldStart("hops");
        for (Hop hop : hops) {
            json.writeStartObject();
            json.writeNumberField("move", hop.slice());
            json.writeStringField("off", hop.from());
            json.writeStringField("onto", hop.to());
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
        json.writeNumberField("version", one.version());
        json.writeStringField("digest", one.digest());
    }

    static Noted read(Map<String, Object> object) throws IOException {
        long id = LayoutForm.number(object, "migration");
        String what = text(object, "what");
        return switch (what) {
            case "opened" ->
                    new Noted.Opened(
                            id,
                            text(object, "member"),
                            hops(object),
                            LayoutForm.number(object, "version"),
                            Json.member(object, "utility", Number.class).doubleValue(),
                            at(object));
            case "entered" ->
                    new Noted.Entered(id, STAGES.constant(text(object, "stage")), at(object));
            case "verified" ->
                    new Noted.Verified(
                            id, LayoutForm.number(object, "move"), text(object, "digest"));
            case "opening" ->
                    new Noted.Opening(
                            id,
                            LayoutForm.number(object, "version"),
                            text(object, "digest"),
                            at(object));
            case "passed" -> new Noted.Passed(id, at(object));
            case "paused" ->
                    new Noted.Paused(
                            id,
                            CAUSES.constant(text(object, "cause")),
                            text(object, "why"),
                            at(object));
            case "resumed" -> new Noted.Resumed(id, at(object));
            case "rollingBack" -> new Noted.RollingBack(id, text(object, "why"), at(object));
            case "standing" -> standing(id, object);
            default -> throw new IOException("a migration's record of an unknown kind: " + what);
        };
    }

    private static Noted standing(long id, Map<String, Object> object) throws IOException {
        Map<Long, String> verified = new TreeMap<>();
        for (Map<?, ?> one : LayoutForm.objects(object, "verified")) {
            verified.put(LayoutForm.number(one, "move"), text(one, "digest"));
        }
        return new Noted.Standing(
                id,
                text(object, "member"),
                hops(object),
                LayoutForm.number(object, "version"),
                Json.member(object, "utility", Number.class).doubleValue(),
                STAGES.constant(text(object, "stage")),
                at(object),
                object.containsKey("cause") ? CAUSES.constant(text(object, "cause")) : null,
                object.containsKey("pausedWhy") ? text(object, "pausedWhy") : null,
                verified,
                (int) LayoutForm.number(object, "openings"),
                checkpoint(object, "open"),
                checkpoint(object, "passed"),
                object.containsKey("rollbackWhy") ? text(object, "rollbackWhy") : null);
    }

    private static Checkpoint checkpoint(Map<?, ?> object, String name) throws IOException {
        if (!object.containsKey(name)) {
            return null;
        }
        Map<?, ?> one = Json.member(object, name, Map.class);
        return new Checkpoint(LayoutForm.number(one, "version"), text(one, "digest"));
    }

    /** {"hops": [{"move": 3, "off": "n1", "onto": "n2"}]}. */
    static List<Hop> hops(Map<?, ?> object) throws IOException {
        List<Hop> hops = new ArrayList<>();
        for (Map<?, ?> hop : LayoutForm.objects(object, "hops")) {
            hops.add(
                    new Hop(
                            (int) LayoutForm.number(hop, "move"),
                            text(hop, "off"),
                            text(hop, "onto")));
        }
        return hops;
    }

    /**
     * {"open": 0, "mark": 7, "rows": 2, "bytes": 20, "digest": "...", "from": KEY, "to": KEY} in an
     * array "said".
     */
    static List<Said> said(Map<String, Object> object) throws IOException {
        List<Said> said = new ArrayList<>();
        for (Map<?, ?> one : LayoutForm.objects(object, "said")) {
            said.add(
                    new Said(
                            LayoutForm.keys(one),
                            (int) LayoutForm.number(one, "open"),
                            LayoutForm.number(one, "mark"),
                            LayoutForm.number(one, "rows"),
                            LayoutForm.number(one, "bytes"),
                            text(one, "digest")));
        }
        return said;
    }

    private static String text(Map<?, ?> object, String name) throws IOException {
        return Json.member(object, name, String.class);
    }

    private static Duration at(Map<?, ?> object) throws IOException {
        return Duration.ofMillis(LayoutForm.number(object, "at_ms"));
    }
}
