package postbeam.migration;

import postbeam.errors.OperatorError;

/**
 * What can be wrong with an order about migrations, or with who gives it. Nothing has been done
 * then.
 */
public sealed interface MigrationError extends OperatorError {
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
