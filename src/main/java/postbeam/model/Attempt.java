package postbeam.model;

import java.time.Duration;

/** One sending of a shard request to a data node. */
public final class Attempt {
    /** What was sent. */
    public final ShardRequest shardRequest;

    /** The node that it was sent to. */
    public final DataNode node;

    /** When it was sent. */
    public final Duration sentAt;

    /** How long its outcome is waited for; null where that is until the client gives up. */
    public final Duration timeout;

    /** Its place among the attempts of the shard request, from 0. */
    public final int index;

    private Duration sendDeadline;
    private boolean canary;
    private boolean cancellationRequested;
    private boolean ended;

    /** Creates an attempt that is in flight from now on, at its shard request and at its node. */
    public Attempt(ShardRequest shardRequest, DataNode node, Duration sentAt, Duration timeout) {
        this.shardRequest = shardRequest;
        this.node = node;
        this.sentAt = sentAt;
        this.timeout = timeout;
        this.index = shardRequest.attempts.size();
        shardRequest.add(this);
        node.add(this);
    }

    /** Its bytes may not be sent later than this; null where they may at any time. */
    public Duration sendDeadline() {
        return sendDeadline;
    }

    /** Its bytes may not be sent later than this. */
    public void limitSendTime(Duration at) {
        sendDeadline = at;
    }

    /**
     * Whether it goes ahead of its query's other requests, to show that the query crashes no node.
     */
    public boolean isCanary() {
        return canary;
    }

    /** It goes ahead of its query's other requests. */
    public void markCanary() {
        canary = true;
    }

    /** Whether it is no longer wanted, and its node is told so. */
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
        shardRequest.remove(this);
        node.remove(this);
    }
}
