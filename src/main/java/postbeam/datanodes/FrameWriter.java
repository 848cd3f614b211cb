package postbeam.datanodes;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.xnio.conduits.ConduitStreamSinkChannel;
import postbeam.dispatch.AttemptResult;
import postbeam.dispatch.DispatchedAttempt;
import postbeam.model.AttemptOutcome;

/**
 * Writes one connection's frames in their order; on the I/O thread alone. Just before a frame of
 * attempts is begun, and again before one that was cut short goes on, it is checked that each may
 * still be sent.
 */
final class FrameWriter {
    /** How far writing has come. */
    enum Progress {
        /** Nothing is left to write. */
        IDLE,
        /** The socket takes no more for now. */
        BLOCKED,
        /** A frame that was cut short holds an attempt that must not be sent any more. */
        ABANDONED
    }

    /** Told what becomes of queued attempts. */
    interface Listener {
        /** These will never be written. */
        void attemptsDropped(List<AttemptResult> results);

        /** The frame of these is begun. */
        void attemptsStarted(List<InFlightAttempt> attempts);
    }

    private final Listener listener;
    private final Deque<QueuedFrame> queue = new ArrayDeque<>();
    private int queuedAttempts;

    /** The frame that is being written; null between frames. */
    private ByteBuffer currentFrame;

    private long currentFrameSinceNanos;

    /** The attempts in that frame. */
    private List<InFlightAttempt> currentAttempts = List.of();

    FrameWriter(Listener listener) {
        this.listener = listener;
    }

    void enqueue(QueuedFrame frame) {
        queue.add(frame);
        if (frame instanceof QueuedFrame.Attempts batch) {
            queuedAttempts += batch.attempts().size();
        }
    }

    int queuedAttempts() {
        return queuedAttempts;
    }

    /** Whether a frame is partly written, or about to be. */
    boolean isWriting() {
        return currentFrame != null;
    }

    /** Whether the frame that is being written was begun longer ago than this. */
    boolean isStalled(Duration timeout) {
        return currentFrame != null
                && System.nanoTime() - currentFrameSinceNanos > timeout.toNanos();
    }

    /** Whether nobody waits any more for any of the queued attempts. */
    boolean isOnlyAbandonedQueued() {
        for (QueuedFrame frame : queue) {
            if (frame instanceof QueuedFrame.Attempts batch
                    && !batch.attempts().stream().allMatch(DispatchedAttempt::isAbandoned)) {
                return false;
            }
        }
        return true;
    }

    /** The attempts whose frames have not been begun. */
    List<DispatchedAttempt> queuedFrameAttempts() {
        List<DispatchedAttempt> attempts = new ArrayList<>();
        for (QueuedFrame frame : queue) {
            if (frame instanceof QueuedFrame.Attempts batch) {
                attempts.addAll(batch.attempts());
            }
        }
        return attempts;
    }

    /** Writes as much as the channel takes, and has it call again where that is not all. */
    Progress write(ConduitStreamSinkChannel channel) throws IOException {
        while (currentFrame != null || beginNextFrame()) {
            if (currentFrame.position() > 0 && isAnyUnsendable()) {
                return Progress.ABANDONED;
            }
            channel.write(currentFrame);
            if (currentFrame.hasRemaining()) {
                channel.resumeWrites();
                return Progress.BLOCKED;
            }
            finishFrame();
        }
        channel.suspendWrites();
        return Progress.IDLE;
    }

    private void finishFrame() {
        long now = System.nanoTime();
        currentAttempts.forEach(inFlight -> inFlight.markWritten(now));
        currentFrame = null;
        currentAttempts = List.of();
    }

    /**
     * Guards against a frame that stood half written while its client left, its node began to drain
     * or its time passed: its last byte would begin the attempt. It costs the other attempts on the
     * connection of a node that does not read.
     */
    private boolean isAnyUnsendable() {
        DispatchedAttempt.checkClientPresence(
                currentAttempts.stream().map(InFlightAttempt::attempt).toList());
        return currentAttempts.stream()
                .anyMatch(inFlight -> inFlight.attempt().unsentOutcome() != null);
    }

    /** False if nothing is queued that may be sent. */
    private boolean beginNextFrame() {
        while (!queue.isEmpty()) {
            QueuedFrame next = queue.poll();
            if (next instanceof QueuedFrame.Encoded encoded) {
                begin(encoded.bytes());
                return true;
            }
            List<DispatchedAttempt> sendable =
                    dequeueSendable(((QueuedFrame.Attempts) next).attempts());
            if (!sendable.isEmpty()) {
                begin(FrameCodec.encodeCall(sendable));
                currentAttempts = sendable.stream().map(InFlightAttempt::new).toList();
                listener.attemptsStarted(currentAttempts);
                return true;
            }
        }
        return false;
    }

    private void begin(ByteBuffer frame) {
        currentFrame = frame;
        currentFrameSinceNanos = System.nanoTime();
    }

    /** Those that may still be sent; the others end here. */
    private List<DispatchedAttempt> dequeueSendable(List<DispatchedAttempt> attempts) {
        queuedAttempts -= attempts.size();
        DispatchedAttempt.checkClientPresence(attempts);
        List<DispatchedAttempt> sendable = new ArrayList<>();
        List<AttemptResult> results = new ArrayList<>();
        for (DispatchedAttempt attempt : attempts) {
            AttemptOutcome outcome = attempt.unsentOutcome();
            if (outcome == null) {
                sendable.add(attempt);
            } else {
                results.add(new AttemptResult(attempt, outcome));
            }
        }
        if (!results.isEmpty()) {
            listener.attemptsDropped(results);
        }
        return sendable;
    }
}
