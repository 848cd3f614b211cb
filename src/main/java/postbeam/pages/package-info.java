/**
 * Ordered pages over many shards: the total order of rows, which rows are fetched of which key
 * ranges, how they are merged into a page, which rows remain for later pages, and the cursor.
 *
 * <p>The package has no I/O, clock or threads. {@link postbeam.pages.PageAssembler} assembles one
 * page; {@link postbeam.pages.CursorCodec} and {@link postbeam.pages.RowCodec} encode the forms on
 * the wire. docs/ordered-pages.md explains the design and the costs.
 */
package postbeam.pages;
