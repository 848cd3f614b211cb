/**
 * Ordered pages over scattered shards: the total order of rows, which rows are fetched of which
 * keys, how they make a page, which rows are still due, and the cursor.
 *
 * <p>Decisions and state alone, with no I/O, clock or thread. {@link postbeam.pages.PageAssembler}
 * makes one page; {@link postbeam.pages.CursorCodec} and {@link postbeam.pages.RowCodec} are the
 * forms on the wire. docs/ordered-pages.md has the argument and the costs.
 */
package postbeam.pages;
