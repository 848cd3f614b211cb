package postbeam.coordination;

import postbeam.errors.OperatorError;

/**
 * Errors in the coordination of routers. They are logged, and a peer whose message is rejected gets
 * the text in the response body.
 */
public sealed interface CoordinationError extends OperatorError {
    /** Another router has a different list of routers or different parameters. */
    record MismatchedFleetConfig(String router) implements CoordinationError {
        @Override
        public String problem() {
            return "router "
                    + router
                    + " has a different list of routers or different parameters in its"
                    + " section 'together'";
        }

        @Override
        public String remedy() {
            return "give all routers the same section 'together' except for together.name, and"
                    + " restart the routers whose settings were out of date";
        }
    }

    /** A second process uses the name of this router. */
    record DuplicateName(String router, long ownIncarnation, long otherIncarnation)
            implements CoordinationError {
        @Override
        public String problem() {
            return "a second process speaks as router "
                    + router
                    + ": this process has incarnation "
                    + ownIncarnation
                    + ", the other "
                    + otherIncarnation
                    + " (start times in Unix milliseconds)";
        }

        @Override
        public String remedy() {
            return "stop one of the two and give each router a unique together.name";
        }
    }

    /** A message came from a router that is not in the settings. */
    record UnknownRouter(String router) implements CoordinationError {
        @Override
        public String problem() {
            return "router " + router + " speaks, but is not named in the settings";
        }

        @Override
        public String remedy() {
            return "add it to together.routers on every router (see the page on growing a fleet),"
                    + " or stop it";
        }
    }

    /** A message of a peer can't be decoded. */
    record MalformedMessage(String sender, String cause) implements CoordinationError {
        @Override
        public String problem() {
            return "a message from " + sender + " can't be read: " + cause;
        }

        @Override
        public String remedy() {
            return "check whether another program uses that address, and whether both routers run"
                    + " the same version";
        }
    }

    /** Requests to another router have failed this many times in a row. */
    record UnresponsiveRouter(String router, String cause, int consecutiveFailures)
            implements CoordinationError {
        @Override
        public String problem() {
            return "router "
                    + router
                    + " has not answered "
                    + consecutiveFailures
                    + " asks ("
                    + cause
                    + ")";
        }

        @Override
        public String remedy() {
            return "check that it is running and that this machine can reach its address; until"
                    + " then this router may have smaller quotas for nodes that warm up";
        }
    }

    /** The list of routers in the settings does not include this one. */
    record NotAMember(String router) implements CoordinationError {
        @Override
        public String problem() {
            return "this router, " + router + ", is not among together.routers";
        }

        @Override
        public String remedy() {
            return "set together.name to one of the names listed there, or add this router to the"
                    + " list on every router";
        }
    }
}
