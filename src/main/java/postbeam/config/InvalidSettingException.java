package postbeam.config;

/** Reports a setting that can't be used; the message has its path and the reason. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception whose message is the setting's path and a clause without a full stop.
     */
    public InvalidSettingException(String message) {
        super(message);
    }
}
