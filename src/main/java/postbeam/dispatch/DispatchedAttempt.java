package postbeam.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;

/**
 * An attempt as the connection to a data node handles it. The router changes its state under its
 * lock, and the I/O thread reads that state.
 */
public class DispatchedAttempt {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The attempt as the routing policy knows it. */
    public final Attempt policyAttempt;

    /** Identifies the attempt in frames. */
    public final String id;

    public final int shard;

    /** Bytes that are sent to the data node; not to be modified. */
    public final byte[] payload;

    /**
     * Header fields that follow the deadline, each preceded by a comma; empty if slices don't move.
     */
    private final String headerFields;

    private final long deadlineNanos;
    private final ClientPresence clientPresence;
    private volatile boolean abandoned;

    /** Time by which the attempt must be written; null if there is no limit. */
    private volatile SendDeadline sendDeadline;

    private record SendDeadline(long nanoTime, AttemptOutcome outcome) {}

    /**
     * Creates an attempt that has not been written yet.
     *
     * @param deadlineNanos time until which the answer is awaited, on the clock of {@link
     *     System#nanoTime}
     */
    public DispatchedAttempt(
            ClientPresence clientPresence,
            Attempt policyAttempt,
            String id,
            String headerFields,
            byte[] payload,
            long deadlineNanos) {
        this.clientPresence = clientPresence;
        this.policyAttempt = policyAttempt;
        this.shard = policyAttempt.shardRequest.shard;
        this.id = id;
        this.headerFields = headerFields;
        this.payload = payload;
        this.deadlineNanos = deadlineNanos;
    }

    /**
     * Records that the answer is no longer awaited. If the attempt has not been written yet, it
     * never will be.
     */
    public void abandon() {
        abandoned = true;
    }

    /** Returns whether {@link #abandon} was called. */
    public boolean isAbandoned() {
        return abandoned;
    }

    /**
     * Requires that the attempt is written by this time; otherwise it ends with this outcome
     * without being written. If called several times, the earliest time applies.
     *
     * @param nanoTime time on the clock of {@link System#nanoTime}
     */
    public void requireSentBy(long nanoTime, AttemptOutcome outcome) {
        SendDeadline current = sendDeadline;
        if (current == null || current.nanoTime - nanoTime > 0) {
            sendDeadline = new SendDeadline(nanoTime, outcome);
        }
    }

    /**
     * Returns the outcome with which the attempt ends if it must not be written any more; null if
     * it may still be written.
     */
    public AttemptOutcome unsentOutcome() {
        if (abandoned) {
            return AttemptOutcome.NEVER_SENT;
        }
        SendDeadline current = sendDeadline;
        boolean pastDeadline = current != null && System.nanoTime() - current.nanoTime > 0;
        return pastDeadline ? current.outcome : null;
    }

    /**
     * Checks whether the clients of these attempts are still connected, just before the attempts
     * are written. A client may have disconnected while they waited for a thread or a connection.
     * The check costs one read without data per query, and must be made on the I/O thread.
     */
    public static void checkClientPresence(Collection<DispatchedAttempt> attempts) {
        Set<ClientPresence> clients = new LinkedHashSet<>();
        for (DispatchedAttempt attempt : attempts) {
            if (!attempt.abandoned) {
                clients.add(attempt.clientPresence);
            }
        }
        clients.forEach(ClientPresence::check);
    }

    /**
     * Returns whether the call names the keys of its slice and the layout version, so that the node
     * can know that it does not hold the slice.
     */
    public boolean namesSlice() {
        return !headerFields.isEmpty();
    }

    /** Returns how long the answer is still awaited, in milliseconds; at least 1. */
    public long remainingMillis() {
        return Math.max(1, (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI);
    }

    /** Returns the header of the attempt in a frame, which precedes its payload. */
    public byte[] frameHeader() {
        String header =
                id
                        + " "
                        + shard
                        + " d="
                        + remainingMillis()
                        + headerFields
                        + " "
                        + payload.length
                        + "\n";
        return header.getBytes(StandardCharsets.UTF_8);
    }
}
