package postbeam.pages;

/**
 * A page and the cursor that continues it, as sent to a client.
 *
 * @param cursor the cursor to request the next page with; null on the last page
 */
public record PageResult(Page page, String cursor) {}
