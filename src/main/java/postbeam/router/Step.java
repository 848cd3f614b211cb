package postbeam.router;

import java.time.Duration;
import java.util.List;
import postbeam.errors.Explained;
import postbeam.pages.PageGiven;

/** The next thing to do; all but the first three end a query. */
public sealed interface Step {
    /** Sends these leaf calls to the node at this address, together. */
    record Send(String address, List<Call> calls) implements Step {}

    /** Tells the node that nobody waits for this leaf call any more. */
    record GiveUp(Call call) implements Step {}

    /** Asks a node how it is. */
    record Probe(String node, String address) implements Step {}

    /**
     * Answers from these parts; the layout is the version whose slices they make whole, 0 where
     * none moves, the page null where none was asked for.
     */
    record Answer(boolean whole, List<Value> values, long layout, PageGiven page) implements Step {
        public Answer(boolean whole, List<Value> values, long layout) {
            this(whole, values, layout, null);
        }
    }

    /** Says that asking again is harmless, after a wait if it is above zero. */
    record Reject(Duration comeBack) implements Step {}

    /** Ends the query without a promise about its effect. */
    record Abort() implements Step {}

    /** The client has left: nothing is to be said. */
    record Over() implements Step {}

    /**
     * Ends the query for this reason, which its client and the log are told; asking again is
     * harmless.
     */
    record Refused(Explained why) implements Step {}

    /** What a data node gave for a shard; no text where it gave rows of a page. */
    record Value(int shard, byte[] text, Cover cover) {}

    /**
     * Which keys a value is for, from one up to another, and which of the slices that the client
     * named they are in.
     */
    record Cover(long from, long to, List<Integer> named) {}
}
