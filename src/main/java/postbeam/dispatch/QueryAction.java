package postbeam.dispatch;

import java.time.Duration;
import java.util.List;
import postbeam.errors.OperatorError;
import postbeam.pages.PageResult;

/**
 * The next action for a query. {@link Send}, {@link CancelAttempt} and {@link HealthCheck} concern
 * a data node; each of the others ends the query.
 */
public sealed interface QueryAction {
    /**
     * Sends attempts to a data node in one frame.
     *
     * @param address host and port of the data node
     */
    record Send(String address, List<DispatchedAttempt> attempts) implements QueryAction {}

    /** Tells the data node that the answer to this attempt is no longer awaited. */
    record CancelAttempt(DispatchedAttempt attempt) implements QueryAction {}

    /**
     * Checks the health of a data node.
     *
     * @param address host and port of the data node
     */
    record HealthCheck(String nodeName, String address) implements QueryAction {}

    /**
     * Answers the client.
     *
     * @param complete whether the values suffice for a complete answer in the query class
     * @param layoutVersion version of the layout whose slices the values cover; 0 if slices don't
     *     move
     * @param page the requested page; null if none was requested
     */
    record Answer(boolean complete, List<ShardValue> values, long layoutVersion, PageResult page)
            implements QueryAction {
        /** Creates an answer without a page. */
        public Answer(boolean complete, List<ShardValue> values, long layoutVersion) {
            this(complete, values, layoutVersion, null);
        }
    }

    /**
     * Rejects the query. A retry by the client can't execute side effects twice.
     *
     * @param retryAfter time that the client should wait before a retry; zero if there is no advice
     */
    record Reject(Duration retryAfter) implements QueryAction {}

    /** Ends the query without telling whether side effects were executed. */
    record Abort() implements QueryAction {}

    /** Ends the query without sending anything, as the client has disconnected. */
    record ClientDisconnected() implements QueryAction {}

    /**
     * Rejects the query with a reason, for the client and for the log. A retry by the client can't
     * execute side effects twice.
     */
    record RejectWithReason(OperatorError reason) implements QueryAction {}

    /**
     * Value of one shard in an answer.
     *
     * @param payload bytes that the data node sent; null if it sent rows of a page
     * @param coverage keys that the value covers; null if slices don't move
     */
    @SuppressWarnings("ArrayRecordComponent") // Values are never compared, and may be large.
    record ShardValue(int shard, byte[] payload, KeyCoverage coverage) {}

    /**
     * Range of keys that a value covers.
     *
     * @param from first key of the range
     * @param to key after the last key of the range
     * @param sliceNumbers numbers of those slices named by the client that hold any of these keys
     */
    record KeyCoverage(long from, long to, List<Integer> sliceNumbers) {}
}
