package postbeam.endpoints;

/**
 * Decides what a watcher requests next: the complete document, or what has changed since the
 * version that it holds. A failed poll loses nothing: the changes that its response had are those
 * since the held version, and are requested again. Uses no I/O, clock or thread.
 */
public final class PollPlan {
    /** Stands for the version of a poll that names none. */
    public static final long NO_VERSION = -1;

    /** What a poll requests. */
    public enum Request {
        /** The complete document. */
        COMPLETE,
        /** Changes since the held version, at once. */
        CATCH_UP,
        /** Changes since the held version, when there are any. */
        LONG_POLL
    }

    /** Why a poll failed. */
    public enum Failure {
        /** Nothing listens: the server may have restarted and count versions anew. */
        CONNECTION_REFUSED,
        /** The response is missing or incomplete, or the server is overloaded. */
        NO_RESPONSE,
        /** The response can't be used. Another response to the same request may be no better. */
        REJECTED
    }

    /**
     * One poll in this many consecutive failures requests the complete document, in case the server
     * answers no requests for changes. Few do, as an outage would otherwise cost a list of
     * thousands of nodes at each router.
     */
    private static final int COMPLETE_INTERVAL = 4;

    /**
     * The same for a server whose last response to a request for changes was late: it answers such
     * requests, and a complete document would make it slower.
     */
    private static final int SLOW_SERVER_COMPLETE_INTERVAL = 16;

    private final boolean sendsChanges;
    private Request next = Request.COMPLETE;
    private long version = NO_VERSION;
    private int consecutiveFailures;
    private int completeInterval = COMPLETE_INTERVAL;

    /** Number of unusable responses since the last update. */
    private int rejections;

    /**
     * Creates a plan that starts with the complete document.
     *
     * @param sendsChanges whether the server answers a request for changes with less than the
     *     complete document; otherwise the complete document is requested after each failure
     */
    public PollPlan(boolean sendsChanges) {
        this.sendsChanges = sendsChanges;
    }

    /** Returns what to request next. */
    public Request next() {
        return next;
    }

    /** Returns the version to name in the next request; {@link #NO_VERSION} if it names none. */
    public long version() {
        return next == Request.COMPLETE ? NO_VERSION : version;
    }

    /** Returns the number of failed or overdue polls since the last update. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Returns the number of unusable responses since the last update. */
    public int rejections() {
        return rejections;
    }

    /**
     * Records a response.
     *
     * @param answered what the answered poll requested
     * @param newVersion version of the response, changed or not
     */
    public void onUpdate(Request answered, long newVersion) {
        boolean lateChanges = answered != Request.COMPLETE && consecutiveFailures > 0;
        completeInterval = lateChanges ? SLOW_SERVER_COMPLETE_INTERVAL : COMPLETE_INTERVAL;
        version = newVersion;
        next = Request.LONG_POLL;
        consecutiveFailures = 0;
        rejections = 0;
    }

    /** Records a failed poll, or one that is overdue and may still be answered. */
    public void onFailure(Failure failure) {
        consecutiveFailures++;
        if (failure == Failure.REJECTED) {
            rejections++;
        }
        if (!sendsChanges || failure != Failure.NO_RESPONSE) {
            version = NO_VERSION;
        }
        boolean complete = version == NO_VERSION || consecutiveFailures % completeInterval == 0;
        next = complete ? Request.COMPLETE : Request.CATCH_UP;
    }
}
