package postbeam.config;

/** A setting that can't be used; the message names it and says why. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** The message is the setting's path and a clause without a full stop. */
    public InvalidSettingException(String message) {
        super(message);
    }
}
