package postbeam.shared;

import postbeam.errors.Explained;

/** What can go wrong among routers. */
public sealed interface SharedError extends Explained {
    /** Another router has other names or terms. */
    record OtherTerms(String router) implements SharedError {
        @Override
        public String happened() {
            return "router " + router + " has other names or terms of the fleet in its settings";
        }

        @Override
        public String advice() {
            return "give all routers the same section 'together', but for their own names, and"
                    + " restart the one that is behind";
        }
    }

    /** A second process speaks under this router's name. */
    record NameTwice(String router, long mine, long other) implements SharedError {
        @Override
        public String happened() {
            return "a second process speaks as router "
                    + router
                    + ": this one began at "
                    + mine
                    + ", the other at "
                    + other;
        }

        @Override
        public String advice() {
            return "end one of the two, and give each router a name of its own";
        }
    }

    /** A router that is not in the settings. */
    record Stranger(String router) implements SharedError {
        @Override
        public String happened() {
            return "router " + router + " speaks, but is not named in the settings";
        }

        @Override
        public String advice() {
            return "add it to together.routers on every router, as the page on growing a fleet"
                    + " says, or stop it";
        }
    }

    /** A message that can't be read. */
    record Garbled(String from, String why) implements SharedError {
        @Override
        public String happened() {
            return "a message from " + from + " can't be read: " + why;
        }

        @Override
        public String advice() {
            return "see whether another program answers at that address, and whether both run the"
                    + " same version";
        }
    }

    /** No answer, for so many asks. */
    record Silent(String router, String why, int asks) implements SharedError {
        @Override
        public String happened() {
            return "router " + router + " has not answered " + asks + " asks (" + why + ")";
        }

        @Override
        public String advice() {
            return "see whether it runs and whether this machine reaches its address; until then"
                    + " this router does with less";
        }
    }

    /** Our settings name no such router. */
    record Unnamed(String router) implements SharedError {
        @Override
        public String happened() {
            return "this router, " + router + ", is not among together.routers";
        }

        @Override
        public String advice() {
            return "set together.name to one of the names there, or add it on every router";
        }
    }
}
