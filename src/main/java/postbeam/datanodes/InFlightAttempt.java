package postbeam.datanodes;

import postbeam.dispatch.DispatchedAttempt;

/** An attempt whose frame has been started or written, and that has not ended. */
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

    /** Records that the last byte of the frame was written; from now on the node may run it. */
    void markWritten(long nowNanos) {
        written = true;
        sinceNanos = nowNanos;
    }

    boolean isWritten() {
        return written;
    }

    /** Returns when the frame was written or, until then, when it was started. */
    long sinceNanos() {
        return sinceNanos;
    }
}
