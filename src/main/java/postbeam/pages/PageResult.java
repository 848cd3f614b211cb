package postbeam.pages;

/** A page and the cursor for what follows it; null: nothing does. */
public record PageResult(Page page, String cursor) {}
