package postbeam.pages;

/**
 * A page for a client.
 *
 * @param cursor to ask for the next page with; null where this is the last
 */
public record PageResult(Page page, String cursor) {}
