package postbeam.layoutservice;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postbeam.json.Json;
import postbeam.migration.MigrationAction;
import postbeam.slices.Coordinator;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.LayoutChange;
import postbeam.slices.Move;
import postbeam.slices.MoveJournalState;
import postbeam.slices.Planner;
import postbeam.slices.Slice;
import postbeam.slices.TargetLayout;

/**
 * Handles the requests of operators about layouts and moves: plan, start, abandon, status and
 * verify. Not thread-safe: {@link LayoutController} guards it with its lock.
 */
final class LayoutRequestHandler {
    private static final Set<String> ROUTES =
            Set.of(
                    "GET /v1/status",
                    "GET /v1/verify",
                    "POST /v1/plan",
                    "POST /v1/start",
                    "POST /v1/abandon");
    private static final long NO_SUCH_MOVE = -1;

    private final Coordinator coordinator;
    private final EndpointDirectory endpoints;
    private final LayoutWatchers watchers;
    private final int minHolders;

    /**
     * Creates a handler.
     *
     * @param minHolders verify reports a slice with fewer ready holders
     */
    LayoutRequestHandler(
            Coordinator coordinator,
            EndpointDirectory endpoints,
            LayoutWatchers watchers,
            int minHolders) {
        this.coordinator = coordinator;
        this.endpoints = endpoints;
        this.watchers = watchers;
        this.minHolders = minHolders;
    }

    /** Returns whether this handler serves the method and path. */
    static boolean handles(String route) {
        return ROUTES.contains(route);
    }

    /**
     * Handles a request whose method and path this handler {@link #handles serves}.
     *
     * @throws IOException the request body can't be parsed
     * @throws IllegalArgumentException the request can't be fulfilled; the message says why in its
     *     first line
     */
    OperatorResponse handle(OperatorRequest request, Duration now) throws IOException {
        return switch (request.route()) {
            case "GET /v1/status" -> OperatorResponse.query(status(now));
            case "GET /v1/verify" -> OperatorResponse.query(verify());
            case "POST /v1/plan" -> OperatorResponse.query(plan(Json.parseObject(request.body())));
            case "POST /v1/start" -> start(Json.parseObject(request.body()), now);
            case "POST /v1/abandon" -> abandon(request, now);
            default -> throw new IllegalArgumentException(request.route() + " has no handler");
        };
    }

    // ---- plan, start and abandon

    /**
     * Returns the first changes toward a target, or that a single change is possible. Changes
     * nothing.
     */
    private String plan(Map<String, Object> body) throws IOException {
        return isTarget(body)
                ? planTarget(LayoutChangeCodec.readTarget(body))
                : planChange(LayoutChangeCodec.readChange(body));
    }

    private String planChange(LayoutChange change) {
        coordinator
                .rejectionReason(change)
                .ifPresent(
                        reason -> {
                            throw new IllegalArgumentException(reason);
                        });
        return "possible: " + change;
    }

    private String planTarget(TargetLayout target) {
        List<String> problems = coordinator.targetProblems(target);
        if (!problems.isEmpty()) {
            String more = problems.size() > 1 ? " (and " + (problems.size() - 1) + " more)" : "";
            throw new IllegalArgumentException(problems.get(0) + more);
        }
        List<LayoutChange> changes =
                Planner.nextChanges(state().layout(), target, state().busySlices());
        if (changes.isEmpty()) {
            return "no change is needed now";
        }
        // "first" marks a change that can start now, at the current layout; what else the target
        // needs is planned after these changes.
        return String.join("\n", changes.stream().map(change -> "first: " + change).toList());
    }

    private OperatorResponse start(Map<String, Object> body, Duration now) throws IOException {
        if (isTarget(body)) {
            TargetLayout target = LayoutChangeCodec.readTarget(body);
            return command(coordinator.setTarget(target), "the target is set");
        }
        long id = state().nextMove();
        LayoutChange change = LayoutChangeCodec.readChange(body);
        return command(
                coordinator.plan(change, now), "move " + id + ": " + change + warning(change));
    }

