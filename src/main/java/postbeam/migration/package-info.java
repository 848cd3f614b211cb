/**
 * Migrations of members: a workflow of many slice moves with pauses, verification, checkpoints and
 * rollback.
 *
 * <p>This package holds decisions and state only, without I/O, clock or threads: the caller passes
 * events and the time, as a duration since the Unix epoch, and carries out the returned actions.
 * {@link postbeam.migration.MigrationManager} is the entry point; {@link
 * postbeam.migration.MigrationStateMachine} advances a migration through its states with the help
 * of the planner, the verifier and the pause detector; {@link
 * postbeam.migration.MigrationJournalState} is the only state that survives a restart.
 * docs/migration-of-members.md describes the alternatives that were considered and the safety
 * argument.
 */
package postbeam.migration;
