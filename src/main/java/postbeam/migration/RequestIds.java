package postbeam.migration;

/**
 * Assigns ids to requests to nodes, so that a late response to an earlier request is recognized.
 * All senders of requests share one sequence.
 */
final class RequestIds {
    private long last;

    long next() {
        last++;
        return last;
    }
}
