package postbeam.router;

import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.ClientPresence;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;
import postbeam.pages.PartialPage;
import postbeam.slices.KeyRangeRequest;

/** An attempt that a data node answers with rows of a page. */
final class PagedAttempt extends DispatchedAttempt {
    private final PagedQuery pagedQuery;

    /** Null until rows are decoded, and if they are malformed. */
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

    /**
     * Decodes the rows of a successful attempt; if they are malformed, the outcome becomes an error
     * of the node.
     */
    static AttemptResult decodeRows(AttemptResult result) {
        if (!(result.attempt() instanceof PagedAttempt attempt)
                || result.outcome() != AttemptOutcome.SUCCESS) {
            return result;
        }
        KeyRangeRequest request = (KeyRangeRequest) attempt.policyAttempt.shardRequest;
        attempt.rows =
                attempt.pagedQuery
                        .decodeRows(attempt.id, request.keys, result.value())
                        .orElse(null);
        return new AttemptResult(
                attempt, attempt.rows == null ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS);
    }

    /** The rows that {@link #decodeRows} decoded. */
    PartialPage rows() {
        return rows;
    }
}
