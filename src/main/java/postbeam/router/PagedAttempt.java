package postbeam.router;

import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.ClientPresence;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.pages.PartialPage;
import postbeam.slices.KeyRangeRequest;

/** An attempt whose answer is rows of a page. */
final class PagedAttempt extends DispatchedAttempt {
    private final PagedQuery pagedQuery;

    /** Null until rows are read, and where they are malformed. */
    private PartialPage rows;

    PagedAttempt(
            ClientPresence clientPresence,
            Attempt policyAttempt,
            String id,
            String headerFields,
            long deadlineNanos,
            PagedQuery pagedQuery) {
        super(clientPresence, policyAttempt, id, headerFields, pagedQuery.payload(), deadlineNanos);
        this.pagedQuery = pagedQuery;
    }

    /** Reads the rows of an attempt that succeeded; malformed ones make it an error of the node. */
    static AttemptResult readRows(AttemptResult result) {
        if (!(result.attempt() instanceof PagedAttempt attempt)
                || result.outcome() != AttemptOutcome.SUCCESS) {
            return result;
        }
        KeyRangeRequest request = (KeyRangeRequest) attempt.policyAttempt.shardRequest;
        attempt.rows =
                attempt.pagedQuery.readRows(attempt.id, request.keys, result.value()).orElse(null);
        return new AttemptResult(
                attempt, attempt.rows == null ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS);
    }

    /** The rows that {@link #readRows} read. */
    PartialPage rows() {
        return rows;
    }
}
