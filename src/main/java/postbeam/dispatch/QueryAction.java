package postbeam.dispatch;

import java.time.Duration;
import java.util.List;
import postbeam.errors.OperatorError;
import postbeam.pages.PageResult;

/**
 * What to do next for a query. {@link Send}, {@link CancelAttempt} and {@link HealthCheck} concern
 * a data node; each of the others ends the query.
 */
public sealed interface QueryAction {
    /**
     * Sends attempts to a data node in one frame.
     *
     * @param address host and port of the node
     */
    record Send(String address, List<DispatchedAttempt> attempts) implements QueryAction {}

    /** Tells the data node that nobody waits for this attempt any more. */
    record CancelAttempt(DispatchedAttempt attempt) implements QueryAction {}

    /**
     * Checks the health of a data node.
     *
     * @param address host and port of the node
     */
    record HealthCheck(String nodeName, String address) implements QueryAction {}

    /**
     * Answers the client.
     *
     * @param complete whether the values cover all that was requested
     * @param layoutVersion whose slices the values cover; 0 where slices don't move
     * @param page null where none was requested
     */
    record Answer(boolean complete, List<ShardValue> values, long layoutVersion, PageResult page)
            implements QueryAction {
        /** An answer without a page. */
        public Answer(boolean complete, List<ShardValue> values, long layoutVersion) {
            this(complete, values, layoutVersion, null);
        }
    }

    /**
     * Rejects the query; a retry is harmless.
     *
     * @param retryAfter how long the client should wait before it; zero for no advice
     */
    record Reject(Duration retryAfter) implements QueryAction {}

    /** Ends the query without a promise about its side effects. */
    record Abort() implements QueryAction {}

    /** The client has disconnected: nothing is sent. */
    record ClientDisconnected() implements QueryAction {}

    /** Rejects the query with a reason for the client and the log; a retry is harmless. */
    record RejectWithReason(OperatorError reason) implements QueryAction {}

    /**
     * What a data node gave for a shard.
     *
     * @param payload null where the node gave rows of a page
     * @param coverage null where slices don't move
     */
    @SuppressWarnings("ArrayRecordComponent") // Values are never compared, and may be large.
    record ShardValue(int shard, byte[] payload, KeyCoverage coverage) {}

    /**
     * Which keys a value is for.
     *
     * @param from the first key
     * @param to the key after the last
     * @param sliceNumbers the slices, of those that the client named, which hold these keys
     */
    record KeyCoverage(long from, long to, List<Integer> sliceNumbers) {}
}
