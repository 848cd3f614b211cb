package postbeam.migration;

import postbeam.errors.OperatorError;

/**
 * Why an operator's command about migrations is rejected, or can't be carried out here. Nothing has
 * changed then.
 */
public sealed interface MigrationError extends OperatorError {
    /** No migration of this id, or it is over. */
    record NotFound(long id) implements MigrationError {
        @Override
        public String problem() {
            return "there is no open migration " + id;
        }

        @Override
        public String remedy() {
            return "see 'layouts migrations' for those that there are";
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
            return "change its hops, or wait until what they need is free";
        }
    }

    /** A checkpoint is passed where none is open. */
    record NoOpenCheckpoint(long id, MigrationState state) implements MigrationError {
        @Override
        public String problem() {
            return "no checkpoint of migration "
                    + id
                    + " is open, it stands at "
                    + state.wireName();
        }

        @Override
        public String remedy() {
            return "wait until 'layouts migrations' shows one";
        }
    }

    /** Another checkpoint than the open one is passed. */
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
            return "look at 'layouts migrations' again and decide anew";
        }
    }

    /** The checkpoint that was passed last is passed again. */
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
            return "do nothing: the first order stands";
        }
    }

    /** The command needs a migration that is not paused. */
    record MigrationPaused(long id, String reason) implements MigrationError {
        @Override
        public String problem() {
            return "migration " + id + " is paused: " + reason;
        }

        @Override
        public String remedy() {
            return "mend the cause and resume it, or roll it back";
        }
    }

    /** A migration is resumed that is not paused. */
    record NotPaused(long id) implements MigrationError {
        @Override
        public String problem() {
            return "migration " + id + " is not paused";
        }

        @Override
        public String remedy() {
            return "do nothing: it goes on";
        }
    }

    /** A migration is resumed while the reason of its pause lasts. */
    record PauseReasonPersists(long id, String reason) implements MigrationError {
        @Override
        public String problem() {
            return "migration " + id + " stays paused: " + reason;
        }

        @Override
        public String remedy() {
            return "mend the cause first, or roll it back";
        }
    }

    /** The old side is being dropped already, or the migration is being rolled back. */
    record RollbackTooLate(long id, MigrationState state) implements MigrationError {
        @Override
        public String problem() {
            return "migration " + id + " can't be rolled back, it stands at " + state.wireName();
        }

        @Override
        public String remedy() {
            return "plan a migration the other way";
        }
    }

    /** The command can't be read. */
    record MalformedCommand(String detail) implements MigrationError {
        @Override
        public String problem() {
            return "the order can't be read: " + detail;
        }

        @Override
        public String remedy() {
            return "see docs/operators/migration-of-members.md for its form";
        }
    }

    /** Another process writes the journal. */
    record LeadershipLost(long term, String evidence) implements MigrationError {
        @Override
        public String problem() {
            return "another service has taken over from term "
                    + term
                    + ", as "
                    + evidence
                    + " shows";
        }

        @Override
        public String remedy() {
            return "leave this process ended and ask the other one";
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
            return "set layouts.migration.enabled and start it again";
        }
    }
}
