package postbeam.router;

import java.util.Optional;
import postbeam.discovery.PollListener;

/**
 * Tracks whether discovery's endpoint list is followed. A list that can't be used, for example
 * because it is too long, leaves the last one in force although nothing else has failed. Updated by
 * the thread that watches discovery, read by those that serve health checks.
 */
final class EndpointListStatus implements PollListener {
    private final Runnable onPollEnd;

    /** Why the last list can't be used; null if it can. */
    private volatile String rejection;

    /**
     * Creates a status without a warning.
     *
     * @param onPollEnd run after each poll, whether it succeeded or failed
     */
    EndpointListStatus(Runnable onPollEnd) {
        this.onPollEnd = onPollEnd;
    }

    @Override
    public void onResponse() {
        rejection = null;
        onPollEnd.run();
    }

    /** {@inheritDoc} The last list that was rejected stays the reason of the warning. */
    @Override
    public void onNoResponse() {
        onPollEnd.run();
    }

    @Override
    public void onRejectedResponse(String reason) {
        rejection = reason;
        onPollEnd.run();
    }

    /** Returns a warning for operators while the list is not followed. */
    Optional<String> warning() {
        return Optional.ofNullable(rejection)
                .map(reason -> "the endpoint list is not followed: " + reason);
    }
}
