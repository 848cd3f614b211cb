package postbeam.migration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One member's migration, as the log has it. */
public final class Migration {
    public final long id;
    public final String member;
    public final List<SliceTransfer> transfers;

    /** Of the layout when it was opened. */
    public final long initialLayoutVersion;

    /** The member's utility then; 0 where none was told. */
    public final double initialUtility;

    MigrationState state = MigrationState.PLANNED;
    Duration since;
    PauseReason pauseReason;
    String pauseDetail;

    /** Digests by move. */
    final Map<Long, String> verifiedDigests = new TreeMap<>();

    int checkpointsOpened;
    Checkpoint openCheckpoint;
    Checkpoint passedCheckpoint;
    String rollbackReason;

    Migration(
            long id,
            String member,
            List<SliceTransfer> hops,
            long version,
            double utility,
            Duration at) {
        this.id = id;
        this.member = member;
        this.transfers = List.copyOf(hops);
        this.initialLayoutVersion = version;
        this.initialUtility = utility;
        this.since = at;
    }

    public MigrationState state() {
        return state;
    }

    public Duration since() {
        return since;
    }

    public boolean isPaused() {
        return pauseReason != null;
    }

    /** Null where it is not paused. */
    public PauseReason pauseReason() {
        return pauseReason;
    }

    public String pauseDetail() {
        return pauseDetail;
    }

    /** The checkpoint that waits for an operator; null where none does. */
    public Checkpoint openCheckpoint() {
        return openCheckpoint;
    }

    /** The one that was passed last; null before the first. */
    public Checkpoint passedCheckpoint() {
        return passedCheckpoint;
    }

    /** How many checkpoints it has opened. */
    public int checkpointsOpened() {
        return checkpointsOpened;
    }

    public String rollbackReason() {
        return rollbackReason;
    }

    /** Null where the slice is none of its own. */
    public SliceTransfer transferOf(int slice) {
        return transfers.stream().filter(hop -> hop.slice() == slice).findFirst().orElse(null);
    }

    MigrationRecord.Snapshot snapshot() {
        return new MigrationRecord.Snapshot(
                id,
                member,
                transfers,
                initialLayoutVersion,
                initialUtility,
                state,
                since,
                pauseReason,
                pauseDetail,
                new TreeMap<>(verifiedDigests),
                checkpointsOpened,
                openCheckpoint,
                passedCheckpoint,
                rollbackReason);
    }

    static Migration fromSnapshot(MigrationRecord.Snapshot one) {
        Migration made =
                new Migration(
                        one.id(),
                        one.member(),
                        one.transfers(),
                        one.initialLayoutVersion(),
                        one.initialUtility(),
                        one.since());
        made.state = one.state();
        made.pauseReason = one.pauseReason();
        made.pauseDetail = one.pauseDetail();
        made.verifiedDigests.putAll(one.verifiedDigests());
        made.checkpointsOpened = one.checkpointsOpened();
        made.openCheckpoint = one.openCheckpoint();
        made.passedCheckpoint = one.passedCheckpoint();
        made.rollbackReason = one.rollbackReason();
        return made;
    }

    /** One line for operators, which the layout service answers to their orders. */
    public String summary() {
        return "migration "
                + id
                + " of "
                + member
                + " "
                + state.wireName()
                + (isPaused() ? ", paused: " + pauseDetail : "")
                + (rollbackReason == null ? "" : ", back: " + rollbackReason);
    }

    @Override
    public String toString() {
        return summary();
    }
}
