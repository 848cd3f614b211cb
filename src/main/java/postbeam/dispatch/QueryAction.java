package postbeam.dispatch;

import java.time.Duration;
import java.util.List;
import postbeam.errors.OperatorError;
import postbeam.pages.PageResult;

/** The next thing to do; all but the first three end a query. */
public sealed interface QueryAction {
    /** Sends these leaf calls to the node at this address, together. */
    record Send(String address, List<DispatchedAttempt> attempts) implements QueryAction {}

    /** Tells the node that nobody waits for this leaf call any more. */
    record CancelAttempt(DispatchedAttempt attempt) implements QueryAction {}

    /** Asks a node how it is. */
    record HealthCheck(String node, String address) implements QueryAction {}

    /**
     * Answers from these parts; the layout is the version whose slices they make whole, 0 where
     * none moves, the page null where none was asked for.
     */
    record Answer(boolean complete, List<ShardValue> values, long layoutVersion, PageResult page)
            implements QueryAction {
        public Answer(boolean whole, List<ShardValue> values, long layout) {
            this(whole, values, layout, null);
        }
    }

    /** Says that asking again is harmless, after a wait if it is above zero. */
    record Reject(Duration retryAfter) implements QueryAction {}

    /** Ends the query without a promise about its effect. */
    record Abort() implements QueryAction {}

    /** The client has left: nothing is to be said. */
    record ClientGone() implements QueryAction {}

    /**
     * Ends the query for this reason, which its client and the log are told; asking again is
     * harmless.
     */
    record RejectWithReason(OperatorError reason) implements QueryAction {}

    /** What a data node gave for a shard; no text where it gave rows of a page. */
    record ShardValue(int shard, byte[] payload, KeyCoverage coverage) {}

    /**
     * Which keys a value is for, from one up to another, and which of the slices that the client
     * named they are in.
     */
    record KeyCoverage(long from, long to, List<Integer> sliceNumbers) {}
}
