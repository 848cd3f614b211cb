package postbeam.pages;

/** A row of a query's result: its position in the sort order, and its content. */
public record Row(RowPosition position, String text) {}
