package postbeam.state;

import java.time.Duration;

/** One sending of a part to a data node. */
public final class LeafCall {
    public final Part part;
    public final DataNode node;
    public final Duration sentAt;

    /** Null: until the client gives up. */
    public final Duration timeout;

    /** Place among the leaf calls of the part, from 0. */
    public final int number;

    /**
     * Its bytes may not go later than this, however long they wait for their turn; null: at any
     * time.
     */
    private Duration sendDeadline;

    /** It went ahead of its query's other parts. */
    private boolean canary;

    private boolean cancellationRequested;
    private boolean ended;

    public LeafCall(Part part, DataNode node, Duration sentAt, Duration timeout) {
        this.part = part;
        this.node = node;
        this.sentAt = sentAt;
        this.timeout = timeout;
        this.number = part.calls.size();
        part.calls.add(this);
        part.out.add(this);
        node.out.add(this);
    }

    /** Its bytes may not be sent later than this; null where they may at any time. */
    public Duration sendDeadline() {
        return sendDeadline;
    }

    /** Its bytes may not be sent later than this. */
    public void limitSendTime(Duration at) {
        sendDeadline = at;
    }

    /** Whether it goes ahead of its query's other parts, to show that the query crashes no node. */
    public boolean isCanary() {
        return canary;
    }

    /** It goes ahead of its query's other parts. */
    public void markCanary() {
        canary = true;
    }

    /** Whether it is no longer wanted, and the node is told so. */
    public boolean isCancellationRequested() {
        return cancellationRequested;
    }

    /** It is no longer wanted. */
    public void requestCancellation() {
        cancellationRequested = true;
    }

    /** Whether its outcome is known. */
    public boolean hasEnded() {
        return ended;
    }

    /** Its outcome is known: it is in flight no more. */
    public void end() {
        ended = true;
        part.out.remove(this);
        node.out.remove(this);
    }
}
