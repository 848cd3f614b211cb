package postbeam.migration;

import postbeam.errors.Explained;

/**
 * What can be wrong with an order about migrations, or with who gives it. Nothing has been done
 * then.
 */
public sealed interface MigrationError extends Explained {
    record NoSuch(long id) implements MigrationError {
        @Override
        public String happened() {
            return "there is no open migration " + id;
        }

        @Override
        public String advice() {
            return "see 'layouts migrations' for those that there are";
        }
    }

    record CantPlan(String member, String why) implements MigrationError {
        @Override
        public String happened() {
            return "the migration of " + member + " can't be planned: " + why;
        }

        @Override
        public String advice() {
            return "change its hops, or wait until what they need is free";
        }
    }

    record NoCheckpoint(long id, Stage stage) implements MigrationError {
        @Override
        public String happened() {
            return "no checkpoint of migration "
                    + id
                    + " is open, it stands at "
                    + stage.wireName();
        }

        @Override
        public String advice() {
            return "wait until 'layouts migrations' shows one";
        }
    }

    record Stale(long id, Checkpoint named, Checkpoint open) implements MigrationError {
        @Override
        public String happened() {
            return "the order names version "
                    + named.version()
                    + " and digest "
                    + named.digest()
                    + ", but the checkpoint of migration "
                    + id
                    + " was opened for version "
                    + open.version()
                    + " and digest "
                    + open.digest();
        }

        @Override
        public String advice() {
            return "look at 'layouts migrations' again and decide anew";
        }
    }

    record Doubled(long id, Checkpoint named) implements MigrationError {
        @Override
        public String happened() {
            return "the checkpoint of version "
                    + named.version()
                    + " and digest "
                    + named.digest()
                    + " of migration "
                    + id
                    + " was passed already";
        }

        @Override
        public String advice() {
            return "do nothing: the first order stands";
        }
    }

    record IsPaused(long id, String why) implements MigrationError {
        @Override
        public String happened() {
            return "migration " + id + " is paused: " + why;
        }

        @Override
        public String advice() {
            return "mend the cause and resume it, or roll it back";
        }
    }

    record NotPaused(long id) implements MigrationError {
        @Override
        public String happened() {
            return "migration " + id + " is not paused";
        }

        @Override
        public String advice() {
            return "do nothing: it goes on";
        }
    }

    record StillSo(long id, String why) implements MigrationError {
        @Override
        public String happened() {
            return "migration " + id + " stays paused: " + why;
        }

        @Override
        public String advice() {
            return "mend the cause first, or roll it back";
        }
    }

    record TooLate(long id, Stage stage) implements MigrationError {
        @Override
        public String happened() {
            return "migration " + id + " can't be rolled back, it stands at " + stage.wireName();
        }

        @Override
        public String advice() {
            return "plan a migration the other way";
        }
    }

    record BadOrder(String what) implements MigrationError {
        @Override
        public String happened() {
            return "the order can't be read: " + what;
        }

        @Override
        public String advice() {
            return "see docs/operators/migration-of-members.md for its form";
        }
    }

    record OfficeLost(long term, String seenBy) implements MigrationError {
        @Override
        public String happened() {
            return "another service has taken over from term " + term + ", as " + seenBy + " shows";
        }

        @Override
        public String advice() {
            return "leave this process ended and ask the other one";
        }
    }

    record SwitchedOff() implements MigrationError {
        @Override
        public String happened() {
            return "migrations are switched off in this layout service";
        }

        @Override
        public String advice() {
            return "set layouts.migration.enabled and start it again";
        }
    }
}
