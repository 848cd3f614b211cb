package postbeam.migration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import postbeam.slices.Coordinator;
import postbeam.slices.CoordinatorAction;
import postbeam.slices.JournalRecord;
import postbeam.slices.LayoutChange;
import postbeam.slices.Move;

/**
 * Collects the actions of one call in the order in which the caller carries them out. A journal
 * record is applied to the state in memory as soon as it is added; the caller writes it to disk
 * before it carries out the actions that follow.
 */
final class ActionBatch {
    /**
     * Reason for abandoning a copy that differs from its source, or that its target no longer keeps
     * up to date, when an operator resumes the migration. The journal stores this text and {@link
     * #isRecopied} compares it, so it must not change.
     */
    private static final String RECOPY_REASON = "its copy was no good: copied anew";

    private final Coordinator coordinator;
    private final List<MigrationAction> actions = new ArrayList<>();

    ActionBatch(Coordinator coordinator) {
        this.coordinator = coordinator;
    }

    /** Whether the move was abandoned so that its slice is copied again. */
    static boolean isRecopied(Move move) {
        return RECOPY_REASON.equals(move.abandonReason());
    }

    void append(JournalRecord.WorkflowRecord migrationRecord) {
        coordinator.state().apply(migrationRecord);
        actions.add(
                new MigrationAction.Delegated(new CoordinatorAction.AppendRecord(migrationRecord)));
    }

    void request(MigrationAction.RequestDigests request) {
        actions.add(request);
    }

    void planMove(LayoutChange change, Duration now) {
        delegate(coordinator.plan(change, now));
    }

    void abandonMove(Move move, String reason, Duration now) {
        delegate(coordinator.abandon(move.id, reason, now));
    }

    void abandonForRecopy(Move move, Duration now) {
        abandonMove(move, RECOPY_REASON, now);
    }

    List<MigrationAction> actions() {
        return actions;
    }

    private void delegate(List<CoordinatorAction> coordinatorActions) {
        coordinatorActions.forEach(action -> actions.add(new MigrationAction.Delegated(action)));
    }
}
