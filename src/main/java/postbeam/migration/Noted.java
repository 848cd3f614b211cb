package postbeam.migration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import postbeam.slices.Logged;

/**
 * What a migration writes into the log of moves; each is on disk before what it is about. Times are
 * since 1970.
 */
public sealed interface Noted extends Logged.Other {
    long id();

    /**
     * A member's migration is planned at this version of the layout; utility 0 where none was told.
     */
    record Opened(long id, String member, List<Hop> hops, long version, double utility, Duration at)
            implements Noted {
        public Opened {
            hops = List.copyOf(hops);
        }
    }

    /** It has come to this stage. */
    record Entered(long id, Stage stage, Duration at) implements Noted {}

    /** Both sides of a move agree. */
    record Verified(long id, long move, String digest) implements Noted {}

    /** A checkpoint is open, for this version of the layout and this digest. */
    record Opening(long id, long version, String digest, Duration at) implements Noted {}

    /** An operator passed the one that was open. */
    record Passed(long id, Duration at) implements Noted {}

    record Paused(long id, Cause cause, String why, Duration at) implements Noted {}

    record Resumed(long id, Duration at) implements Noted {}

    record RollingBack(long id, String why, Duration at) implements Noted {}

    /** All of one that stands; nulls where there is no pause, no checkpoint or no rollback. */
    record Standing(
            long id,
            String member,
            List<Hop> hops,
            long version,
            double utility,
            Stage stage,
            Duration since,
            Cause cause,
            String pausedWhy,
            Map<Long, String> verified,
            int openings,
            Checkpoint open,
            Checkpoint passed,
            String rollbackWhy)
            implements Noted {}
}
