package postbeam.datanodes;

/**
 * Thrown for a frame, or a part of one, that does not follow the protocol. The connection it came
 * on can't be used any more.
 */
final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String problem) {
        super(problem);
    }
}
