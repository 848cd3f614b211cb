/**
 * Slices that are split, merged and moved while queries run: the layout, how a router maps queries
 * onto it, and the moves that change it. Decisions and state alone: no I/O, no clock and no thread;
 * callers pass the time. Nothing here is thread-safe; the owners are named below.
 *
 * <ul>
 *   <li>{@link postbeam.slices.Layout} is one version of which slices there are and who holds them;
 *       {@link postbeam.slices.LayoutChange} changes one, {@link postbeam.slices.Planner} leads to
 *       a {@link postbeam.slices.TargetLayout}.
 *   <li>{@link postbeam.slices.SliceTranslator} is a router's view of the layout, with {@link
 *       postbeam.slices.LayoutReplicaPlacement} and {@link postbeam.slices.LayoutCompleteness}; the
 *       router's policy executor owns it.
 *   <li>{@link postbeam.slices.Coordinator} decides on moves in the one process that moves slices;
 *       the layout service owns it. {@code MoveStateMachine} takes the steps of a move, {@code
 *       ChangePlanner} checks and plans changes, {@code NodeReconciliation} brings nodes back in
 *       line that were gone.
 *   <li>{@link postbeam.slices.MoveJournalState} is what must outlive a restart, as the {@link
 *       postbeam.slices.JournalRecord}s add up to.
 * </ul>
 */
package postbeam.slices;
