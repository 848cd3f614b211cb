package postbeam.layouts;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import postbeam.errors.ExplainedException;
import postbeam.migration.Checkpoint;
import postbeam.migration.Doing;
import postbeam.migration.Hop;
import postbeam.migration.Migration;
import postbeam.migration.MigrationError;
import postbeam.migration.MigrationLimits;
import postbeam.migration.Migrations;
import postbeam.setup.Json;
import postbeam.slices.Coordinator;

/** Operators' orders about migrations, as the layout service hears them. */
record MigrationDesk(Migrations migrations, Coordinator coordinator, MigrationLimits limits) {
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
    record Answer(List<Doing> doings, Supplier<String> said) {}

    static boolean knows(String path) {
        return PATHS.contains(path);
    }

    Answer ordered(String path, Map<String, Deque<String>> asked, byte[] body, Duration now)
            throws ExplainedException {
        switch (path) {
            case "GET /v1/migrations" -> {
                return new Answer(List.of(), () -> all(now));
            }
            case "POST /v1/migrate" -> {
                return migrate(body, now);
            }
            case "POST /v1/utility" -> {
                migrations.utility(text(asked, "member"), number(asked, "permille") / 1000.0);
                return new Answer(List.of(), () -> "noted");
            }
            default -> {}
        }
        long id = number(asked, "migration");
        List<Doing> doings =
                switch (path) {
                    case "POST /v1/pause" -> migrations.pause(id, "by an operator", now);
                    case "POST /v1/resume" -> migrations.resume(id, now);
                    case "POST /v1/rollback" -> migrations.rollBack(id, "by an operator", now);
                    default ->
                            migrations.pass(
                                    id,
                                    new Checkpoint(number(asked, "version"), text(asked, "digest")),
                                    now);
                };
        return new Answer(doings, () -> text(migrations.book().of(id)));
    }

    private Answer migrate(byte[] body, Duration now) throws ExplainedException {
        String member;
        List<Hop> hops;
        try {
            Map<String, Object> asked = Json.object(body);
            member = Json.member(asked, "member", String.class);
            hops = NotedForm.hops(asked);
        } catch (IOException e) {
            throw new ExplainedException(new MigrationError.BadOrder(e.getMessage()), e);
        }
        if (member.isEmpty() || member.length() > MEMBER_LONGEST) {
            throw new ExplainedException(
                    new MigrationError.BadOrder("a member of " + member.length() + " letters"));
        }
        long id = migrations.book().next();
        return new Answer(migrations.open(member, hops, now), () -> text(migrations.book().of(id)));
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
                        + NotedForm.STAGES.of(one.stage())
                        + (one.paused() ? ", paused: " + one.pausedWhy() : "")
                        + (one.rollbackWhy() == null ? "" : ", back: " + one.rollbackWhy());
    }

    /**
     * One JSON object: each migration with its stage, its pause, its checkpoint, and who is behind.
     */
    private String all(Duration now) {
        return new String(
                LayoutForm.bytes(
                        json -> {
                            json.writeStartObject();
                            json.writeArrayFieldStart("migrations");
                            for (Migration one : migrations.book().all()) {
                                json.writeStartObject();
                                json.writeNumberField("migration", one.id);
                                json.writeStringField("member", one.member);
                                json.writeStringField("stage", NotedForm.STAGES.of(one.stage()));
                                json.writeNumberField(
                                        "for_ms", Math.max(0, now.minus(one.since()).toMillis()));
                                json.writeNumberField("hops", one.hops.size());
                                json.writeNumberField(
                                        "moved",
                                        one.hops.stream()
                                                .filter(
                                                        hop -> {
                                                            var slice =
                                                                    coordinator
                                                                            .book()
                                                                            .layout()
                                                                            .slice(hop.slice());
                                                            return slice != null
                                                                    && slice.heldBy(hop.to());
                                                        })
                                                .count());
                                if (one.paused()) {
                                    json.writeStringField(
                                            "cause", NotedForm.CAUSES.of(one.cause()));
                                    json.writeStringField("paused", one.pausedWhy());
                                }
                                NotedForm.checkpoint(json, "checkpoint", one.open());
                                if (one.rollbackWhy() != null) {
                                    json.writeStringField("back", one.rollbackWhy());
                                }
                                json.writeEndObject();
                            }
                            json.writeEndArray();
                            json.writeArrayFieldStart("behind");
                            for (String router :
                                    migrations
                                            .routers()
                                            .behind(coordinator.book().layout().version, now)) {
                                json.writeString(router);
                            }
                            json.writeEndArray();
                            json.writeEndObject();
                        }),
                StandardCharsets.UTF_8);
    }

    private static String text(Map<String, Deque<String>> asked, String name)
            throws ExplainedException {
        Deque<String> values = asked.get(name);
        if (values == null || values.getFirst().isEmpty()) {
            throw new ExplainedException(new MigrationError.BadOrder(name + " is missing"));
        }
        return values.getFirst();
    }

    private static long number(Map<String, Deque<String>> asked, String name)
            throws ExplainedException {
        try {
            return Long.parseLong(text(asked, name));
        } catch (NumberFormatException e) {
            throw new ExplainedException(
                    new MigrationError.BadOrder(name + " is no whole number"), e);
        }
    }
}
