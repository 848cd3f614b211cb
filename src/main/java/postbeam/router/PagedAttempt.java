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
    /** Reads the rows. */
    final PagedQuery pagedQuery;

    /** What was read; null until then, and where the rows are malformed. */
    PartialPage rows;

    PagedAttempt(
            ClientPresence client,
            Attempt attempt,
            String id,
            String more,
            long untilNanos,
            PagedQuery paged) {
        super(client, attempt, id, more, paged.payload, untilNanos);
        this.pagedQuery = paged;
    }

    /** Reads the rows of an attempt that succeeded; malformed ones make it an error of the node. */
    static AttemptResult readRows(AttemptResult ending) {
        if (!(ending.attempt() instanceof PagedAttempt call)
                || ending.outcome() != AttemptOutcome.SUCCESS) {
            return ending;
        }
        call.rows =
                call.pagedQuery.readRows(
                        call.id,
                        ((KeyRangeRequest) call.attempt.shardRequest).keys,
                        ending.value());
        return new AttemptResult(
                call, call.rows == null ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS);
    }

    /** What was read of a call for a page. */
    static PartialPage rows(DispatchedAttempt call) {
        return ((PagedAttempt) call).rows;
    }
}
