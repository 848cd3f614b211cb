package postbeam.migration;

import java.time.Duration;
import postbeam.slices.Move;

/** What must hold before the new side takes over from the old one. */
interface SwitchConditions {
    /** Whether both replicas of the move's slice have been found equal. */
    boolean isVerified(Migration migration, Move move);

    /** Whether no router can use a layout older than this version any more. */
    boolean allRoutersAcknowledged(long layoutVersion, Duration now);
}
