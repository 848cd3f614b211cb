package postbeam.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;

/**
 * An attempt as a data node's connection carries it. The router marks it under its lock; the I/O
 * thread reads the marks.
 */
public class DispatchedAttempt {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The policy's view of it. */
    public final Attempt policyAttempt;

    /** Names it on the wire. */
    public final String id;

    public final int shard;

    /** What the node is sent; not to be changed. */
    public final byte[] payload;

    /** Header fields after the deadline, each with its comma; empty where slices don't move. */
    private final String headerFields;

    private final long deadlineNanos;
    private final ClientPresence clientPresence;
    private volatile boolean abandoned;

    /** Null where it may be written at any time. */
    private volatile SendDeadline sendDeadline;

    private record SendDeadline(long nanoTime, AttemptOutcome outcome) {}

    /**
     * Creates an attempt that is not written yet.
     *
     * @param deadlineNanos until when its answer is awaited, by {@link System#nanoTime}
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

    /** Nobody waits for it from here on: if it is not written yet, it never will be. */
    public void abandon() {
        abandoned = true;
    }

    /** Whether {@link #abandon} was called. */
    public boolean isAbandoned() {
        return abandoned;
    }

    /**
     * It must be written by this time, or else ends so. The earliest of several times counts.
     *
     * @param nanoTime by {@link System#nanoTime}
     */
    public void requireSentBy(long nanoTime, AttemptOutcome outcome) {
        SendDeadline current = sendDeadline;
        if (current == null || current.nanoTime - nanoTime > 0) {
            sendDeadline = new SendDeadline(nanoTime, outcome);
        }
    }

    /** How it ends unwritten, if it must not be written any more; null where it still may be. */
    public AttemptOutcome unsentOutcome() {
        if (abandoned) {
            return AttemptOutcome.NEVER_SENT;
        }
        SendDeadline current = sendDeadline;
        boolean pastDeadline = current != null && System.nanoTime() - current.nanoTime > 0;
        return pastDeadline ? current.outcome : null;
    }

    /**
     * Looks whether the clients of these attempts are still connected, just before the attempts are
     * written: one may have closed while they waited for a thread or a connection. Costs one read
     * that finds nothing for each query; to be called on the I/O thread.
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

    /** How long its answer will be awaited, in ms; at least 1. */
    public long remainingMillis() {
        return Math.max(1, (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI);
    }

    /** What stands before its payload in a frame. */
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
