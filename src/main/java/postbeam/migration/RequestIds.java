package postbeam.migration;

/**
 * Numbers the requests to nodes, so that a late answer to an earlier request is recognised as such.
 * One sequence is shared by all that send requests.
 */
final class RequestIds {
    private long last;

    long next() {
        last++;
        return last;
    }
}
