package postbeam.layoutservice;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postbeam.errors.OperatorErrorException;
import postbeam.json.Json;
import postbeam.migration.Checkpoint;
import postbeam.migration.Migration;
import postbeam.migration.MigrationAction;
import postbeam.migration.MigrationError;
import postbeam.migration.MigrationManager;
import postbeam.migration.SliceTransfer;
import postbeam.slices.Coordinator;
import postbeam.slices.Layout;
import postbeam.slices.Slice;

/**
 * Handles the requests of operators about migrations. Not thread-safe: {@link LayoutController}
 * guards it with its lock.
 *
 * @param manager decides the steps of migrations
 * @param coordinator holds the current layout
 */
record MigrationHandler(MigrationManager manager, Coordinator coordinator) {
    private static final Set<String> ROUTES =
            Set.of(
                    "GET /v1/migrations",
                    "POST /v1/migrate",
                    "POST /v1/pause",
                    "POST /v1/resume",
                    "POST /v1/checkpoint",
                    "POST /v1/rollback",
                    "POST /v1/utility");
    private static final int MAX_MEMBER_LENGTH = 200;
    private static final double PERMILLE = 1000.0;
    private static final String OPERATOR_REASON = "by an operator";

    /** Returns whether this handler serves the method and path. */
    static boolean handles(String route) {
        return ROUTES.contains(route);
    }

    /**
     * Handles a request whose method and path this handler {@link #handles serves}.
     *
     * @throws OperatorErrorException the request is malformed or can't be fulfilled
     */
    OperatorResponse handle(OperatorRequest request, Duration now) throws OperatorErrorException {
        return switch (request.route()) {
            case "GET /v1/migrations" ->
                    OperatorResponse.command(List.of(), () -> listMigrations(now));
            case "POST /v1/migrate" -> migrate(request, now);
            case "POST /v1/utility" -> updateUtility(request);
            default -> command(request, now);
        };
    }

    private OperatorResponse migrate(OperatorRequest request, Duration now)
            throws OperatorErrorException {
        String member;
        List<SliceTransfer> transfers;
        try {
            Map<String, Object> body = Json.parseObject(request.body());
            member = JsonFields.text(body, "member");
            transfers = MigrationRecordCodec.readTransfers(body);
        } catch (IOException e) {
            throw new OperatorErrorException(
                    new MigrationError.MalformedCommand(e.getMessage()), e);
        }
        if (member.isEmpty() || member.length() > MAX_MEMBER_LENGTH) {
            throw malformed(
                    "member must have 1 to "
                            + MAX_MEMBER_LENGTH
                            + " characters, but has "
                            + member.length());
        }
        long id = manager.journalState().nextId();
        return OperatorResponse.command(
                manager.createMigration(member, transfers, now), () -> describe(id));
    }

    private OperatorResponse updateUtility(OperatorRequest request) throws OperatorErrorException {
        manager.updateUtility(
                requiredText(request, "member"), requiredLong(request, "permille") / PERMILLE);
        return OperatorResponse.command(List.of(), () -> "noted");
    }

    /** Executes a command on one active migration. */
    private OperatorResponse command(OperatorRequest request, Duration now)
            throws OperatorErrorException {
        long id = requiredLong(request, "migration");
        List<MigrationAction> actions =
                switch (request.route()) {
                    case "POST /v1/pause" -> manager.pause(id, OPERATOR_REASON, now);
                    case "POST /v1/resume" -> manager.resume(id, now);
                    case "POST /v1/rollback" -> manager.rollBack(id, OPERATOR_REASON, now);
                    default ->
                            manager.passCheckpoint(
                                    id,
                                    new Checkpoint(
                                            requiredLong(request, "version"),
                                            requiredText(request, "digest")),
                                    now);
                };
        return OperatorResponse.command(actions, () -> describe(id));
    }

    // ---- response texts

    /** Describes a migration in one line; returns "null" if no migration has this id. */
    private String describe(long id) {
        return manager.journalState().find(id).map(MigrationHandler::describe).orElse("null");
    }

    private static String describe(Migration migration) {
        StringBuilder line =
                new StringBuilder("migration ")
                        .append(migration.id)
                        .append(" of ")
                        .append(migration.member)
                        .append(' ')
                        .append(MigrationRecordCodec.STATE_NAMES.of(migration.state()));
        if (migration.isPaused()) {
            line.append(", paused: ").append(migration.pauseDetail());
        }
        if (migration.rollbackReason() != null) {
            line.append(", back: ").append(migration.rollbackReason());
        }
        return line.toString();
    }

    /**
     * Lists all migrations, and the routers that may still use an older layout, as one JSON object.
     */
    private String listMigrations(Duration now) {
        Layout layout = coordinator.state().layout();
        return new String(
                Json.encode(
                        json -> {
                            json.writeStartObject();
                            json.writeArrayFieldStart("migrations");
                            for (Migration migration : manager.journalState().migrations()) {
                                writeMigration(json, migration, layout, now);
                            }
                            json.writeEndArray();
                            json.writeArrayFieldStart("behind");
                            for (String router :
                                    manager.routerAcknowledgements()
                                            .routersBehind(layout.version, now)) {
                                json.writeString(router);
                            }
                            json.writeEndArray();
                            json.writeEndObject();
                        }),
                StandardCharsets.UTF_8);
    }

    private static void writeMigration(
            JsonGenerator json, Migration migration, Layout layout, Duration now)
            throws IOException {
        json.writeStartObject();
        json.writeNumberField("migration", migration.id);
        json.writeStringField("member", migration.member);
        json.writeStringField("stage", MigrationRecordCodec.STATE_NAMES.of(migration.state()));
        json.writeNumberField("for_ms", Math.max(0, now.minus(migration.since()).toMillis()));
        json.writeNumberField("hops", migration.transfers.size());
        json.writeNumberField(
                "moved",
                migration.transfers.stream()
                        .filter(transfer -> isAtTarget(transfer, layout))
                        .count());
        if (migration.isPaused()) {
            json.writeStringField(
                    "cause", MigrationRecordCodec.PAUSE_REASON_NAMES.of(migration.pauseReason()));
            json.writeStringField("paused", migration.pauseDetail());
        }
        MigrationRecordCodec.writeCheckpoint(json, "checkpoint", migration.openCheckpoint());
        if (migration.rollbackReason() != null) {
            json.writeStringField("back", migration.rollbackReason());
        }
        json.writeEndObject();
    }

    private static boolean isAtTarget(SliceTransfer transfer, Layout layout) {
        Slice slice = layout.slice(transfer.slice());
        return slice != null && slice.heldBy(transfer.target());
    }

    // ---- parameters

    private static String requiredText(OperatorRequest request, String name)
            throws OperatorErrorException {
        String value = request.parameter(name);
        if (value == null || value.isEmpty()) {
            throw malformed(name + " is missing");
        }
        return value;
    }

    private static long requiredLong(OperatorRequest request, String name)
            throws OperatorErrorException {
        String value = requiredText(request, name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new OperatorErrorException(
                    new MigrationError.MalformedCommand(name + " is not a 64-bit integer"), e);
        }
    }

    private static OperatorErrorException malformed(String problem) {
        return new OperatorErrorException(new MigrationError.MalformedCommand(problem));
    }
}
