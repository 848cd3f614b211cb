package postbeam.pages;

/**
 * The page that a client asks for: the order of rows, how many, and the cursor to go on from; null:
 * from the start.
 */
public record PageRequest(SortOrder order, int size, String cursor) {}
