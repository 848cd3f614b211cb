package postbeam.datanodes;

import postbeam.dispatch.DispatchedAttempt;

/** An attempt whose frame is being written or has been, and that has not ended. */
final class InFlightAttempt {
    private final DispatchedAttempt attempt;
    private boolean written;
    private long sinceNanos = System.nanoTime();

    InFlightAttempt(DispatchedAttempt attempt) {
        this.attempt = attempt;
    }

    DispatchedAttempt attempt() {
        return attempt;
    }

    /** Its frame's last byte has been written: the node may have run it. */
    void markWritten(long nowNanos) {
        written = true;
        sinceNanos = nowNanos;
    }

    boolean isWritten() {
        return written;
    }

    /** When its frame was written or, before that, begun. */
    long sinceNanos() {
        return sinceNanos;
    }
}
