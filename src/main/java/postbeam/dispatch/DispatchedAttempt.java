package postbeam.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import postbeam.model.Attempt;
import postbeam.model.AttemptOutcome;

/** A leaf call as the network sees it. */
public class DispatchedAttempt {
    public final Attempt attempt;

    /** Its part's id, the shard and the text to carry. */
    public final String id;

    public final int shard;
    public final byte[] payload;

    /** What a data node is told beside how long is waited; empty but where slices move. */
    private final String headerFields;

    private final long deadlineNanos;
    private final ClientPresence client;
    private volatile boolean abandoned;

    /** How it ends where it is not written by then; null: it may be written at any time. */
    private volatile SendDeadline sendDeadline;

    private record SendDeadline(long nanos, AttemptOutcome outcome) {}

    public DispatchedAttempt(
            ClientPresence client,
            Attempt attempt,
            String id,
            String more,
            byte[] text,
            long untilNanos) {
        this.client = client;
        this.attempt = attempt;
        this.shard = attempt.shardRequest.shard;
        this.id = id;
        this.headerFields = more;
        this.payload = text;
        this.deadlineNanos = untilNanos;
    }

    /** Nobody waits for it from here on. */
    public void abandon() {
        abandoned = true;
    }

    /** Nobody waits for it any more: what is not written yet is not to be written. */
    public boolean abandoned() {
        return abandoned;
    }

    /** It is not to be written after this; where it is not by then it ends so. */
    public void requireSentBy(long nanos, AttemptOutcome outcome) {
        SendDeadline held = sendDeadline;
        if (held == null || held.nanos - nanos > 0) {
            sendDeadline = new SendDeadline(nanos, outcome);
        }
    }

    /**
     * How it ends as not written, where it is not to be written any more; null where it still may
     * be.
     */
    public AttemptOutcome unsentOutcome() {
        SendDeadline held = sendDeadline;
        return abandoned
                ? AttemptOutcome.NEVER_SENT
                : held != null && System.nanoTime() - held.nanos > 0 ? held.outcome : null;
    }

    /**
     * Looks at the connections of their clients, on the I/O thread and just before the calls are
     * written. Guards against a client that closed while a call waited its turn: for a thread, a
     * connection to the node, or a router that is late. It costs a read that finds nothing for each
     * query.
     */
    public static void checkClientPresence(Collection<DispatchedAttempt> calls) {
        Set<ClientPresence> clients = new LinkedHashSet<>();
        for (DispatchedAttempt call : calls) {
            if (!call.abandoned) {
                clients.add(call.client);
            }
        }
        clients.forEach(ClientPresence::check);
    }

    /** How long its answer will be waited for; at least 1. */
    public long remainingMillis() {
        return Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000);
    }

    /** The first bytes that stand for it in a frame, up to its text. */
    public byte[] frameHeader() {
        return (id
                        + " "
                        + shard
                        + " d="
                        + remainingMillis()
                        + headerFields
                        + " "
                        + payload.length
                        + "\n")
                .getBytes(StandardCharsets.UTF_8);
    }
}
