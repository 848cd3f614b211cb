package postbeam.simulator;

import java.time.Duration;

/** Writes one simulated router's actions as lines of the simulator's wire protocol. */
final class ActionWriter {
    private static final long NANOS_PER_MICRO = 1000;

    private final int routerId;
    private final StringBuilder out;

    ActionWriter(int routerId, StringBuilder out) {
        this.routerId = routerId;
        this.out = out;
    }

    /**
     * Writes the action that sends an attempt of a shard request to a node; a null timeout stands
     * for the client's timeout.
     */
    void attempt(String requestId, String node, Duration timeout) {
        write("ATTEMPT", requestId, node, microsOrZero(timeout));
    }

    /** Cancels an attempt, identified by its index among those of its shard request. */
    void cancel(String requestId, int attemptIndex) {
        write("RECALL", requestId, attemptIndex);
    }

    /** Answers a query, completely or partially. */
    void answer(String queryId, boolean complete) {
        write("WRAP_UP", queryId, complete ? 1 : 0);
    }

    /** Rejects a query; a null or zero Retry-After means that none is given. */
    void reject(String queryId, Duration retryAfter) {
        write("REJECT", queryId, microsOrZero(retryAfter));
    }

    /** Aborts a query with an error. */
    void abort(String queryId) {
        write("REPORT_FAILURE", queryId);
    }

    /**
     * Writes the action that sets a timer; the expiry event of the timer carries the same cookie.
     */
    void setTimer(Duration wait, int cookie) {
        write("DEFER", wait.toNanos() / NANOS_PER_MICRO, cookie);
    }

    /** Probes a node's health. */
    void probe(String node) {
        write("SAMPLE", node);
    }

    /** Polls discovery for the endpoint list. */
    void pollDiscovery() {
        write("OBSERVE", 1);
    }

    /** Writes a log line of the policy. */
    void log(String text) {
        write("TRACE", text);
    }

    /** Reports an exception of the policy, with the code location that threw it. */
    void reportPolicyFailure(RuntimeException e) {
        StackTraceElement[] stack = e.getStackTrace();
        String place = stack.length == 0 ? "an unknown place" : stack[0].toString();
        write("PANIC", String.valueOf(e).replaceAll("\\s", " ") + " at " + place);
    }

    private static long microsOrZero(Duration duration) {
        return duration == null ? 0 : duration.toNanos() / NANOS_PER_MICRO;
    }

    private void write(String action, Object... fields) {
        out.append(action).append('\t').append(routerId);
        for (Object field : fields) {
            out.append('\t').append(field);
        }
        out.append('\n');
    }
}
