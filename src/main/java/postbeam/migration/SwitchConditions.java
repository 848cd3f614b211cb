package postbeam.migration;

import java.time.Duration;
import postbeam.slices.Move;

/** Conditions for the switch from the sources of a migration to its targets. */
interface SwitchConditions {
    /** Whether the replicas of the move's slice at source and target were found equal. */
    boolean isVerified(Migration migration, Move move);

    /** Whether no router can still use a layout older than this version. */
    boolean allRoutersAcknowledged(long layoutVersion, Duration now);
}
