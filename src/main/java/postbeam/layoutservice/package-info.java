/**
 * The layout service and the external formats of layouts, moves and migrations: JSON, the journal
 * on disk, HTTP and the frames to data nodes. The packages {@link postbeam.slices} and {@link
 * postbeam.migration} make the decisions; this package executes them.
 *
 * <ul>
 *   <li>{@link postbeam.layoutservice.LayoutService} connects the components of the service and
 *       owns its threads; {@code LayoutController} owns its state under one lock; {@code
 *       LayoutHttpServer} translates HTTP; {@code LayoutRequestHandler} and {@code
 *       MigrationHandler} handle the requests of operators.
 *   <li>{@code MoveJournal} keeps the records of moves and migrations in a file; {@code
 *       JournalFrames} is the file format and {@code JournalReader} reads it.
 *   <li>{@code HandoffClient} sends commands to data nodes, over one {@code HandoffConnection} per
 *       node.
 *   <li>The codecs map between types and JSON; {@code WireNames} maps the names of enum constants.
 *   <li>{@link postbeam.layoutservice.LayoutWatch} lets a router follow the layout, and {@link
 *       postbeam.layoutservice.LayoutsCommand} is the sub-command for operators.
 * </ul>
 *
 * <p>No class of this package is loaded unless a settings file switches it on.
 */
package postbeam.layoutservice;
