package postbeam.layoutservice;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import postbeam.errors.OperatorErrorException;
import postbeam.json.Json;
import postbeam.migration.Checkpoint;
import postbeam.migration.Migration;
import postbeam.migration.MigrationAction;
import postbeam.migration.MigrationError;
import postbeam.migration.MigrationLimits;
import postbeam.migration.MigrationManager;
import postbeam.migration.SliceTransfer;
import postbeam.slices.Coordinator;

/** Operators' orders about migrations, as the layout service hears them. */
record MigrationHandler(
        MigrationManager migrations, Coordinator coordinator, MigrationLimits limits) {
    private static final Set<String> PATHS =
            Set.of(
                    "GET /v1/migrations",
                    "POST /v1/migrate",
                    "POST /v1/pause",
                    "POST /v1/resume",
                    "POST /v1/checkpoint",
                    "POST /v1/rollback",
                    "POST /v1/utility");
    private static final int MEMBER_LONGEST = 200;

    /** What is to be done, and what is said once it is. */
    record Response(List<MigrationAction> actions, Supplier<String> text) {}

    static boolean handles(String path) {
        return PATHS.contains(path);
    }

    Response handle(String path, Map<String, Deque<String>> asked, byte[] body, Duration now)
            throws OperatorErrorException {
        switch (path) {
            case "GET /v1/migrations" -> {
                return new Response(List.of(), () -> all(now));
            }
            case "POST /v1/migrate" -> {
                return migrate(body, now);
            }
            case "POST /v1/utility" -> {
                migrations.updateUtility(text(asked, "member"), number(asked, "permille") / 1000.0);
                return new Response(List.of(), () -> "noted");
            }
            default -> {}
        }
        long id = number(asked, "migration");
        List<MigrationAction> doings =
                switch (path) {
                    case "POST /v1/pause" -> migrations.pause(id, "by an operator", now);
                    case "POST /v1/resume" -> migrations.resume(id, now);
                    case "POST /v1/rollback" -> migrations.rollBack(id, "by an operator", now);
                    default ->
                            migrations.passCheckpoint(
                                    id,
                                    new Checkpoint(number(asked, "version"), text(asked, "digest")),
                                    now);
                };
        return new Response(doings, () -> text(migrations.journalState().find(id).orElse(null)));
    }

    private Response migrate(byte[] body, Duration now) throws OperatorErrorException {
        String member;
        List<SliceTransfer> hops;
        try {
            Map<String, Object> asked = Json.parseObject(body);
            member = Json.member(asked, "member", String.class);
            hops = MigrationRecordCodec.transfers(asked);
        } catch (IOException e) {
            throw new OperatorErrorException(
                    new MigrationError.MalformedCommand(e.getMessage()), e);
        }
        if (member.isEmpty() || member.length() > MEMBER_LONGEST) {
            throw new OperatorErrorException(
                    new MigrationError.MalformedCommand(
                            "a member of " + member.length() + " letters"));
        }
        long id = migrations.journalState().nextId();
        return new Response(
                migrations.createMigration(member, hops, now),
                () -> text(migrations.journalState().find(id).orElse(null)));
    }

    /** One migration in a line, as operators read it. */
    private static String text(Migration one) {
        return one == null
                ? "null"
                : "migration "
                        + one.id
                        + " of "
                        + one.member
                        + " "
                        + MigrationRecordCodec.STATE_NAMES.of(one.state())
                        + (one.isPaused() ? ", paused: " + one.pauseDetail() : "")
                        + (one.rollbackReason() == null ? "" : ", back: " + one.rollbackReason());
    }

    /**
     * One JSON object: each migration with its stage, its pause, its checkpoint, and who is behind.
     */
    private String all(Duration now) {
        return new String(
                LayoutCodec.toBytes(
                        json -> {
                            json.writeStartObject();
                            json.writeArrayFieldStart("migrations");
                            for (Migration one : migrations.journalState().migrations()) {
                                json.writeStartObject();
                                json.writeNumberField("migration", one.id);
                                json.writeStringField("member", one.member);
                                json.writeStringField(
                                        "stage", MigrationRecordCodec.STATE_NAMES.of(one.state()));
                                json.writeNumberField(
                                        "for_ms", Math.max(0, now.minus(one.since()).toMillis()));
                                json.writeNumberField("hops", one.transfers.size());
                                json.writeNumberField(
                                        "moved",
                                        one.transfers.stream()
                                                .filter(
                                                        hop -> {
                                                            var slice =
                                                                    coordinator
                                                                            .state()
                                                                            .layout()
                                                                            .slice(hop.slice());
                                                            return slice != null
                                                                    && slice.heldBy(hop.target());
                                                        })
                                                .count());
                                if (one.isPaused()) {
                                    json.writeStringField(
                                            "cause",
                                            MigrationRecordCodec.PAUSE_REASON_NAMES.of(
                                                    one.pauseReason()));
                                    json.writeStringField("paused", one.pauseDetail());
                                }
                                MigrationRecordCodec.checkpoint(
                                        json, "checkpoint", one.openCheckpoint());
                                if (one.rollbackReason() != null) {
                                    json.writeStringField("back", one.rollbackReason());
                                }
                                json.writeEndObject();
                            }
                            json.writeEndArray();
                            json.writeArrayFieldStart("behind");
                            for (String router :
                                    migrations
                                            .routerAcknowledgements()
                                            .routersBehind(
                                                    coordinator.state().layout().version, now)) {
                                json.writeString(router);
                            }
                            json.writeEndArray();
                            json.writeEndObject();
                        }),
                StandardCharsets.UTF_8);
    }

    private static String text(Map<String, Deque<String>> asked, String name)
            throws OperatorErrorException {
        Deque<String> values = asked.get(name);
        if (values == null || values.getFirst().isEmpty()) {
            throw new OperatorErrorException(
                    new MigrationError.MalformedCommand(name + " is missing"));
        }
        return values.getFirst();
    }

    private static long number(Map<String, Deque<String>> asked, String name)
            throws OperatorErrorException {
        try {
            return Long.parseLong(text(asked, name));
        } catch (NumberFormatException e) {
            throw new OperatorErrorException(
                    new MigrationError.MalformedCommand(name + " is no whole number"), e);
        }
    }
}
