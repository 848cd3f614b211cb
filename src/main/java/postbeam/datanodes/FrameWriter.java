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
 * Writes one connection's frames in the order in which they were queued. Used only on the I/O
 * thread. Checks that each attempt of a frame may still be sent, directly before the frame is
 * started and before each further write of a partly written frame.
 */
final class FrameWriter {
    /** State of the writer after a call of {@link #write}. */
    enum Progress {
        /** The queue is empty and no frame is partly written. */
        IDLE,
        /** The socket buffer is full; writing continues when the socket is writable again. */
        BLOCKED,
        /**
         * The partly written frame holds an attempt that must not be sent any more; the connection
         * has to be closed.
         */
        ABANDONED
    }

    /** Receives the progress of queued attempts. */
    interface Listener {
        /** Reports attempts that are dropped without being written. */
        void attemptsDropped(List<AttemptResult> results);

        /** Reports the attempts of the frame that is written next. */
        void attemptsStarted(List<InFlightAttempt> attempts);
    }

    private final Listener listener;
    private final Deque<QueuedFrame> queue = new ArrayDeque<>();
    private int queuedAttempts;

    /** Rest of the frame that is being written; null between frames. */
    private ByteBuffer currentFrame;

    private long currentFrameSinceNanos;

    /** Attempts in {@link #currentFrame}; empty for a frame without attempts. */
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

    /** Returns whether a frame has been started and is not completely written. */
    boolean isWriting() {
        return currentFrame != null;
    }

    /** Returns whether the current frame was started longer ago than the timeout. */
    boolean isStalled(Duration timeout) {
        return currentFrame != null
                && System.nanoTime() - currentFrameSinceNanos > timeout.toNanos();
    }

    /** Returns whether all queued attempts are abandoned; true if none is queued. */
    boolean isOnlyAbandonedQueued() {
        for (QueuedFrame frame : queue) {
            if (frame instanceof QueuedFrame.Attempts batch
                    && !batch.attempts().stream().allMatch(DispatchedAttempt::isAbandoned)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the attempts whose frames have not been started. */
    List<DispatchedAttempt> queuedFrameAttempts() {
        List<DispatchedAttempt> attempts = new ArrayList<>();
        for (QueuedFrame frame : queue) {
            if (frame instanceof QueuedFrame.Attempts batch) {
                attempts.addAll(batch.attempts());
            }
        }
        return attempts;
    }

    /** Writes as much as the channel accepts; resumes write notifications if frames are left. */
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
     * Returns whether an attempt of the current frame must not be sent any more. While a frame is
     * partly written, a client may disconnect, the node may start to drain or a deadline may
     * expire; the last byte of the frame would start the attempt all the same. The close that
     * follows also ends the other attempts on the connection, whose node does not read from its
     * socket.
     */
    private boolean isAnyUnsendable() {
        DispatchedAttempt.checkClientPresence(
                currentAttempts.stream().map(InFlightAttempt::attempt).toList());
        return currentAttempts.stream()
                .anyMatch(inFlight -> inFlight.attempt().unsentOutcome() != null);
    }

    /** Starts the next frame that may be sent; returns false if there is none. */
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

    /** Returns the attempts that may still be sent, and reports the others as dropped. */
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
