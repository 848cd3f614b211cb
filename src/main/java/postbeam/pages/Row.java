package postbeam.pages;

/** A row: its position in the sort order, and its content. */
public record Row(RowPosition position, String text) {}
