package postbeam.datanodes;

import java.nio.ByteBuffer;
import java.util.List;
import postbeam.dispatch.DispatchedAttempt;

/** A frame that is queued for writing. */
sealed interface QueuedFrame {
    /**
     * Attempts that share one frame. They are encoded when they are written, as the frame states
     * the time left until each deadline.
     */
    record Attempts(List<DispatchedAttempt> attempts) implements QueuedFrame {}

    /** A frame that is encoded when it is queued, as its bytes do not depend on the time. */
    record Encoded(ByteBuffer bytes) implements QueuedFrame {}
}
