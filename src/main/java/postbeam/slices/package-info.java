/**
 * Slices that are split, merged and moved while queries run: the layout, how a router maps queries
 * onto it, and the moves that change it. The classes hold state and make decisions; they do no I/O,
 * read no clock and start no threads. Callers pass the time. Mutable classes are not thread-safe;
 * the list below names their owners.
 *
 * <ul>
 *   <li>{@link postbeam.slices.Layout} is one version of the slices and their holders; a {@link
 *       postbeam.slices.LayoutChange} leads to the next version, and {@link
 *       postbeam.slices.Planner} finds the changes that lead to a {@link
 *       postbeam.slices.TargetLayout}.
 *   <li>{@link postbeam.slices.SliceTranslator} is a router's view of the layout, with {@link
 *       postbeam.slices.LayoutReplicaPlacement} and {@link postbeam.slices.LayoutCompleteness}; the
 *       router's policy executor owns it.
 *   <li>{@link postbeam.slices.Coordinator} decides on moves; only one process at a time moves
 *       slices, and its layout service owns the coordinator. {@code MoveStateMachine} advances a
 *       move, {@code ChangePlanner} checks and plans changes, {@code NodeReconciliation} brings
 *       nodes that reappeared or restarted back in line with the layout.
 *   <li>{@link postbeam.slices.MoveJournalState} is the state that must survive a restart; it
 *       results from applying the {@link postbeam.slices.JournalRecord}s in order.
 * </ul>
 */
package postbeam.slices;
