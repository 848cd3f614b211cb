package postbeam.pages;

/** A row: where it stands, and what it says. */
public record Row(RowPosition position, String text) {}
