package postbeam.testbed.verification;

import java.time.Duration;
import java.util.List;
import postbeam.slices.KeyRange;

/** Who hears what is seen of a run; times are spans since its start. */
public final class RunObserver {
    private RunObserver() {}

    /** What is seen where clients are. */
    public interface ClientObserver {
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

        void rejected(Duration now, String query);

        void failed(Duration now, String query);

        /** No answer has come, and none will: what the client saw instead. */
        void unanswered(Duration now, String query, String seen);

        void answered(
                Duration now,
                String query,
                boolean whole,
                long counted,
                List<InvariantChecker.Value> values);
    }

    /** What is seen where data nodes are. */
    public interface NodeObserver {
        void nodeStarted(Duration now, String node);

        void called(
                Duration now,
                String node,
                String query,
                String part,
                KeyRange keys,
                long version,
                Duration work);

        void ran(Duration now, String query, String part, KeyRange keys);

        void callEnded(String query, String part);
    }
}
