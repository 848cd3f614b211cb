package postbeam.pages;

/**
 * The page that a client asks for.
 *
 * @param size rows of a full page
 * @param cursor of the page before; null for the first page
 */
public record PageRequest(SortOrder order, int size, String cursor) {}
