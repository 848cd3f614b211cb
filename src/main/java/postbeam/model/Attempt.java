package postbeam.model;

import java.time.Duration;

/** One attempt to execute a shard request at a data node. */
public final class Attempt {
    /** The shard request that was sent. */
    public final ShardRequest shardRequest;

    /** The node that it was sent to. */
    public final DataNode node;

    /** When it was sent. */
    public final Duration sentAt;

    /** How long its outcome is awaited; null for the client's deadline. */
    public final Duration timeout;

    /** Its index among the attempts of the shard request. */
    public final int index;

    private Duration sendDeadline;
    private boolean canary;
    private boolean cancellationRequested;
    private boolean ended;

    /** Creates an attempt and registers it as in flight with its shard request and its node. */
    public Attempt(ShardRequest shardRequest, DataNode node, Duration sentAt, Duration timeout) {
        this.shardRequest = shardRequest;
        this.node = node;
        this.sentAt = sentAt;
        this.timeout = timeout;
        this.index = shardRequest.attempts.size();
        shardRequest.add(this);
        node.add(this);
    }

    /** Time after which it must not be sent; null for no limit. */
    public Duration sendDeadline() {
        return sendDeadline;
    }

    /** Sets the time after which it must not be sent; null for no limit. */
    public void setSendDeadline(Duration sendDeadline) {
        this.sendDeadline = sendDeadline;
    }

    /**
     * Whether it is a canary: sent before its query's other requests, to find out whether the query
     * crashes nodes.
     */
    public boolean isCanary() {
        return canary;
    }

    /** Marks it as a canary. */
    public void markCanary() {
        canary = true;
    }

    /** Whether its cancellation was requested. */
    public boolean isCancellationRequested() {
        return cancellationRequested;
    }

    /** Records that its cancellation was requested. */
    public void requestCancellation() {
        cancellationRequested = true;
    }

    /** Whether its outcome is known. */
    public boolean hasEnded() {
        return ended;
    }

    /** Records that its outcome is known, and removes it from what is in flight. */
    public void end() {
        ended = true;
        shardRequest.remove(this);
        node.remove(this);
    }
}
