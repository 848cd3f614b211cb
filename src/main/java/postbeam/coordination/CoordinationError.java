package postbeam.coordination;

import postbeam.errors.OperatorError;

/** What can go wrong among routers; peers are answered with these texts. */
public sealed interface CoordinationError extends OperatorError {
    /** Another router disagrees on the fleet's routers or parameters. */
    record MismatchedFleetConfig(String router) implements CoordinationError {
        @Override
        public String problem() {
            return "router " + router + " has other names or terms of the fleet in its settings";
        }

        @Override
        public String remedy() {
            return "give all routers the same section 'together', but for their own names, and"
                    + " restart the one that is behind";
        }
    }

    /** A second process uses this router's name. */
    record DuplicateName(String router, long ownIncarnation, long otherIncarnation)
            implements CoordinationError {
        @Override
        public String problem() {
            return "a second process speaks as router "
                    + router
                    + ": this one began at "
                    + ownIncarnation
                    + ", the other at "
                    + otherIncarnation;
        }

        @Override
        public String remedy() {
            return "end one of the two, and give each router a name of its own";
        }
    }

    /** A message of a router that is not in the settings. */
    record UnknownRouter(String router) implements CoordinationError {
        @Override
        public String problem() {
            return "router " + router + " speaks, but is not named in the settings";
        }

        @Override
        public String remedy() {
            return "add it to together.routers on every router, as the page on growing a fleet"
                    + " says, or stop it";
        }
    }

    /** A message that can't be decoded. */
    record MalformedMessage(String sender, String cause) implements CoordinationError {
        @Override
        public String problem() {
            return "a message from " + sender + " can't be read: " + cause;
        }

        @Override
        public String remedy() {
            return "see whether another program answers at that address, and whether both run the"
                    + " same version";
        }
    }

    /** A router that has failed to respond to so many requests in a row. */
    record UnresponsiveRouter(String router, String cause, int consecutiveFailures)
            implements CoordinationError {
        @Override
        public String problem() {
            return "router " + router + " has not answered " + consecutiveFailures + " asks (" + cause + ")";
        }

        @Override
        public String remedy() {
            return "see whether it runs and whether this machine reaches its address; until then"
                    + " this router does with less";
        }
    }

    /** The fleet's routers in the settings don't include this one. */
    record NotAMember(String router) implements CoordinationError {
        @Override
        public String problem() {
            return "this router, " + router + ", is not among together.routers";
        }

        @Override
        public String remedy() {
            return "set together.name to one of the names there, or add it on every router";
        }
    }
}
