/**
 * Migrations of members: many moves of slices as one workflow with pauses, verification,
 * checkpoints and rollback.
 *
 * <p>Decisions and state alone, with no I/O, clock or thread: the caller passes events and the
 * time, as a span since 1970, and carries out the actions that are returned. {@link
 * postbeam.migration.MigrationManager} is the entry; {@link
 * postbeam.migration.MigrationStateMachine} takes a migration from state to state with the help of
 * the planner, the verifier and the pause detector; {@link
 * postbeam.migration.MigrationJournalState} is all that outlives the process.
 * docs/migration-of-members.md has the alternatives that were weighed, and the safety argument.
 */
package postbeam.migration;
