package postbeam.datanodes;

/**
 * A frame, or a part of one, that does not follow the protocol: its connection can't be used any
 * more.
 */
final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String problem) {
        super(problem);
    }
}
