package postbeam.pages;

/**
 * A client's request for a page.
 *
 * @param size number of rows of a full page
 * @param cursor the cursor that came with the previous page; null for the first page
 */
public record PageRequest(SortOrder order, int size, String cursor) {}
