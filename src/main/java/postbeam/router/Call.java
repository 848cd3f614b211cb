package postbeam.router;

import java.nio.charset.StandardCharsets;
import postbeam.pages.Partial;
import postbeam.state.LeafCall;

/** A leaf call as the network sees it. */
public final class Call {
    final LeafCall leaf;
    /** Its part's id, the shard and the text to carry. */
    public final String id;
    public final int shard;
    public final byte[] text;
    /** What a data node is told beside how long is waited; empty but where slices move. */
    private final String more;
    private final long untilNanos;
    private volatile boolean over;
    /** Reads what comes for a page; null where none was asked for. */
    final Paged paged;
    /** What was read of it. */
    Partial rows;

    Call(LeafCall leaf, String id, String more, byte[] text, long untilNanos, Paged paged) {
        this.leaf = leaf;
        this.shard = leaf.part.shard;
        this.id = id;
        this.more = more;
        this.text = text;
        this.untilNanos = untilNanos;
        this.paged = paged;
    }

    void end() {
        over = true;
    }

    /** Nobody waits for it any more: what is not written yet is not to be written. */
    public boolean over() {
        return over;
    }

    /** How long its answer will be waited for; at least 1. */
    public long millisLeft() {
        return Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000);
    }

    /** The first bytes that stand for it in a frame, up to its text. */
    public byte[] head() {
        return (id + " " + shard + " d=" + millisLeft() + more + " " + text.length + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
