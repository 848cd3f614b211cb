package postbeam.datanodes;

import java.nio.ByteBuffer;
import java.util.List;
import postbeam.dispatch.DispatchedAttempt;

/** A frame that waits to be written. */
sealed interface QueuedFrame {
    /**
     * Attempts that travel together; encoded when they are written, as the time left is in them.
     */
    record Attempts(List<DispatchedAttempt> attempts) implements QueuedFrame {}

    /** Bytes that do not change while they wait. */
    record Encoded(ByteBuffer bytes) implements QueuedFrame {}
}
