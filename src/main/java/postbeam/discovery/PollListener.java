package postbeam.discovery;

/**
 * Is told how each poll of a watched document ended, except for polls that were pending while the
 * process was suspended. Called on the watcher's thread.
 */
public interface PollListener {
    /** Listener that ignores all calls. */
    PollListener NONE =
            new PollListener() {
                @Override
                public void onResponse() {}

                @Override
                public void onNoResponse() {}

                @Override
                public void onRejectedResponse(String reason) {}
            };

    /** The poll was answered, with or without changes. */
    void onResponse();

    /** No complete response arrived. */
    void onNoResponse();

    /**
     * A response arrived that can't be used.
     *
     * @param reason a clause without a full stop
     */
    void onRejectedResponse(String reason);
}
