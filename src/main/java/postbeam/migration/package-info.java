/**
 * A member's migration: many moves of slices as one workflow with pause, verification, checkpoints
 * and a way back. Decisions and state alone: no I/O, no clock and no thread; times are spans since
 * 1970 that the caller passes in. {@link postbeam.migration.MigrationManager} decides, {@link
 * postbeam.migration.MigrationJournalState} is what the records add up to.
 * docs/migration-of-members.md tells the ways weighed and the argument.
 */
package postbeam.migration;
