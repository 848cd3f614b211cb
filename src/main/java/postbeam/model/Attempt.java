package postbeam.model;

import java.time.Duration;

/** One attempt to execute a shard request at a data node. */
public final class Attempt {
    /** The shard request that this attempt executes. */
    public final ShardRequest shardRequest;

    /** The data node that the attempt was sent to. */
    public final DataNode node;

    /** Time at which the attempt was sent. */
    public final Duration sentAt;

    /**
     * Time after the sending for which the outcome is awaited; null if it is awaited until the
     * client's deadline.
     */
    public final Duration timeout;

    /** Index of this attempt among the attempts of the shard request, from 0. */
    public final int index;

    private Duration sendDeadline;
    private boolean canary;
    private boolean cancellationRequested;
    private boolean ended;

    /**
     * Creates an attempt and registers it as in flight with its shard request and its node. A null
     * timeout means that the outcome is awaited until the client's deadline.
     */
    public Attempt(ShardRequest shardRequest, DataNode node, Duration sentAt, Duration timeout) {
        this.shardRequest = shardRequest;
        this.node = node;
        this.sentAt = sentAt;
        this.timeout = timeout;
        this.index = shardRequest.attempts.size();
        shardRequest.add(this);
        node.add(this);
    }

    /** Returns the time after which the attempt must not be sent; null if there is no limit. */
    public Duration sendDeadline() {
        return sendDeadline;
    }

    /** Sets the time after which the attempt must not be sent; null if there is no limit. */
    public void setSendDeadline(Duration sendDeadline) {
        this.sendDeadline = sendDeadline;
    }

    /**
     * Returns whether the attempt is a canary: sent before the other requests of its query, to find
     * out whether the query crashes data nodes.
     */
    public boolean isCanary() {
        return canary;
    }

    /** Marks the attempt as a canary. */
    public void markCanary() {
        canary = true;
    }

    /** Returns whether cancellation of the attempt was requested. */
    public boolean isCancellationRequested() {
        return cancellationRequested;
    }

    /** Records that cancellation of the attempt was requested. */
    public void requestCancellation() {
        cancellationRequested = true;
    }

    /** Returns whether the outcome of the attempt is known. */
    public boolean hasEnded() {
        return ended;
    }

    /**
     * Records that the outcome is known, and removes the attempt from those in flight at its shard
     * request and its node.
     */
    public void end() {
        ended = true;
        shardRequest.remove(this);
        node.remove(this);
    }
}
