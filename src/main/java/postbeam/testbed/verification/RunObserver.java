package postbeam.testbed.verification;

import java.time.Duration;
import java.util.List;
import postbeam.slices.KeyRange;

/** Who hears what is seen of a run; times are spans since its start. */
public final class RunObserver {
    private RunObserver() {}

    /** What is seen where clients are. */
    public interface ClientObserver {
        /**
         * A client sends a query.
         *
         * @param need the weight of answers that it needs
         * @param floor the weight below which a partial answer is none
         * @param version of the layout that it names its slices by
         * @param until when it gives up
         */
        void querySent(
                Duration now,
                String id,
                String router,
                InvariantChecker.Kind kind,
                double need,
                double floor,
                long version,
                List<InvariantChecker.RequestedSlice> wanted,
                Duration until);

        /** A query was rejected, so none of it may have run. */
        void rejected(Duration now, String query);

        /** A query failed; some of it may have run. */
        void failed(Duration now, String query);

        /** No answer has come, and none will: what the client saw instead. */
        void unanswered(Duration now, String query, String seen);

        /**
         * A query was answered.
         *
         * @param counted the version of the layout that the answer counts its keys by
         */
        void answered(
                Duration now,
                String query,
                boolean whole,
                long counted,
                List<InvariantChecker.Value> values);
    }

    /** What is seen where data nodes are. */
    public interface NodeObserver {
        /** A node has started and is warming up. */
        void nodeStarted(Duration now, String node);

        /** A call has arrived at a node. */
        void called(
                Duration now,
                String node,
                String query,
                String part,
                KeyRange keys,
                long version,
                Duration work);

        /** A node has run a part of a query. */
        void ran(Duration now, String query, String part, KeyRange keys);

        /** A call is over, answered or not. */
        void callEnded(String query, String part);
    }
}
