/**
 * The layout service and the forms in which layouts, moves and migrations leave the process: JSON,
 * the journal on disk, HTTP and the frames to data nodes. What is decided stands in {@link
 * postbeam.slices} and {@link postbeam.migration}; this package carries it out.
 *
 * <ul>
 *   <li>{@link postbeam.layoutservice.LayoutService} wires the parts of the service and owns its
 *       threads; {@code LayoutController} owns its state under one lock; {@code LayoutHttpServer}
 *       translates HTTP; {@code LayoutRequestHandler} and {@code MigrationHandler} answer
 *       operators.
 *   <li>{@code MoveJournal} keeps the records of moves and migrations in a file; {@code
 *       JournalFrames} is the file's form and {@code JournalReader} reads it.
 *   <li>{@code HandoffClient} sends commands to data nodes, over a {@code HandoffConnection} each.
 *   <li>The codecs map between types and JSON; names of enum constants are mapped by {@code
 *       WireNames}.
 *   <li>{@link postbeam.layoutservice.LayoutWatch} is how a router follows the layout, and {@link
 *       postbeam.layoutservice.LayoutsCommand} the sub-command of operators.
 * </ul>
 *
 * <p>Nothing of this package is loaded unless a file of settings switches it on.
 */
package postbeam.layoutservice;
