package postbeam.model;

import java.time.Duration;

/** One sending of a part to a data node. */
public final class Attempt {
    public final ShardRequest shardRequest;
    public final DataNode node;
    public final Duration sentAt;

    /** Null: until the client gives up. */
    public final Duration timeout;

    /** Place among the leaf calls of the part, from 0. */
    public final int index;

    /**
     * Its bytes may not go later than this, however long they wait for their turn; null: at any
     * time.
     */
    private Duration sendDeadline;

    /** It went ahead of its query's other parts. */
    private boolean canary;

    private boolean cancellationRequested;
    private boolean ended;

    public Attempt(ShardRequest request, DataNode node, Duration sentAt, Duration timeout) {
        this.shardRequest = request;
        this.node = node;
        this.sentAt = sentAt;
        this.timeout = timeout;
        this.index = request.attempts.size();
        request.attempts.add(this);
        request.attemptsInFlight.add(this);
        node.attemptsInFlight.add(this);
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
        shardRequest.attemptsInFlight.remove(this);
        node.attemptsInFlight.remove(this);
    }
}