    /** What an operator risks with the change; empty if nothing beyond the usual. */
    private static String warning(LayoutChange change) {
        return change instanceof LayoutChange.Transfer transfer && transfer.fromIsDead()
                ? "; "
                        + transfer.from()
                        + " is not fenced while it is not listed: if it is not dead, two sets of"
                        + " holders accept calls, and what it accepts is lost"
                : "";
    }

    private OperatorResponse abandon(OperatorRequest request, Duration now) {
        if (request.parameters().containsKey("target")) {
            return command(
                    coordinator.setTarget(null), "the target is removed; active moves continue");
        }
        long id = request.longParameter("move", NO_SUCH_MOVE);
        return command(
                coordinator.abandon(id, "abandoned by an operator", now),
                "move " + id + " is being abandoned");
    }

    private static boolean isTarget(Map<String, Object> body) {
        return body.containsKey("slices");
    }

    private static OperatorResponse command(List<CoordinatorAction> actions, String text) {
        List<MigrationAction> delegated = new ArrayList<>();
        actions.forEach(action -> delegated.add(new MigrationAction.Delegated(action)));
        return OperatorResponse.command(delegated, () -> text);
    }

    private MoveJournalState state() {
        return coordinator.state();
    }

    // ---- status

    private String status(Duration now) {
        return new String(
                Json.encode(
                        json -> {
                            json.writeStartObject();
                            json.writeNumberField("version", state().layout().version);
                            json.writeNumberField("slices", state().layout().slices().size());
                            json.writeNumberField("watchers", watchers.size());
                            json.writeBooleanField("target", state().target() != null);
                            json.writeArrayFieldStart("moves");
                            for (Move move : state().activeMoves()) {
                                writeMove(json, move, now);
                            }
                            json.writeEndArray();
                            json.writeArrayFieldStart("over");
                            for (Move move : state().finishedMoves()) {
                                writeMove(json, move, now);
                            }
                            json.writeEndArray();
                            json.writeEndObject();
                        }),
                StandardCharsets.UTF_8);
    }

    private static void writeMove(JsonGenerator json, Move move, Duration now) throws IOException {
        json.writeStartObject();
        json.writeNumberField("move", move.id);
        json.writeStringField("change", move.change.toString());
        json.writeStringField("state", MoveRecordCodec.STATE_NAMES.of(move.state()));
        json.writeNumberField("for_ms", Math.max(0, now.minus(move.stateSince()).toMillis()));
        if (move.abandonReason() != null) {
            json.writeStringField("why", move.abandonReason());
        }
        json.writeEndObject();
    }

    // ---- verify

    /**
     * Reports holders that are removed or draining, slices with too few ready holders, and possible
     * repairs, one line each; the last line is a summary.
     */
    private String verify() {
        List<String> lines = new ArrayList<>();
        state().layout().slices().forEach(slice -> lines.addAll(findings(slice)));
        int findings = lines.size();
        coordinator
                .repairs()
                .forEach(change -> lines.add("to mend it, if the node is dead: " + change));
        lines.add(
                (lines.isEmpty() ? "sound: " : findings + " findings: ")
                        + "layout "
                        + state().layout().version
                        + ", "
                        + state().layout().slices().size()
                        + " slices");
        return String.join("\n", lines);
    }

    private List<String> findings(Slice slice) {
        List<String> findings = new ArrayList<>();
        int ready = 0;
        for (String holder : slice.nodes()) {
            switch (endpoints.readiness(holder)) {
                case REMOVED ->
                        findings.add(
                                "slice "
                                        + slice.number()
                                        + ": holder "
                                        + holder
                                        + " is not listed");
                case DRAINING ->
                        findings.add(
                                "slice " + slice.number() + ": holder " + holder + " is draining");
                default -> ready++;
            }
        }
        if (ready < minHolders) {
            findings.add(
                    "slice "
                            + slice.number()
                            + ": "
                            + ready
                            + " holders are ready, at least "
                            + minHolders
                            + " are needed");
        }
        return findings;
    }
}
