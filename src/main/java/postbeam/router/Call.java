package postbeam.router;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import postbeam.dispatch.ClientPresence;
import postbeam.state.LeafCall;
import postbeam.state.Outcome;

/** A leaf call as the network sees it. */
public class Call {
    public final LeafCall leaf;

    /** Its part's id, the shard and the text to carry. */
    public final String id;

    public final int shard;
    public final byte[] text;

    /** What a data node is told beside how long is waited; empty but where slices move. */
    private final String more;

    private final long untilNanos;
    private final ClientPresence client;
    private volatile boolean over;

    /** How it ends where it is not written by then; null: it may be written at any time. */
    private volatile Limit limit;

    private record Limit(long nanos, Outcome outcome) {}

    public Call(
            ClientPresence client,
            LeafCall leaf,
            String id,
            String more,
            byte[] text,
            long untilNanos) {
        this.client = client;
        this.leaf = leaf;
        this.shard = leaf.part.shard;
        this.id = id;
        this.more = more;
        this.text = text;
        this.untilNanos = untilNanos;
    }

    /** Nobody waits for it from here on. */
    public void end() {
        over = true;
    }

    /** Nobody waits for it any more: what is not written yet is not to be written. */
    public boolean over() {
        return over;
    }

    /** It is not to be written after this; where it is not by then it ends so. */
    public void notAfter(long nanos, Outcome outcome) {
        Limit held = limit;
        if (held == null || held.nanos - nanos > 0) {
            limit = new Limit(nanos, outcome);
        }
    }

    /**
     * How it ends as not written, where it is not to be written any more; null where it still may
     * be.
     */
    public Outcome unsendable() {
        Limit held = limit;
        return over
                ? Outcome.NEVER_SENT
                : held != null && System.nanoTime() - held.nanos > 0 ? held.outcome : null;
    }

    /**
     * Looks at the connections of their clients, on the I/O thread and just before the calls are
     * written. Guards against a client that closed while a call waited its turn: for a thread, a
     * connection to the node, or a router that is late. It costs a read that finds nothing for each
     * query.
     */
    public static void checkClients(Collection<Call> calls) {
        Set<ClientPresence> clients = new LinkedHashSet<>();
        for (Call call : calls) {
            if (!call.over) {
                clients.add(call.client);
            }
        }
        clients.forEach(ClientPresence::check);
    }

    /** How long its answer will be waited for; at least 1. */
    public long millisLeft() {
        return Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000);
    }

    /** The first bytes that stand for it in a frame, up to its text. */
    public byte[] head() {
        return (id + " " + shard + " d=" + millisLeft() + more + " " + text.length + "\n")
                .getBytes(StandardCharsets.UTF_8);
    }
}
