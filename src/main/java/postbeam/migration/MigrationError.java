package postbeam.migration;

import postbeam.errors.OperatorError;

/**
 * A reason for which an operator's command about migrations is rejected or can't be carried out by
 * this process. A command that fails with one of these has changed nothing.
 */
public sealed interface MigrationError extends OperatorError {
    /** No migration has this id, or it has ended. */
    record NotFound(long id) implements MigrationError {
        @Override
        public String problem() {
            return "there is no open migration " + id;
        }

        @Override
        public String remedy() {
            return "run 'layouts migrations' to list the migrations";
        }
    }

    /** The transfers can't be planned together. */
    record InvalidPlan(String member, String reason) implements MigrationError {
        @Override
        public String problem() {
            return "the migration of " + member + " can't be planned: " + reason;
        }

        @Override
        public String remedy() {
            return "change the hops, or wait until their slices and nodes are free";
        }
    }

    /** The command passes a checkpoint while none is open. */
    record NoOpenCheckpoint(long id, MigrationState state) implements MigrationError {
        @Override
        public String problem() {
            return "no checkpoint of migration " + id + " is open in state " + state.wireName();
        }

        @Override
        public String remedy() {
            return "wait until 'layouts migrations' shows an open checkpoint";
        }
    }

    /** The command passes a checkpoint other than the open one. */
    record StaleCheckpoint(long id, Checkpoint requested, Checkpoint openCheckpoint)
            implements MigrationError {
        @Override
        public String problem() {
            return "the order names version "
                    + requested.layoutVersion()
                    + " and digest "
                    + requested.digest()
                    + ", but the checkpoint of migration "
                    + id
                    + " was opened for version "
                    + openCheckpoint.layoutVersion()
                    + " and digest "
                    + openCheckpoint.digest();
        }

        @Override
        public String remedy() {
            return "run 'layouts migrations' and review the open checkpoint again";
        }
    }

    /** The command passes the checkpoint that was passed last. */
    record CheckpointAlreadyPassed(long id, Checkpoint requested) implements MigrationError {
        @Override
        public String problem() {
            return "the checkpoint of version "
                    + requested.layoutVersion()
                    + " and digest "
                    + requested.digest()
                    + " of migration "
                    + id
                    + " was passed already";
        }

        @Override
        public String remedy() {
            return "do nothing: the first command has taken effect";
        }
    }

    /** The command needs a migration that is not paused, but this one is. */
    record MigrationPaused(long id, String reason) implements MigrationError {
        @Override
        public String problem() {
            return "migration " + id + " is paused: " + reason;
        }

        @Override
        public String remedy() {
            return "remove the cause and resume it, or roll it back";
        }
    }

    /** The command resumes a migration that is not paused. */
    record NotPaused(long id) implements MigrationError {
        @Override
        public String problem() {
            return "migration " + id + " is not paused";
        }

        @Override
        public String remedy() {
            return "do nothing: it is running";
        }
    }

    /** The command resumes a migration while the reason of its pause persists. */
    record PauseReasonPersists(long id, String reason) implements MigrationError {
        @Override
        public String problem() {
            return "migration " + id + " stays paused: " + reason;
        }

        @Override
        public String remedy() {
            return "remove the cause first, or roll it back";
        }
    }

    /**
     * The command rolls back a migration that is being retired, and may have dropped data at the
     * sources, or that is being rolled back already.
     */
    record RollbackTooLate(long id, MigrationState state) implements MigrationError {
        @Override
        public String problem() {
            return "migration " + id + " can't be rolled back in state " + state.wireName();
        }

        @Override
        public String remedy() {
            return "plan a migration in the opposite direction";
        }
    }

    /** The command has a missing or malformed field. */
    record MalformedCommand(String detail) implements MigrationError {
        @Override
        public String problem() {
            return "the command can't be read: " + detail;
        }

        @Override
        public String remedy() {
            return "see docs/operators/migration-of-members.md for the format";
        }
    }

    /** Another process has taken over the journal, so this one must not write to it any more. */
    record LeadershipLost(long term, String evidence) implements MigrationError {
        @Override
        public String problem() {
            return "another service has taken over the journal from term "
                    + term
                    + " of this service, as "
                    + evidence
                    + " shows";
        }

        @Override
        public String remedy() {
            return "leave this process stopped and use the other service";
        }
    }

    /** Migrations are disabled in the settings. */
    record MigrationsDisabled() implements MigrationError {
        @Override
        public String problem() {
            return "migrations are switched off in this layout service";
        }

        @Override
        public String remedy() {
            return "set layouts.migration.enabled to true and restart the service";
        }
    }
}
