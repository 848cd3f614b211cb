package postbeam.rig;

import java.time.Duration;
import java.util.List;
import postbeam.slices.KeyRange;

/** Who hears what is seen of a run; times are spans since its start. */
final class Witness {
    private Witness() {}

    /** What is seen where clients are. */
    interface AtClients {
        void asked(
                Duration now,
                String id,
                String router,
                Referee.Kind kind,
                double need,
                double floor,
                long version,
                List<Referee.Wanted> wanted,
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
                List<Referee.Value> values);
    }

    /** What is seen where data nodes are. */
    interface AtNodes {
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

        void over(String query, String part);
    }
}
